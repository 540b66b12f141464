// Implements the operator actions on moves.
#include "cornelhead/rollout/move-actions.h"

#include <utility>

namespace cornelhead {
namespace detail {
namespace {

tl::unexpected<Error> finalStateError(const Move &move)
{
    return fail(ErrorKind::Conflict,
                "the move of " + move.service.value() + " to " + move.newVersion.value()
                        + " is over: " + std::string(moveStateName(move.state)),
                "start another move to change the version");
}

tl::unexpected<Error> stateError(const Move &move, const std::string &remedy)
{
    return fail(ErrorKind::Conflict,
                "the move of " + move.service.value() + " is "
                        + std::string(moveStateName(move.state)),
                remedy);
}

Move recordAction(Move move, const OperatorEdit &edit, const std::string &text)
{
    move.edit = edit.id;
    addMoveEvent(move, edit.nowMs, text, edit.id);
    return move;
}

Result<void> checkRequest(const StartRequest &request, std::int64_t nowMs)
{
    if (request.service.empty() || request.newVersion.empty() || request.oldVersion.empty())
        return fail(ErrorKind::InvalidSetting, "a move needs a service, an old and a new version",
                    "name the version in force as the old version");
    if (request.newVersion == request.oldVersion)
        return fail(ErrorKind::InvalidSetting,
                    request.newVersion.value() + " is already the version in force",
                    "give the version to move to");
    if (request.deadlineMs <= nowMs)
        return fail(ErrorKind::InvalidSetting, "the deadline has passed",
                    "give a deadline in the future");
    return {};
}

Result<void> checkCurrent(const Move &current, const StartRequest &request)
{
    if (!isFinal(current.state))
        return stateError(current, "wait until the move is over, or take it back first");
    if (current.refusedVersions.contains(request.newVersion))
        return fail(ErrorKind::Conflict,
                    request.newVersion.value() + " was taken back and may never start again",
                    "build the repaired version under a new name");
    if (request.oldVersion != versionInForce(current))
        return fail(ErrorKind::Conflict,
                    "the version in force is " + versionInForce(current).value() + ", not "
                            + request.oldVersion.value(),
                    "start from the version in force");
    return {};
}

} // namespace
} // namespace detail

Result<Move> startMove(const std::optional<Move> &current, const StartRequest &request,
                       const OperatorEdit &edit)
{
    if (current && containsEdit(*current, edit.id))
        return *current;
    StartRequest completeRequest = request;
    if (current && completeRequest.oldVersion.empty())
        completeRequest.oldVersion = versionInForce(*current);
    if (const auto valid = detail::checkRequest(completeRequest, edit.nowMs); !valid)
        return tl::unexpected(valid.error());
    Move move;
    if (current) {
        if (const auto valid = detail::checkCurrent(*current, completeRequest); !valid)
            return tl::unexpected(valid.error());
        move.refusedVersions = current->refusedVersions;
        move.modRevision = current->modRevision;
    }
    move.service = completeRequest.service;
    move.oldVersion = completeRequest.oldVersion;
    move.newVersion = completeRequest.newVersion;
    move.startedAtMs = edit.nowMs;
    move.deadlineMs = completeRequest.deadlineMs;
    return detail::recordAction(std::move(move), edit,
                                "started from " + completeRequest.oldVersion.value() + " to "
                                        + completeRequest.newVersion.value());
}

Result<Move> rollBackMove(const Move &move, const std::string &reason, const OperatorEdit &edit)
{
    if (containsEdit(move, edit.id))
        return move;
    if (isFinal(move.state))
        return detail::finalStateError(move);
    Move next = move;
    next.state = MoveState::RolledBack;
    next.share = PerMille(0);
    next.refusedVersions.insert(move.newVersion);
    next.verdict = "taken back by an operator" + (reason.empty() ? "" : ": " + reason);
    const std::string text = next.verdict;
    return detail::recordAction(std::move(next), edit, text);
}

Result<Move> pauseMove(const Move &move, const OperatorEdit &edit)
{
    if (containsEdit(move, edit.id))
        return move;
    if (isFinal(move.state))
        return detail::finalStateError(move);
    if (move.state != MoveState::Running)
        return detail::stateError(move, "only a running move can be paused; take it back instead");
    Move next = move;
    next.state = MoveState::Paused;
    return detail::recordAction(std::move(next), edit, "paused by an operator");
}

Result<Move> resumeMove(const Move &move, const OperatorEdit &edit)
{
    if (containsEdit(move, edit.id))
        return move;
    if (isFinal(move.state))
        return detail::finalStateError(move);
    if (move.state != MoveState::Paused)
        return detail::stateError(move, "only a paused move can be resumed");
    Move next = move;
    next.state = MoveState::Running;
    return detail::recordAction(std::move(next), edit, "resumed by an operator");
}

Result<Move> hastenMove(const Move &move, std::int64_t deadlineMs, const OperatorEdit &edit)
{
    if (containsEdit(move, edit.id))
        return move;
    if (isFinal(move.state))
        return detail::finalStateError(move);
    if (move.state == MoveState::Watching)
        return detail::stateError(move, "the new version has every call already");
    if (deadlineMs <= edit.nowMs || deadlineMs >= move.deadlineMs)
        return fail(ErrorKind::InvalidSetting,
                    "the new deadline has passed or is not before the current one",
                    "give a deadline between now and the current one");
    Move next = move;
    next.deadlineMs = deadlineMs;
    return detail::recordAction(std::move(next), edit, "deadline brought forward by an operator");
}

} // namespace cornelhead
