// Spreads the raises of a share over the time to the deadline of the move.
#include "cornelhead/rollout/share-schedule.h"

#include <algorithm>
#include <array>

namespace cornelhead {
namespace detail {
namespace {

/// A raise of the share.  Times are fractions of the time from the start to the deadline.
struct ScheduleStep
{
    PerMille share;
    /// The earliest time, with enough evidence.
    double earliest = 0;
    /// The time of the raise without enough evidence, when there is none against the version.
    double latest = 0;
    /// The time of the raise although there is evidence against the version.
    double forced = 0;
};

constexpr std::array scheduleSteps = {
        ScheduleStep{PerMille(200), 0.15, 0.70, 0.75},
        ScheduleStep{PerMille(500), 0.30, 0.80, 0.85},
        ScheduleStep{fullShare, 0.45, 0.90, 0.95},
};

/// Reserved before the deadline, for another controller to take over.
constexpr std::int64_t takeoverReserveMs = 4'000;
constexpr std::int64_t lowerStageLimitMs = 500;
constexpr std::int64_t upperStageLimitMs = 10'000;
constexpr std::int64_t firstRecheckMs = 2'000;
constexpr std::uint32_t maxDoublings = 5;
constexpr std::int64_t minWatchMs = 8'000;
constexpr std::int64_t maxWatchMs = 900'000;

std::optional<RaiseReason> reasonFor(const ScheduleStep &step, const ScheduleInput &input)
{
    const std::int64_t moveMs = std::max<std::int64_t>(1, input.deadlineMs - input.startedAtMs);
    const std::int64_t scheduleMs = moveMs - std::min(takeoverReserveMs, moveMs / 4);
    const double elapsedFraction = static_cast<double>(input.nowMs - input.startedAtMs)
            / static_cast<double>(std::max<std::int64_t>(1, scheduleMs));
    if (elapsedFraction >= step.earliest && input.isCleared && !input.isSuspect)
        return RaiseReason::Cleared;
    if (elapsedFraction >= (input.isSuspect ? step.forced : step.latest))
        return RaiseReason::Deadline;
    return std::nullopt;
}

} // namespace
} // namespace detail

std::int64_t minStageMs(std::int64_t moveMs)
{
    return std::clamp(moveMs / 30, detail::lowerStageLimitMs, detail::upperStageLimitMs);
}

std::int64_t watchMs(std::int64_t moveMs)
{
    return std::clamp(moveMs / 2, detail::minWatchMs, detail::maxWatchMs);
}

std::int64_t recheckMs(std::uint32_t rechecks)
{
    // The duration doubles each time, which limits the number of changes of the share during a long
    // fault of both versions.
    const std::uint32_t doublings = std::min(rechecks > 0 ? rechecks - 1 : 0, detail::maxDoublings);
    return detail::firstRecheckMs << doublings;
}

std::string_view raiseReasonText(RaiseReason reason)
{
    switch (reason) {
    case RaiseReason::Start:
        return "initial share";
    case RaiseReason::Cleared:
        return "a regression would have shown";
    case RaiseReason::Deadline:
        return "the deadline is near";
    }
    return "unknown";
}

std::optional<ScheduledShare> dueShare(const ScheduleInput &input)
{
    // The initial share is the limit for a version without evidence, so it needs none.
    if (input.share < initialShare)
        return ScheduledShare{initialShare, RaiseReason::Start};
    if (input.stageMs < minStageMs(input.deadlineMs - input.startedAtMs))
        return std::nullopt;
    const auto step = std::find_if(
            detail::scheduleSteps.begin(), detail::scheduleSteps.end(),
            [&](const detail::ScheduleStep &candidate) { return candidate.share > input.share; });
    if (step == detail::scheduleSteps.end())
        return std::nullopt;
    const auto reason = detail::reasonFor(*step, input);
    if (!reason)
        return std::nullopt;
    return ScheduledShare{step->share, *reason};
}

} // namespace cornelhead
