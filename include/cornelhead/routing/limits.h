// Limits of customers: a token bucket for the rate, a count for the calls in flight.
#pragma once

#include <cstdint>
#include <unordered_map>

#include "cornelhead/base/clock.h"
#include "cornelhead/base/ids.h"
#include "cornelhead/config/declarations.h"

namespace cornelhead {

/// Lets `rate` events a second pass, and up to `burst` at once.
class TokenBucket
{
public:
    /// Adds what was earned since the last call, and takes one token if there is one.
    bool take(TimePoint now, double ratePerSecond, double burst);

private:
    // Invariant: 0 <= tokens_ <= the burst of the last call.
    double tokens_ = 0.0;
    TimePoint last_{};
    bool isStarted_ = false;
};

enum class LimitResult { Admitted, RateExceeded, ConcurrencyExceeded };

/// The part of the fleet's limits that this node may hand out; both in (0, 1].
struct LimitShare
{
    double rate = 1.0;
    double concurrency = 1.0;
};

/// Applies the limits of plans to customers.
class CustomerLimits
{
public:
    /// Takes a place for a call; each `Admitted` needs one `release`.
    LimitResult take(const CustomerId &customer, const Plan &plan, TimePoint now,
                     LimitShare share = {});
    void release(const CustomerId &customer);
    /// Returns the calls in flight of `customer`.
    std::uint32_t inFlight(const CustomerId &customer) const;
    /// Forgets customers without calls in flight that were quiet since `before`.
    void evictIdle(TimePoint before);

private:
    struct Entry
    {
        TokenBucket bucket;
        std::uint32_t inFlight = 0;
        TimePoint lastUse{};
    };

    std::unordered_map<CustomerId, Entry> entries_;
};

} // namespace cornelhead
