// Implements the retry decision and its budget.
#include "cornelhead/routing/retry.h"

#include <algorithm>
#include <cmath>

namespace cornelhead {
namespace detail {
namespace {

constexpr double firstHopShare = 0.04;
constexpr double leastHopShare = 0.0008;
constexpr double retriesPerSecond = 0.5;
constexpr int hedgeLatencies = 3;
constexpr Microseconds leastHedgeDelay = Milliseconds(5);
constexpr int silentLatencies = 20;
constexpr int silentPart = 3;
constexpr Microseconds leastSilence = Milliseconds(100);
constexpr Microseconds unknownLatency = Milliseconds(10);

} // namespace
} // namespace detail

bool provesNotRun(AttemptFailure failure)
{
    return failure == AttemptFailure::NotSent || failure == AttemptFailure::RefusedNotRun;
}

RetryDecision decideRetry(const FailedAttempt &question)
{
    const bool mayRepeat = question.idempotency == Idempotency::Idempotent;
    if (!mayRepeat && !provesNotRun(question.failure))
        return RetryDecision::NotAllowed;
    if (question.attempts >= maxAttempts)
        return RetryDecision::TooMany;
    if (question.remaining < minRetryTime)
        return RetryDecision::TooLate;
    return RetryDecision::Retry;
}

AttemptTimeouts attemptTimeouts(const Route &route, Microseconds latency, Milliseconds remaining)
{
    AttemptTimeouts patience;
    if (route.idempotency != Idempotency::Idempotent)
        return patience;
    const Microseconds expected = latency.count() > 0 ? latency : detail::unknownLatency;
    const auto silence = std::max({detail::leastSilence, expected * detail::silentLatencies,
                                   Microseconds(remaining) / detail::silentPart});
    // The next attempt needs as much time as this one had.
    if (2 * silence <= remaining)
        patience.giveUpAfter = silence;
    const auto hedge = std::max(detail::leastHedgeDelay, expected * detail::hedgeLatencies);
    if (route.priority == CallPriority::High && 2 * hedge <= remaining)
        patience.hedgeAfter = hedge;
    return patience;
}

double retryRatio(std::uint32_t depth)
{
    return detail::firstHopShare * std::exp2(-static_cast<double>(depth)) + detail::leastHopShare;
}

void RetryBudget::addCall(std::uint32_t depth)
{
    tokens_ = std::min(maxTokens, tokens_ + retryRatio(depth));
}

void RetryBudget::addTime(Microseconds elapsed)
{
    const double seconds = std::chrono::duration<double>(elapsed).count();
    tokens_ = std::min(maxTokens, tokens_ + seconds * detail::retriesPerSecond);
}

bool RetryBudget::takeHedge()
{
    return tokens_ >= reservedTokens + 1.0 && take();
}

bool RetryBudget::take()
{
    if (tokens_ < 1.0)
        return false;
    tokens_ -= 1.0;
    return true;
}

} // namespace cornelhead
