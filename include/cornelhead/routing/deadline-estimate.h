// Distinguishes a caller's retries from first attempts by the deadline that is left.
//
// Load pattern: after refusals, many calls are second and third attempts.  They can no longer meet
// their latency objective and must not take slots from calls that can.
#pragma once

#include <algorithm>
#include <cstdint>

#include "cornelhead/base/clock.h"

namespace cornelhead {

/// Estimates the deadline that most first attempts of a route have, by a majority vote.
///
/// Most callers of a route use the same timeout and a few a longer one; a retry has only the rest
/// of it.
class DeadlineEstimate
{
public:
    /// Updates the estimate with the remaining deadline of a call, and returns how long ago its
    /// caller made the first attempt; 0 for a first attempt.
    Milliseconds elapsed(Milliseconds remaining)
    {
        if (remaining == initial_)
            votes_ = std::min(votes_ + 1, maxVotes);
        else if (votes_ == 0)
            initial_ = remaining;
        else
            --votes_;
        return std::max(Milliseconds(0), initial_ - remaining);
    }

private:
    /// This many consecutive calls with other deadlines replace the estimate.
    static constexpr std::uint32_t maxVotes = 200;

    Milliseconds initial_{};
    std::uint32_t votes_ = 0;
};

} // namespace cornelhead
