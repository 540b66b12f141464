// Operator actions on a move, as pure functions from one record to the next.
//
// The caller writes the result by compare-and-swap on the revision of the record that it read.  If
// the response to the write is lost, the caller reads the record again and repeats the action with
// the same edit id; an action that was already applied returns the record unchanged.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "cornelhead/rollout/move.h"

namespace cornelhead {

/// A request to move one service to a new version.
struct StartRequest
{
    ServiceId service;
    /// The version in force.  When empty, it is taken from the service's last move.
    VersionId oldVersion;
    VersionId newVersion;
    std::int64_t deadlineMs = 0;
};

struct OperatorEdit
{
    EditId id;
    std::int64_t nowMs = 0;
};

/// Starts a move at a share of 0.  `current` is the record of the service, if there is one.
///
/// Fails with `Conflict` while another move of the service is not final, when the new version was
/// ever rolled back, or when the old version is not the one in force.  Fails with `InvalidSetting`
/// when a version is missing, both are the same, or the deadline is not in the future.
///
///     Result<Move> move = startMove(read, {service, {}, VersionId("v2"), deadlineMs}, edit);
Result<Move> startMove(const std::optional<Move> &current, const StartRequest &request,
                       const OperatorEdit &edit);
/// Rolls the service back to the old version; the new version can never be started again.  Fails
/// with `Conflict` when the move is final.
Result<Move> rollBackMove(const Move &move, const std::string &reason, const OperatorEdit &edit);
/// Holds the share; the new version can still be rolled back on evidence.  Fails with `Conflict`
/// unless the move is running.
Result<Move> pauseMove(const Move &move, const OperatorEdit &edit);
/// Resumes a paused move.  Fails with `Conflict` unless the move is paused.
Result<Move> resumeMove(const Move &move, const OperatorEdit &edit);
/// Brings the deadline forward.  Fails with `Conflict` when the move is watching or final, and with
/// `InvalidSetting` unless the new deadline is in the future and before the current one.
Result<Move> hastenMove(const Move &move, std::int64_t deadlineMs, const OperatorEdit &edit);

} // namespace cornelhead
