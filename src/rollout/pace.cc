// Spreads the steps of a move over the time to its deadline.
#include "cornelhead/rollout/pace.h"

#include <algorithm>
#include <array>

namespace cornelhead {
namespace detail {

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
        PaceStep{PerMille(150), 0.2, 0.50, 0.60}, PaceStep{PerMille(300), 0.3, 0.58, 0.70},
        PaceStep{PerMille(500), 0.4, 0.66, 0.80}, PaceStep{PerMille(750), 0.5, 0.74, 0.88},
        PaceStep{fullShare, 0.6, 0.82, 0.95},
};

constexpr std::int64_t shortestStageMs = 500;
constexpr std::int64_t longestStageMs = 10'000;
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

} // namespace detail

std::int64_t leastStageMs(std::int64_t moveMs)
{
    return std::clamp(moveMs / 30, detail::shortestStageMs, detail::longestStageMs);
}

std::int64_t watchMs(std::int64_t moveMs)
{
    return std::clamp(moveMs / 2, detail::shortestWatchMs, detail::longestWatchMs);
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
