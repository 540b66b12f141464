// The record of a service's move from one version to another.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "cornelhead/base/error.h"
#include "cornelhead/base/ids.h"
#include "cornelhead/rollout/outcome.h"

namespace cornelhead {

enum class MoveState {
    Running, ///< The controller raises the share step by step.
    Paused, ///< An operator holds the share.
    Watching, ///< The new version has all calls and is still judged against its baseline.
    Done, ///< Final: the new version is the service's version.
    RolledBack, ///< Final: the new version gets no calls, ever.
};

std::string_view moveStateName(MoveState state);

/// Parts of a thousand.
using PerMille = Number<struct PerMilleTag>;

/// What callers got of one version since the event before.
struct VersionEvidence
{
    std::uint64_t calls = 0;
    std::uint64_t failures = 0;
    Microseconds latencyP95 = Microseconds(0);
};

/// One line of a move's story, for the report.
struct MoveEvent
{
    std::int64_t atMs = 0;
    PerMille share;
    std::string text;
    /// The operator's edit behind it; empty for a step of the controller.
    EditId edit;
    /// Empty for edits of operators.
    VersionEvidence newer = {};
    VersionEvidence older = {};
};

/// The share of a move that has every call.
constexpr PerMille fullShare = PerMille(1000);
/// Events kept in a record; the first one always stays.
constexpr std::size_t maxMoveEvents = 120;

/// One move, as stored under `movePrefix`.  Every write is a compare-and-swap on the revision read.
struct Move
{
    ServiceId service;
    VersionId oldVersion;
    VersionId newVersion;
    MoveState state = MoveState::Running;
    /// The share of calls that the new version gets.
    PerMille share;
    std::int64_t startedAtMs = 0;
    /// The move is to have full share by then.
    std::int64_t deadlineMs = 0;
    /// When the new version got every call for the first time; 0 before that.
    std::int64_t fullShareAtMs = 0;
    /// How often it was stepped back from full share to compare both versions again.
    std::uint32_t rechecks = 0;
    /// How many of these found nothing wrong with either version.
    std::uint32_t clearedRechecks = 0;
    /// The edit that wrote the record last.
    EditId edit;
    /// Why it was taken back, or how it ended.
    std::string verdict;
    /// Versions of this service that were taken back, now or before; none of them may start again.
    std::set<VersionId> refusedVersions;
    std::vector<MoveEvent> events;
    /// What callers got of the old version until the last step, so that a controller which takes
    /// over can judge the new version when the old one has no calls left.
    OutcomeBatch baseline;
    /// The platform's revision of this record; not stored in it.
    ModRevision modRevision;
};

/// Tells whether the move is over, so that nothing may change it but a later move.
bool isFinal(MoveState state);
/// Returns the version that the service has when nothing moves: the new one only after `Done`.
const VersionId &versionInForce(const Move &move);
/// Adds an event at the current share and drops the oldest but the first beyond `maxMoveEvents`.
void addMoveEvent(Move &move, std::int64_t atMs, std::string text, EditId edit = {});
/// Tells whether `edit` is among the edits that made this record, so that a write whose answer was
/// lost is not made twice.
bool containsEdit(const Move &move, const EditId &edit);

/// Renders a move as JSON.
std::string encodeMove(const Move &move);
/// Reads a move.  Fails with `InvalidMessage`.
Result<Move> decodeMove(std::string_view bytes);

/// The latest move of each service; immutable once shared.
struct MoveTable
{
    std::map<ServiceId, Move> moves;
};

} // namespace cornelhead
