// Renders moves, past configurations and differences between configurations.
#include "cornelhead/ctl/report.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <set>
#include <utility>

#include "cornelhead/base/check.h"
#include "cornelhead/ctl/output.h"

namespace cornelhead {
namespace detail {

using Json = nlohmann::ordered_json;

std::string percent(PerMille share)
{
    std::array<char, 16> text{};
    std::snprintf(text.data(), text.size(), "%.1f%%", static_cast<double>(share.value()) / 10);
    return text.data();
}

Json eventToJson(const MoveEvent &event)
{
    return {{"atMs", event.atMs},
            {"sharePerMille", event.share.value()},
            {"text", event.text},
            {"edit", event.edit.value()}};
}

std::vector<std::string> moveRow(const ServiceReport &report, std::int64_t nowMs)
{
    const std::string &service = report.service.value();
    const std::string &version = report.version.value();
    if (!report.move)
        return {service, version, "-", "-", "-", "-", "-", "-"};
    const Move &move = *report.move;
    return {service,
            version,
            move.oldVersion.value() + " -> " + move.newVersion.value(),
            std::string(moveStateName(move.state)),
            percent(move.share),
            formatTime(move.deadlineMs),
            std::string(timelinessName(timelinessOf(move, nowMs))),
            move.verdict.empty() ? "-" : move.verdict};
}

constexpr std::array<std::string_view, 4> recordKindNames
        = {"service", "route", "plan", "customer"};
constexpr std::array<std::string_view, 3> changeNames = {"added", "changed", "removed"};
constexpr std::array<std::string_view, 3> changeMarks = {"+", "~", "-"};

std::string_view kindName(const RecordChange &change)
{
    return recordKindNames.at(static_cast<std::size_t>(change.key.kind));
}

template <typename Record>
void addKeys(const std::vector<Record> &records, RecordKind kind, std::set<RecordKey> &keys)
{
    for (const Record &record : records)
        keys.insert({kind, record.id.value()});
}

std::set<RecordKey> keysOf(const Declarations &declarations)
{
    std::set<RecordKey> keys;
    addKeys(declarations.services, RecordKind::Service, keys);
    addKeys(declarations.routes, RecordKind::Route, keys);
    addKeys(declarations.plans, RecordKind::Plan, keys);
    addKeys(declarations.customers, RecordKind::Customer, keys);
    return keys;
}

} // namespace detail

std::string_view timelinessName(Timeliness timeliness)
{
    switch (timeliness) {
    case Timeliness::Pending:
        return "pending";
    case Timeliness::InTime:
        return "in-time";
    case Timeliness::Late:
        return "late";
    case Timeliness::NotApplicable:
        return "-";
    }
    return "-";
}

std::optional<std::int64_t> fullShareAtMs(const Move &move)
{
    for (const MoveEvent &event : move.events) {
        if (event.share >= fullShare)
            return event.atMs;
    }
    return std::nullopt;
}

Timeliness timelinessOf(const Move &move, std::int64_t nowMs)
{
    if (move.state == MoveState::RolledBack)
        return Timeliness::NotApplicable;
    const std::optional<std::int64_t> fullAtMs = fullShareAtMs(move);
    if (fullAtMs)
        return *fullAtMs <= move.deadlineMs ? Timeliness::InTime : Timeliness::Late;
    return nowMs <= move.deadlineMs ? Timeliness::Pending : Timeliness::Late;
}

nlohmann::ordered_json moveToJson(const Move &move, std::int64_t nowMs)
{
    detail::Json refused = detail::Json::array();
    for (const VersionId &version : move.refusedVersions)
        refused.push_back(version.value());
    detail::Json events = detail::Json::array();
    for (const MoveEvent &event : move.events)
        events.push_back(detail::eventToJson(event));
    const std::optional<std::int64_t> fullAtMs = fullShareAtMs(move);
    return {{"service", move.service.value()},
            {"from", move.oldVersion.value()},
            {"to", move.newVersion.value()},
            {"state", moveStateName(move.state)},
            {"sharePerMille", move.share.value()},
            {"startedAtMs", move.startedAtMs},
            {"deadlineMs", move.deadlineMs},
            {"fullShareAtMs", fullAtMs ? detail::Json(*fullAtMs) : detail::Json(nullptr)},
            {"timeliness", timelinessName(timelinessOf(move, nowMs))},
            {"verdict", move.verdict},
            {"refusedVersions", std::move(refused)},
            {"events", std::move(events)}};
}

std::vector<ServiceReport> makeReports(const std::vector<Service> &services, const MoveTable &table)
{
    std::map<ServiceId, ServiceReport> reports;
    for (const Service &service : services)
        reports.insert({service.id, {service.id, service.initialVersion, std::nullopt}});
    for (const auto &[service, move] : table.moves)
        reports.insert_or_assign(service, ServiceReport{service, versionInForce(move), move});
    std::vector<ServiceReport> joined;
    joined.reserve(reports.size());
    for (auto &[service, report] : reports)
        joined.push_back(std::move(report));
    return joined;
}

nlohmann::ordered_json reportToJson(const std::vector<ServiceReport> &reports, std::int64_t nowMs)
{
    detail::Json services = detail::Json::array();
    for (const ServiceReport &report : reports) {
        services.push_back(
                {{"service", report.service.value()},
                 {"version", report.version.value()},
                 {"move", report.move ? moveToJson(*report.move, nowMs) : detail::Json(nullptr)}});
    }
    return {{"services", std::move(services)}};
}

std::string reportToText(const std::vector<ServiceReport> &reports, std::int64_t nowMs)
{
    TextTable table(
            {"SERVICE", "VERSION", "MOVE", "STATE", "SHARE", "DEADLINE", "TIME", "VERDICT"});
    for (const ServiceReport &report : reports)
        table.add(detail::moveRow(report, nowMs));
    return table.render();
}

std::string eventsToText(const Move &move)
{
    TextTable table({"TIME", "SHARE", "EVENT"});
    for (const MoveEvent &event : move.events)
        table.add({formatTime(event.atMs), detail::percent(event.share), event.text});
    return table.render();
}

nlohmann::ordered_json historyToJson(const std::vector<Manifest> &manifests)
{
    detail::Json revisions = detail::Json::array();
    for (const Manifest &manifest : manifests) {
        revisions.push_back({{"revision", manifest.revision.value()},
                             {"acceptedAtMs", manifest.acceptedAtMs},
                             {"author", manifest.author},
                             {"edit", manifest.edit.value()},
                             {"digest", manifest.digest.value()},
                             {"chunks", manifest.chunks.size()}});
    }
    return {{"revisions", std::move(revisions)}};
}

std::string historyToText(const std::vector<Manifest> &manifests)
{
    TextTable table({"REVISION", "ACCEPTED", "AUTHOR", "EDIT", "DIGEST", "CHUNKS"});
    for (const Manifest &manifest : manifests) {
        table.add({std::to_string(manifest.revision.value()), formatTime(manifest.acceptedAtMs),
                   manifest.author, manifest.edit.value(), manifest.digest.value(),
                   std::to_string(manifest.chunks.size())});
    }
    return table.render();
}

std::vector<RecordChange> changesOf(const Declarations &base, const Delta &delta)
{
    const std::set<RecordKey> baseKeys = detail::keysOf(base);
    std::vector<RecordChange> changes;
    for (const std::string &line : delta.changed) {
        Declarations record;
        const Result<RecordKey> key = appendRecord(line, record);
        CORNELHEAD_CHECK(key.has_value());
        const auto kind
                = baseKeys.contains(*key) ? RecordChange::Kind::Changed : RecordChange::Kind::Added;
        changes.push_back({kind, *key, line});
    }
    for (const RecordKey &key : delta.removed)
        changes.push_back({RecordChange::Kind::Removed, key, {}});
    std::stable_sort(changes.begin(), changes.end(),
                     [](const RecordChange &left, const RecordChange &right) {
                         return left.key < right.key;
                     });
    return changes;
}

nlohmann::ordered_json changesToJson(const std::vector<RecordChange> &changes)
{
    detail::Json records = detail::Json::array();
    for (const RecordChange &change : changes) {
        records.push_back(
                {{"change", detail::changeNames.at(static_cast<std::size_t>(change.kind))},
                 {"kind", detail::kindName(change)},
                 {"name", change.key.id},
                 {"record",
                  change.line.empty() ? detail::Json(nullptr) : detail::Json::parse(change.line)}});
    }
    return {{"changes", std::move(records)}};
}

std::string changesToText(const std::vector<RecordChange> &changes)
{
    std::string text;
    for (const RecordChange &change : changes) {
        text += detail::changeMarks.at(static_cast<std::size_t>(change.kind));
        text += " ";
        text += detail::kindName(change);
        text += " " + change.key.id;
        if (!change.line.empty())
            text += "  " + change.line;
        text += "\n";
    }
    return text;
}

} // namespace cornelhead
