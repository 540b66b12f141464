// Waiting times between tries that grow, are bounded, and differ between nodes.
#pragma once

#include <algorithm>

#include "cornelhead/base/clock.h"
#include "cornelhead/base/random.h"

namespace cornelhead {

/// Gives jittered waits whose upper bound doubles from `first` to `most`.
///
///     Backoff backoff(Milliseconds(200), Milliseconds(10000));
///     Milliseconds wait = backoff.next(random);
class Backoff
{
public:
    Backoff(Milliseconds first, Milliseconds most) : first_(first), most_(most), bound_(first) { }

    /// Draws from half the bound to the bound, and doubles the bound.
    Milliseconds next(Random &random)
    {
        const Milliseconds wait = bound_ / 2 + random.jitter(bound_ / 2);
        bound_ = std::min(bound_ * 2, most_);
        return wait;
    }
    void reset() { bound_ = first_; }

private:
    Milliseconds first_;
    Milliseconds most_;
    Milliseconds bound_;
};

} // namespace cornelhead
