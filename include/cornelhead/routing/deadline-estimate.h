// Tells a caller's later tries from its first by the time that it still waits.
//
// Load pattern: after refusals a good part of the calls are second and third tries, which can no
// longer meet their objective and must not take slots from those that can.
#pragma once

#include <algorithm>
#include <cstdint>

#include "cornelhead/base/clock.h"

namespace cornelhead {

/// Learns the deadline that most first tries of a route have: callers of a route mostly wait for
/// the same time, a few for longer, and later tries for what is left (a majority vote).
class DeadlineEstimate
{
public:
    /// Returns how long ago the first try was made, 0 for a first one, and learns from `left`.
    Milliseconds elapsed(Milliseconds left)
    {
        if (left == usual_)
            votes_ = std::min(votes_ + 1, mostVotes);
        else if (votes_ == 0)
            usual_ = left;
        else
            --votes_;
        return std::max(Milliseconds(0), usual_ - left);
    }

private:
    /// So many calls in a row with other deadlines replace the usual one.
    static constexpr std::uint32_t mostVotes = 200;

    Milliseconds usual_{};
    std::uint32_t votes_ = 0;
};

} // namespace cornelhead
