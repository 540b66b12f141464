// What operators may do to a move, as pure functions from one record to the next.
//
// The caller writes the result by compare-and-swap on the revision of the record it read.  After a
// lost answer it reads again and repeats the action with the same edit id: the action then returns
// the record unchanged.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "cornelhead/rollout/move.h"

namespace cornelhead {

/// Asks for a move of one service.
struct StartRequest
{
    ServiceId service;
    /// The version in force; may stay empty when an earlier move names it.
    VersionId oldVersion;
    VersionId newVersion;
    std::int64_t deadlineMs = 0;
};

/// Names one operator action and when it was made.
struct OperatorEdit
{
    EditId id;
    std::int64_t nowMs = 0;
};

/// Starts a move with no share yet.  `current` is the record of the service, if it has one.
///
/// Fails with `Conflict` while another move of the service is not over, when the new version was
/// ever taken back, or when the old version is not the one in force; with `InvalidSetting` when the
/// versions are missing or the same or the deadline is not in the future.
///
///     Result<Move> move = startMove(read, {service, {}, VersionId("v2"), deadlineMs}, edit);
Result<Move> startMove(const std::optional<Move> &current, const StartRequest &request,
                       const OperatorEdit &edit);
/// Gives all calls back to the old version for good; also allowed while watching.
///
/// Fails with `Conflict` when the move is over.
Result<Move> rollBackMove(const Move &move, const std::string &reason, const OperatorEdit &edit);
/// Holds the share; the new version is still judged.  Fails with `Conflict` unless it runs.
Result<Move> pauseMove(const Move &move, const OperatorEdit &edit);
/// Goes on after a pause.  Fails with `Conflict` unless it is paused.
Result<Move> resumeMove(const Move &move, const OperatorEdit &edit);
/// Brings the deadline forward.  Fails with `Conflict` unless the share may still rise, and with
/// `InvalidSetting` unless the deadline is in the future and before the present one.
Result<Move> hastenMove(const Move &move, std::int64_t deadlineMs, const OperatorEdit &edit);

} // namespace cornelhead
