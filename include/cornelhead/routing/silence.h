// Judges calls whose host did not answer them.
//
// Load pattern: a burst fills the links or the servers of a few hosts.  Their calls end by
// deadlines and by callers that leave, so no failure and no report comes back, the calls are no
// longer in flight, and the hosts look idle: they are chosen on and on after the burst.  So each
// call that ends unanswered raises the share of unanswered calls of its host.  The share decays
// quickly, as a host that gets no calls cannot prove that it answers again.
#pragma once

#include "cornelhead/base/clock.h"

namespace cornelhead {

/// Why a call stopped waiting for its host.
enum class UnansweredEnd {
    Deadline,
    CallerGone,
    Stalled, ///< The call is sent to the host again on a new connection.
};

/// Returns whether a call that ended unanswered, `waited` after it was sent to the host, tells
/// something about the host.
bool isSilence(UnansweredEnd end, Microseconds waited, Microseconds objective);

/// The smoothed share of a host's calls that it did not answer.
class UnansweredShare
{
public:
    void recordUnanswered(TimePoint now);
    void recordAnswer(TimePoint now);
    void clear() { share_ = 0.0; }
    /// Returns the share at `now`, from 0 to 1.
    double at(TimePoint now) const;

private:
    // As of `updatedAt_`.
    double share_ = 0.0;
    TimePoint updatedAt_{};
};

} // namespace cornelhead
