// Spreads the steps of a move over the time to its deadline.
#include "cornelhead/rollout/share-schedule.h"

#include <algorithm>
#include <array>

namespace cornelhead {
namespace detail {
namespace {

/// One step up, in parts of the time from the start to the deadline.
struct ScheduleStep
{
    PerMille share;
    /// Not before, however good the evidence.
    double earliest = 0;
    /// Without enough evidence, but nothing against the version.
    double latest = 0;
    /// Also when something speaks against it.
    double forced = 0;
};

constexpr std::array scheduleSteps = {
        ScheduleStep{PerMille(200), 0.15, 0.70, 0.75},
        ScheduleStep{PerMille(500), 0.30, 0.80, 0.85},
        ScheduleStep{fullShare, 0.45, 0.90, 0.95},
};

/// The time before the deadline that is left for another controller to take over.
constexpr std::int64_t takeOverMs = 4'000;
constexpr std::int64_t minStageLimitMs = 500;
constexpr std::int64_t maxStageLimitMs = 10'000;
constexpr std::int64_t firstRecheckMs = 2'000;
constexpr std::uint32_t maxDoublings = 5;
constexpr std::int64_t minWatchMs = 8'000;
constexpr std::int64_t maxWatchMs = 900'000;

std::optional<RaiseReason> reasonFor(const ScheduleStep &step, const ScheduleInput &input)
{
    const std::int64_t moveMs = std::max<std::int64_t>(1, input.deadlineMs - input.startedAtMs);
    const std::int64_t raisingMs = moveMs - std::min(takeOverMs, moveMs / 4);
    const double part = static_cast<double>(input.nowMs - input.startedAtMs)
            / static_cast<double>(std::max<std::int64_t>(1, raisingMs));
    if (part >= step.earliest && input.isCleared && !input.isSuspect)
        return RaiseReason::Cleared;
    if (part >= (input.isSuspect ? step.forced : step.latest))
        return RaiseReason::Deadline;
    return std::nullopt;
}

} // namespace
} // namespace detail

std::int64_t minStageMs(std::int64_t moveMs)
{
    return std::clamp(moveMs / 30, detail::minStageLimitMs, detail::maxStageLimitMs);
}

std::int64_t watchMs(std::int64_t moveMs)
{
    return std::clamp(moveMs / 2, detail::minWatchMs, detail::maxWatchMs);
}

std::int64_t recheckMs(std::uint32_t rechecks)
{
    // Doubled each time, so that a long fault of both versions does not move the share for ever.
    const std::uint32_t doublings = std::min(rechecks > 0 ? rechecks - 1 : 0, detail::maxDoublings);
    return detail::firstRecheckMs << doublings;
}

std::string_view raiseReasonText(RaiseReason reason)
{
    switch (reason) {
    case RaiseReason::Start:
        return "to begin";
    case RaiseReason::Cleared:
        return "badness would have shown";
    case RaiseReason::Deadline:
        return "by the deadline";
    }
    return "unknown";
}

std::optional<ScheduledShare> dueShare(const ScheduleInput &input)
{
    // The first share is the bound for a version not judged, so it needs no evidence.
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
