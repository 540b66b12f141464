// A token bucket with an injected clock.
#pragma once

#include <algorithm>

#include "cornelhead/base/clock.h"

namespace cornelhead {

/// Admits a steady rate of calls and short bursts above it.
class RateLimiter
{
public:
    RateLimiter(double perSecond, Clock clock)
        : perSecond_(perSecond), tokens_(capacity()), clock_(std::move(clock)),
          refilledAt_(now(clock_))
    { }

    /// Consumes a token; returns false if none is available.
    bool admit()
    {
        const TimePoint time = now(clock_);
        const std::chrono::duration<double> elapsed = time - refilledAt_;
        refilledAt_ = time;
        tokens_ = std::min(capacity(), tokens_ + elapsed.count() * perSecond_);
        if (tokens_ < 1)
            return false;
        tokens_ -= 1;
        return true;
    }

private:
    /// The capacity in seconds of the rate.
    static constexpr double burstSeconds = 0.25;

    double capacity() const { return std::max(1.0, perSecond_ * burstSeconds); }

    double perSecond_;
    // From 0 to capacity().
    double tokens_;
    Clock clock_;
    TimePoint refilledAt_;
};

} // namespace cornelhead
