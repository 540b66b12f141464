// Raises shares by time and judges failure rates by a threshold.
#include "rollout/threshold-controller.h"

#include <algorithm>
#include <array>

namespace cornelhead::simulation {
namespace detail {
namespace {

constexpr std::int64_t windowMs = 10'000;
constexpr double maxExtraFailureRate = 0.05;
constexpr std::uint64_t minCalls = 20;
constexpr std::array<std::uint64_t, 5> steps = {50, 250, 500, 750, 1000};

double failureRate(const OutcomeSums &sums)
{
    return static_cast<double>(sums.failures)
            / static_cast<double>(std::max<std::uint64_t>(1, sums.calls));
}

} // namespace
} // namespace detail

void ThresholdController::addEvidence(const OutcomeBatch &outcomes, std::int64_t nowMs)
{
    if (nowMs - windowStartMs_ > detail::windowMs) {
        windowStartMs_ = nowMs;
        newer_ = {};
        older_ = {};
    }
    for (const auto &[key, sums] : outcomes)
        (key.version == move_.newVersion ? newer_ : older_).add(sums);
}

bool ThresholdController::exceedsThreshold() const
{
    return newer_.calls >= detail::minCalls
            && detail::failureRate(newer_)
            > detail::failureRate(older_) + detail::maxExtraFailureRate;
}

std::optional<Move> ThresholdController::next(const ServiceId &, std::int64_t nowMs)
{
    if (isFinal(move_.state))
        return std::nullopt;
    Move next = move_;
    const std::int64_t moveMs = std::max<std::int64_t>(1, move_.deadlineMs - move_.startedAtMs);
    const auto step = static_cast<std::size_t>(
            std::clamp<std::int64_t>((nowMs - move_.startedAtMs) * 6 / moveMs, 0, 4));
    if (exceedsThreshold()) {
        next.state = MoveState::RolledBack;
        next.share = PerMille(0);
    } else if (move_.state == MoveState::Watching) {
        if (nowMs - move_.fullShareAtMs < moveMs / 2)
            return std::nullopt;
        next.state = MoveState::Done;
    } else if (detail::steps[step] > move_.share.value()) {
        next.share = PerMille(detail::steps[step]);
        if (next.share == fullShare) {
            next.state = MoveState::Watching;
            next.fullShareAtMs = nowMs;
        }
    } else {
        return std::nullopt;
    }
    return next;
}

} // namespace cornelhead::simulation
