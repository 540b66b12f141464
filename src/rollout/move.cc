// Encodes moves as JSON.
#include "cornelhead/rollout/move.h"

#include <algorithm>
#include <array>
#include <optional>
#include <utility>

#include <nlohmann/json.hpp>

namespace cornelhead {
namespace detail {
namespace {

using Json = nlohmann::json;

constexpr std::array allMoveStates = {MoveState::Running, MoveState::Paused, MoveState::Watching,
                                      MoveState::Done, MoveState::RolledBack};

std::optional<MoveState> moveStateOf(std::string_view name)
{
    const auto found = std::find_if(allMoveStates.begin(), allMoveStates.end(),
                                    [&](MoveState state) { return moveStateName(state) == name; });
    if (found == allMoveStates.end())
        return std::nullopt;
    return *found;
}

Json encodeEvidence(const VersionEvidence &evidence)
{
    return {{"calls", evidence.calls},
            {"failures", evidence.failures},
            {"latency_p95_us", evidence.latencyP95.count()}};
}

VersionEvidence decodeEvidence(const Json &json)
{
    return {json.at("calls").get<std::uint64_t>(), json.at("failures").get<std::uint64_t>(),
            Microseconds(json.at("latency_p95_us").get<std::int64_t>())};
}

Json encodeEvent(const MoveEvent &event)
{
    Json json = {{"at_ms", event.atMs}, {"share", event.share.value()}, {"text", event.text}};
    if (!event.edit.empty())
        json["edit"] = event.edit.value();
    if (event.newer.calls + event.older.calls > 0) {
        json["new"] = encodeEvidence(event.newer);
        json["old"] = encodeEvidence(event.older);
    }
    return json;
}

MoveEvent decodeEvent(const Json &json)
{
    MoveEvent event;
    event.atMs = json.at("at_ms").get<std::int64_t>();
    event.share = PerMille(json.at("share").get<std::uint64_t>());
    event.text = json.at("text").get<std::string>();
    event.edit = EditId(json.value("edit", ""));
    if (json.contains("new")) {
        event.newer = decodeEvidence(json.at("new"));
        event.older = decodeEvidence(json.at("old"));
    }
    return event;
}

Json encodeSums(const OutcomeKey &key, const OutcomeSums &sums)
{
    return {{"route", key.route.value()}, {"data_centre", key.dataCentre.value()},
            {"calls", sums.calls},        {"failures", sums.failures},
            {"shed", sums.shed},          {"cold", sums.cold},
            {"latencies", sums.latencies}};
}

void decodeSums(const Json &json, Move &move)
{
    OutcomeSums sums;
    sums.calls = json.at("calls").get<std::uint64_t>();
    sums.failures = json.at("failures").get<std::uint64_t>();
    sums.shed = json.at("shed").get<std::uint64_t>();
    sums.cold = json.at("cold").get<std::uint64_t>();
    sums.latencies = json.at("latencies").get<decltype(sums.latencies)>();
    move.baseline[{move.service, move.oldVersion, RouteId(json.at("route").get<std::string>()),
                   DataCentreId(json.at("data_centre").get<std::string>())}]
            = sums;
}

Move decodeFields(const Json &json)
{
    Move move;
    move.service = ServiceId(json.at("service").get<std::string>());
    move.oldVersion = VersionId(json.at("old_version").get<std::string>());
    move.newVersion = VersionId(json.at("new_version").get<std::string>());
    move.share = PerMille(json.at("share").get<std::uint64_t>());
    move.startedAtMs = json.at("started_at_ms").get<std::int64_t>();
    move.deadlineMs = json.at("deadline_ms").get<std::int64_t>();
    move.fullShareAtMs = json.at("full_share_at_ms").get<std::int64_t>();
    move.rechecks = json.at("rechecks").get<std::uint32_t>();
    move.clearedRechecks = json.at("cleared_rechecks").get<std::uint32_t>();
    move.edit = EditId(json.at("edit").get<std::string>());
    move.verdict = json.at("verdict").get<std::string>();
    for (const Json &version : json.at("refused_versions"))
        move.refusedVersions.insert(VersionId(version.get<std::string>()));
    for (const Json &event : json.at("events"))
        move.events.push_back(decodeEvent(event));
    for (const Json &sums : json.at("past"))
        decodeSums(sums, move);
    return move;
}

tl::unexpected<Error> decodeError(const std::string &what)
{
    return fail(ErrorKind::InvalidMessage, "cannot read a move: " + what,
                "check that every node and cornelheadctl run the same release");
}

std::optional<std::string> findFault(const Move &move)
{
    if (move.service.empty() || move.oldVersion.empty() || move.newVersion.empty())
        return "service and versions must have names";
    if (move.oldVersion == move.newVersion)
        return "old and new version are the same";
    if (move.share > fullShare)
        return "the share is above 1000";
    return std::nullopt;
}

} // namespace
} // namespace detail

std::string_view moveStateName(MoveState state)
{
    switch (state) {
    case MoveState::Running:
        return "running";
    case MoveState::Paused:
        return "paused";
    case MoveState::Watching:
        return "watching";
    case MoveState::Done:
        return "done";
    case MoveState::RolledBack:
        return "taken-back";
    }
    return "unknown";
}

bool isFinal(MoveState state)
{
    return state == MoveState::Done || state == MoveState::RolledBack;
}

const VersionId &versionInForce(const Move &move)
{
    return move.state == MoveState::Done ? move.newVersion : move.oldVersion;
}

void addMoveEvent(Move &move, std::int64_t atMs, std::string text, EditId edit)
{
    move.events.push_back({atMs, move.share, std::move(text), std::move(edit), {}, {}});
    if (move.events.size() > maxMoveEvents)
        move.events.erase(move.events.begin() + 1);
}

bool containsEdit(const Move &move, const EditId &edit)
{
    if (edit.empty())
        return false;
    return move.edit == edit
            || std::any_of(move.events.begin(), move.events.end(),
                           [&](const MoveEvent &event) { return event.edit == edit; });
}

std::string encodeMove(const Move &move)
{
    detail::Json json = {
            {"service", move.service.value()},
            {"old_version", move.oldVersion.value()},
            {"new_version", move.newVersion.value()},
            {"state", std::string(moveStateName(move.state))},
            {"share", move.share.value()},
            {"started_at_ms", move.startedAtMs},
            {"deadline_ms", move.deadlineMs},
            {"full_share_at_ms", move.fullShareAtMs},
            {"rechecks", move.rechecks},
            {"cleared_rechecks", move.clearedRechecks},
            {"edit", move.edit.value()},
            {"verdict", move.verdict},
            {"refused_versions", detail::Json::array()},
            {"events", detail::Json::array()},
            {"past", detail::Json::array()},
    };
    for (const VersionId &version : move.refusedVersions)
        json["refused_versions"].push_back(version.value());
    for (const MoveEvent &event : move.events)
        json["events"].push_back(detail::encodeEvent(event));
    for (const auto &[key, sums] : move.baseline)
        json["past"].push_back(detail::encodeSums(key, sums));
    // Replaces bytes that are not UTF-8; by default the library throws on them.
    return json.dump(-1, ' ', false, detail::Json::error_handler_t::replace);
}

Result<Move> decodeMove(std::string_view bytes)
{
    try {
        const detail::Json json = detail::Json::parse(bytes);
        Move move = detail::decodeFields(json);
        const auto state = detail::moveStateOf(json.at("state").get<std::string>());
        if (!state)
            return detail::decodeError("unknown state");
        move.state = *state;
        if (const auto fault = detail::findFault(move))
            return detail::decodeError(*fault);
        return move;
    } catch (const detail::Json::exception &error) {
        return detail::decodeError(error.what());
    }
}

} // namespace cornelhead
