// Exponential backoff with jitter and an upper bound.
#pragma once

#include <algorithm>

#include "cornelhead/base/clock.h"
#include "cornelhead/base/random.h"

namespace cornelhead {

/// Computes jittered delays whose upper bound doubles from `initial` to `max`.
///
///     Backoff backoff(Milliseconds(200), Milliseconds(10000));
///     Milliseconds delay = backoff.next(random);
class Backoff
{
public:
    Backoff(Milliseconds initial, Milliseconds max) : initial_(initial), max_(max), bound_(initial)
    { }

    /// Returns a random delay between half the bound and the bound, and doubles the bound.
    Milliseconds next(Random &random)
    {
        const Milliseconds delay = bound_ / 2 + random.jitter(bound_ / 2);
        bound_ = std::min(bound_ * 2, max_);
        return delay;
    }
    void reset() { bound_ = initial_; }

private:
    Milliseconds initial_;
    Milliseconds max_;
    Milliseconds bound_;
};

} // namespace cornelhead
