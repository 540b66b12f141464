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

namespace cornelhead {

enum class MoveState {
    Running, ///< The controller raises the share step by step.
    Paused, ///< An operator holds the share.
    Watching, ///< The new version has all calls and is still judged against its past.
    Done, ///< Final: the new version is the service's version.
    TakenBack, ///< Final: the new version gets no calls, ever.
};

std::string_view moveStateName(MoveState state);

/// Parts of a thousand.
using PerMille = Number<struct PerMilleTag>;

/// One line of a move's story, for the report.
struct MoveEvent
{
    std::int64_t atMs = 0;
    PerMille share;
    std::string text;
};

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
    /// The edit that wrote the record last.
    EditId edit;
    /// Why it was taken back, or how it ended.
    std::string verdict;
    /// Versions of this service that were taken back, now or before; none of them may start again.
    std::set<VersionId> refusedVersions;
    std::vector<MoveEvent> events;
    /// The platform's revision of this record; not stored in it.
    ModRevision modRevision;
};

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
