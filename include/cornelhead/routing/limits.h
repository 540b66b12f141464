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
    /// Adds the tokens earned since the last call, then takes one; false if there is none.
    bool take(TimePoint now, double ratePerSecond, double burst);

private:
    // Invariant: between 0 and the last burst, or 1 if that was less.
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
