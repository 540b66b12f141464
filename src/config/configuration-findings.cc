// Renders the findings of a check of a route table.
#include "cornelhead/config/configuration-findings.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace cornelhead {
namespace detail {

namespace {

constexpr int jsonIndent = 2;
constexpr int exitWarnings = 1;
constexpr int exitErrors = 2;

template <typename... Visitors>
struct Overloaded : Visitors...
{
    using Visitors::operator()...;
};

template <typename... Visitors>
Overloaded(Visitors...) -> Overloaded<Visitors...>;

std::string_view severityName(FindingSeverity severity)
{
    switch (severity) {
    case FindingSeverity::Error:
        return "error";
    case FindingSeverity::Warning:
        return "warning";
    case FindingSeverity::Note:
        return "note";
    case FindingSeverity::Difference:
        return "difference";
    }
    return "error";
}

std::string_view entryKindName(EntryKind kind)
{
    switch (kind) {
    case EntryKind::Configuration:
        return "configuration";
    case EntryKind::Limits:
        return "limits";
    case EntryKind::Route:
        return "route";
    case EntryKind::Service:
        return "service";
    case EntryKind::Customer:
        return "customer";
    }
    return "configuration";
}

FindingSeverity severityOfConcern(ConcernKind kind)
{
    const bool isNote = kind == ConcernKind::BurstBelowRate
            || kind == ConcernKind::AttemptsOfSingleRun
            || kind == ConcernKind::TimeoutAboveIdleTimeout;
    return isNote ? FindingSeverity::Note : FindingSeverity::Warning;
}

std::string describe(const ConfigurationEntry &entry)
{
    const std::string kind(entryKindName(entry.kind));
    return entry.name.empty() ? kind : kind + " " + entry.name;
}

std::string lineOf(const Finding &finding)
{
    const std::string severity(severityName(severityOf(finding)));
    return std::visit(
            Overloaded{[&](const Rejection &found) {
                           return severity + ": " + found.error.describe();
                       },
                       [&](const Concern &found) {
                           return severity + ": " + describe(found.entry) + ": " + found.message
                                   + " [" + std::string(concernKindName(found.kind)) + "]";
                       },
                       [](const EntryAdded &found) { return "+ " + describe(found.entry); },
                       [](const EntryRemoved &found) { return "- " + describe(found.entry); },
                       [](const FieldChanged &found) {
                           return "~ " + describe(found.entry) + ": " + found.field + " "
                                   + found.before + " -> " + found.after;
                       }},
            finding);
}

nlohmann::json entryJson(const ConfigurationEntry &entry)
{
    nlohmann::json json{{"entry", entryKindName(entry.kind)}};
    if (!entry.name.empty())
        json["name"] = entry.name;
    return json;
}

nlohmann::json toJson(const Finding &finding)
{
    using nlohmann::json;
    json object = std::visit(Overloaded{[](const Rejection &found) {
                                            return json{{"kind", errorKindName(found.error.kind)},
                                                        {"message", found.error.message},
                                                        {"remedy", found.error.remedy}};
                                        },
                                        [](const Concern &found) {
                                            json concern = entryJson(found.entry);
                                            concern["kind"] = concernKindName(found.kind);
                                            concern["message"] = found.message;
                                            return concern;
                                        },
                                        [](const EntryAdded &found) {
                                            json added = entryJson(found.entry);
                                            added["kind"] = "added";
                                            return added;
                                        },
                                        [](const EntryRemoved &found) {
                                            json removed = entryJson(found.entry);
                                            removed["kind"] = "removed";
                                            return removed;
                                        },
                                        [](const FieldChanged &found) {
                                            json changed = entryJson(found.entry);
                                            changed["kind"] = "changed";
                                            changed["field"] = found.field;
                                            changed["before"] = found.before;
                                            changed["after"] = found.after;
                                            return changed;
                                        }},
                             finding);
    object["severity"] = severityName(severityOf(finding));
    return object;
}

bool hasSeverity(const Findings &findings, FindingSeverity severity)
{
    return std::any_of(findings.begin(), findings.end(), [severity](const Finding &finding) {
        return severityOf(finding) == severity;
    });
}

} // namespace
} // namespace detail

std::string_view concernKindName(ConcernKind kind)
{
    switch (kind) {
    case ConcernKind::NeverMatches:
        return "never-matches";
    case ConcernKind::NoCalls:
        return "no-calls";
    case ConcernKind::Ignored:
        return "ignored";
    case ConcernKind::SameName:
        return "same-name";
    case ConcernKind::NoKeys:
        return "no-keys";
    case ConcernKind::NoConnections:
        return "no-connections";
    case ConcernKind::ObjectiveAboveTimeout:
        return "objective-above-timeout";
    case ConcernKind::BurstBelowOne:
        return "burst-below-one";
    case ConcernKind::BurstBelowRate:
        return "burst-below-rate";
    case ConcernKind::AttemptsOfSingleRun:
        return "attempts-of-single-run";
    case ConcernKind::TimeoutAboveIdleTimeout:
        return "timeout-above-idle-timeout";
    case ConcernKind::NotNewer:
        return "not-newer";
    }
    return "ignored";
}

FindingSeverity severityOf(const Finding &finding)
{
    if (std::holds_alternative<Rejection>(finding))
        return FindingSeverity::Error;
    if (const auto *concern = std::get_if<Concern>(&finding))
        return detail::severityOfConcern(concern->kind);
    return FindingSeverity::Difference;
}

int exitCodeOf(const Findings &findings)
{
    if (detail::hasSeverity(findings, FindingSeverity::Error))
        return detail::exitErrors;
    return detail::hasSeverity(findings, FindingSeverity::Warning) ? detail::exitWarnings : 0;
}

std::string renderText(const Findings &findings)
{
    if (findings.empty())
        return "Nothing was found.\n";
    std::string text;
    for (const Finding &finding : findings)
        text += detail::lineOf(finding) + "\n";
    return text;
}

std::string renderJson(const Findings &findings)
{
    nlohmann::json list = nlohmann::json::array();
    for (const Finding &finding : findings)
        list.push_back(detail::toJson(finding));
    return nlohmann::json{{"findings", std::move(list)}}.dump(
                   detail::jsonIndent, ' ', false, nlohmann::json::error_handler_t::replace)
            + "\n";
}

} // namespace cornelhead
