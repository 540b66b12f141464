// Implements the customer limits.
#include "cornelhead/routing/limits.h"

#include <algorithm>
#include <cmath>

namespace cornelhead {
namespace detail {
namespace {

constexpr double microsecondsPerSecond = 1e6;

// Each node allows at least one call, however small its share is.
double sharedLimit(std::uint32_t limit, double share)
{
    return std::max(1.0, std::ceil(static_cast<double>(limit) * share));
}

} // namespace
} // namespace detail

TokenBucket TokenBucket::emptyAt(TimePoint time)
{
    TokenBucket bucket;
    bucket.isStarted_ = true;
    bucket.updatedAt_ = time;
    return bucket;
}

bool TokenBucket::take(TimePoint now, double ratePerSecond, double burst)
{
    refill(now, ratePerSecond, burst);
    return takeUpTo(1) == 1;
}

std::uint32_t TokenBucket::takeUpTo(std::uint32_t count)
{
    const double taken = std::min(static_cast<double>(count), std::floor(tokens_));
    tokens_ -= taken;
    return static_cast<std::uint32_t>(taken);
}

void TokenBucket::refill(TimePoint now, double ratePerSecond, double burst)
{
    const double capacity = std::max(1.0, burst);
    const double seconds
            = static_cast<double>((now - updatedAt_).count()) / detail::microsecondsPerSecond;
    tokens_ = isStarted_ ? std::min(capacity, tokens_ + seconds * ratePerSecond) : capacity;
    isStarted_ = true;
    updatedAt_ = now;
}

LimitResult CustomerLimits::take(const CustomerId &customer, const Plan &plan, TimePoint now,
                                 LimitShare share)
{
    Entry &entry = entries_[customer];
    entry.lastUsedAt = now;
    if (entry.inFlight >= detail::sharedLimit(plan.concurrency, share.concurrency))
        return LimitResult::ConcurrencyExceeded;
    const double burst = detail::sharedLimit(plan.burst, share.rate);
    if (!entry.bucket.take(now, plan.ratePerSecond * share.rate, burst))
        return LimitResult::RateExceeded;
    ++entry.inFlight;
    return LimitResult::Admitted;
}

void CustomerLimits::release(const CustomerId &customer)
{
    const auto found = entries_.find(customer);
    if (found != entries_.end() && found->second.inFlight > 0)
        --found->second.inFlight;
}

std::uint32_t CustomerLimits::inFlight(const CustomerId &customer) const
{
    const auto found = entries_.find(customer);
    return found == entries_.end() ? 0 : found->second.inFlight;
}

void CustomerLimits::evictIdle(TimePoint before)
{
    std::erase_if(entries_, [before](const auto &entry) {
        return entry.second.inFlight == 0 && entry.second.lastUsedAt < before;
    });
}

} // namespace cornelhead
