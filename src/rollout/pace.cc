// Spreads the steps of a move over the time to its deadline.
#include "cornelhead/rollout/pace.h"

#include <algorithm>
#include <array>

namespace cornelhead {
namespace detail {
namespace {

/// One step up, in parts of the time from the start to the deadline.
struct PaceStep
{
    PerMille share;
    /// Not before, however good the evidence.
    double earliest = 0;
    /// Without enough evidence, but nothing against the version.
    double latest = 0;
    /// Also when something speaks against it.
    double forced = 0;
};

constexpr std::array paceSteps = {
        PaceStep{PerMille(200), 0.15, 0.70, 0.80},
        PaceStep{PerMille(500), 0.30, 0.80, 0.90},
        PaceStep{fullShare, 0.45, 0.90, 1.0},
};

/// The time before the deadline that is left for another controller to take over.
constexpr std::int64_t takeOverMs = 4'000;
constexpr std::int64_t shortestStageMs = 500;
constexpr std::int64_t longestStageMs = 10'000;
constexpr std::int64_t firstRecheckMs = 2'000;
constexpr std::uint32_t mostDoublings = 5;
constexpr std::int64_t shortestWatchMs = 8'000;
constexpr std::int64_t longestWatchMs = 900'000;

bool isDue(const PaceStep &step, const PaceInput &input)
{
    const auto moveMs
            = static_cast<double>(std::max<std::int64_t>(1, input.deadlineMs - input.startedAtMs));
    const double part = static_cast<double>(input.nowMs - input.startedAtMs) / moveMs;
    if (part >= step.forced)
        return true;
    if (input.isSuspect)
        return false;
    return part >= step.latest || (part >= step.earliest && input.isCleared);
}

} // namespace
} // namespace detail

std::int64_t leastStageMs(std::int64_t moveMs)
{
    return std::clamp(moveMs / 30, detail::shortestStageMs, detail::longestStageMs);
}

std::int64_t watchMs(std::int64_t moveMs)
{
    return std::clamp(moveMs / 2, detail::shortestWatchMs, detail::longestWatchMs);
}

std::int64_t recheckMs(std::uint32_t rechecks)
{
    // Doubled each time, so that a long fault of both versions does not move the share for ever.
    const std::uint32_t doublings
            = std::min(rechecks > 0 ? rechecks - 1 : 0, detail::mostDoublings);
    return detail::firstRecheckMs << doublings;
}

PerMille dueShare(const PaceInput &input)
{
    // The first share is the bound for a version not judged, so it needs no evidence.
    if (input.share < firstShare)
        return firstShare;
    if (input.stageMs < leastStageMs(input.deadlineMs - input.startedAtMs))
        return input.share;
    for (const detail::PaceStep &step : detail::paceSteps)
        if (step.share > input.share)
            return detail::isDue(step, input) ? step.share : input.share;
    return input.share;
}

} // namespace cornelhead
