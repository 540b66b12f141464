// Implements the retry decision and its budget.
#include "cornelhead/routing/retry.h"

#include <algorithm>
#include <cmath>

namespace cornelhead {
namespace detail {
namespace {

constexpr double firstHopShare = 0.04;
constexpr double leastHopShare = 0.0008;

} // namespace
} // namespace detail

bool provesNotRun(AttemptFailure failure)
{
    return failure == AttemptFailure::NotSent || failure == AttemptFailure::RefusedNotRun;
}

RetryDecision decideRetry(const RetryQuestion &question)
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

double retryShare(std::uint32_t depth)
{
    return detail::firstHopShare * std::exp2(-static_cast<double>(depth)) + detail::leastHopShare;
}

void RetryBudget::addCall(std::uint32_t depth)
{
    tokens_ = std::min(maxTokens, tokens_ + retryShare(depth));
}

bool RetryBudget::take()
{
    if (tokens_ < 1.0)
        return false;
    tokens_ -= 1.0;
    return true;
}

} // namespace cornelhead
