// The record of a move: the progressive rollout of a new version of a service.
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
    Paused, ///< An operator froze the share.
    Watching, ///< The new version has all calls and is still compared with the baseline.
    Done, ///< Final: the new version is the service's version.
    RolledBack, ///< Final: the new version gets no calls and may never start again.
};

std::string_view moveStateName(MoveState state);

/// Parts of a thousand.
using PerMille = Number<struct PerMilleTag>;

/// Call outcomes of one version in the stage that an event ends.
struct VersionEvidence
{
    std::uint64_t calls = 0;
    std::uint64_t failures = 0;
    Microseconds latencyP95 = Microseconds(0);
};

/// An entry in the history of a move.
struct MoveEvent
{
    std::int64_t atMs = 0;
    PerMille share;
    std::string text;
    /// The operator's edit; empty for an event of the controller.
    EditId edit;
    /// Zero for edits of operators.
    VersionEvidence newer = {};
    VersionEvidence older = {};
};

/// The share at which the new version gets every call.
constexpr PerMille fullShare = PerMille(1000);
/// Maximum number of events in a record; the first event is always kept.
constexpr std::size_t maxMoveEvents = 120;

/// A move, as stored under `movePrefix`.  Every write is a compare-and-swap on the revision read.
struct Move
{
    ServiceId service;
    VersionId oldVersion;
    VersionId newVersion;
    MoveState state = MoveState::Running;
    /// The share of calls that the new version gets.
    PerMille share;
    std::int64_t startedAtMs = 0;
    /// When the new version is to have full share.
    std::int64_t deadlineMs = 0;
    /// When the new version first got full share; 0 before that.
    std::int64_t fullShareAtMs = 0;
    /// How often the share was reduced from full share to compare both versions again.
    std::uint32_t rechecks = 0;
    /// How many rechecks found both versions good.
    std::uint32_t clearedRechecks = 0;
    /// The edit that last wrote the record.
    EditId edit;
    /// Why the move was rolled back, or how it ended.
    std::string verdict;
    /// Versions of this service that were rolled back in this or earlier moves; none may start
    /// again.
    std::set<VersionId> refusedVersions;
    std::vector<MoveEvent> events;
    /// Outcomes of the old version up to the last raise of the share, so that a controller that
    /// takes over has a baseline even when the old version gets no more calls.  Stored as "past".
    OutcomeBatch baseline;
    /// The platform's revision of the record; not part of the stored value.
    ModRevision modRevision;
};

/// Returns whether the state is final: only a later move may replace the record.
bool isFinal(MoveState state);
/// Returns the version in force outside of the move: the new one if `Done`, else the old one.
const VersionId &versionInForce(const Move &move);
/// Adds an event at the current share.  Beyond `maxMoveEvents`, drops the oldest event but the
/// first.
void addMoveEvent(Move &move, std::int64_t atMs, std::string text, EditId edit = {});
/// Returns whether `edit` was already applied to this record, so that a write with a lost response
/// is not repeated.
bool containsEdit(const Move &move, const EditId &edit);

/// Encodes a move as JSON.
std::string encodeMove(const Move &move);
/// Decodes a move.  Fails with `InvalidMessage`.
Result<Move> decodeMove(std::string_view bytes);

/// The latest move of each service; immutable once shared.
struct MoveTable
{
    std::map<ServiceId, Move> moves;
};

} // namespace cornelhead
