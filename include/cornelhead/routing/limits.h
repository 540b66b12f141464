// Limits of customers: a token bucket for the call rate and a bound on calls in flight.
#pragma once

#include <cstdint>
#include <unordered_map>

#include "cornelhead/base/clock.h"
#include "cornelhead/base/ids.h"
#include "cornelhead/config/declarations.h"

namespace cornelhead {

/// Admits `ratePerSecond` events a second on average, and up to `burst` at once.
class TokenBucket
{
public:
    /// A new bucket is full at its first use.
    TokenBucket() = default;
    /// Returns a bucket that has earned tokens since `time` only.
    static TokenBucket emptyAt(TimePoint time);

    /// Adds the tokens earned since the last call, then takes one; false if there is none.
    bool take(TimePoint now, double ratePerSecond, double burst);
    /// Adds the tokens earned since the last call, and drops those beyond the capacity, which is
    /// `burst` but at least 1.
    void refill(TimePoint now, double ratePerSecond, double burst);
    /// Takes up to `count` whole tokens.  Returns how many were taken.
    std::uint32_t takeUpTo(std::uint32_t count);
    /// Puts unused tokens back.  The next `refill` drops those beyond the capacity.
    void putBack(std::uint32_t count) { tokens_ += count; }
    /// The tokens after the last `refill`.
    double tokens() const { return tokens_; }

private:
    // Invariant: at least 0; after `refill` at most the last burst, or 1 if that was less.
    double tokens_ = 0.0;
    TimePoint updatedAt_{};
    bool isStarted_ = false;
};

enum class LimitResult { Admitted, RateExceeded, ConcurrencyExceeded };

/// The share of a fleet-wide limit that this node enforces; both in (0, 1].
struct LimitShare
{
    double rate = 1.0;
    double concurrency = 1.0;
};

/// Enforces the plan limits of customers at this node.
class CustomerLimits
{
public:
    /// Counts a call as in flight if both limits allow it.  Each `Admitted` needs one `release`.
    LimitResult take(const CustomerId &customer, const Plan &plan, TimePoint now,
                     LimitShare share = {});
    void release(const CustomerId &customer);
    /// Returns the number of calls of `customer` in flight.
    std::uint32_t inFlight(const CustomerId &customer) const;
    /// Removes customers without calls in flight and without a call since `before`.
    void evictIdle(TimePoint before);

private:
    struct Entry
    {
        TokenBucket bucket;
        std::uint32_t inFlight = 0;
        TimePoint lastUsedAt{};
    };

    std::unordered_map<CustomerId, Entry> entries_;
};

} // namespace cornelhead
