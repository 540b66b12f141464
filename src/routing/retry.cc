// Implements the retry decision and the retry budget.
#include "cornelhead/routing/retry.h"

#include <algorithm>
#include <cmath>

namespace cornelhead {
namespace detail {
namespace {

constexpr double firstHopRatio = 0.04;
constexpr double minHopRatio = 0.0008;
constexpr double retriesPerSecond = 0.5;
constexpr int hedgeLatencyFactor = 3;
constexpr Microseconds minHedgeDelay = Milliseconds(5);
constexpr int timeoutLatencyFactor = 20;
constexpr int timeoutDivisor = 3;
constexpr Microseconds minTimeout = Milliseconds(100);
constexpr Microseconds defaultLatency = Milliseconds(10);

} // namespace
} // namespace detail

bool provesNotRun(AttemptFailure failure)
{
    return failure == AttemptFailure::NotSent || failure == AttemptFailure::RefusedNotRun;
}

RetryDecision decideRetry(const FailedAttempt &attempt)
{
    const bool mayRepeat = attempt.idempotency == Idempotency::Idempotent;
    if (!mayRepeat && !provesNotRun(attempt.failure))
        return RetryDecision::NotAllowed;
    if (attempt.attempts >= maxAttempts)
        return RetryDecision::TooMany;
    if (attempt.remaining < minRetryTime)
        return RetryDecision::TooLate;
    return RetryDecision::Retry;
}

AttemptTimeouts attemptTimeouts(const Route &route, Microseconds latency, Milliseconds remaining)
{
    AttemptTimeouts timeouts;
    if (route.idempotency != Idempotency::Idempotent)
        return timeouts;
    const Microseconds expected = latency.count() > 0 ? latency : detail::defaultLatency;
    const auto timeout = std::max({detail::minTimeout, expected * detail::timeoutLatencyFactor,
                                   Microseconds(remaining) / detail::timeoutDivisor});
    // Leaves the next attempt as much time as this one.
    if (2 * timeout <= remaining)
        timeouts.giveUpAfter = timeout;
    const auto hedge = std::max(detail::minHedgeDelay, expected * detail::hedgeLatencyFactor);
    if (route.priority == CallPriority::High && 2 * hedge <= remaining)
        timeouts.hedgeAfter = hedge;
    return timeouts;
}

double retryRatio(std::uint32_t depth)
{
    return detail::firstHopRatio * std::exp2(-static_cast<double>(depth)) + detail::minHopRatio;
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
