// Implements the evidence from unanswered calls.
#include "cornelhead/routing/silence.h"

#include <algorithm>
#include <cmath>

namespace cornelhead {
namespace detail {

// The weight of the latest call in the share.
constexpr double latestCallWeight = 0.3;
constexpr double shareHalfLifeUs = 1'000'000.0;
// A caller that leaves sooner than this, or than this part of the objective, proves nothing.
constexpr Microseconds minWait = Milliseconds(100);
constexpr int minObjectiveParts = 4;

} // namespace detail

bool isSilence(UnansweredEnd end, Microseconds waited, Microseconds objective)
{
    const Microseconds part = objective / detail::minObjectiveParts;
    switch (end) {
    case UnansweredEnd::Stalled:
        return true;
    case UnansweredEnd::CallerGone:
        return waited >= std::max(detail::minWait, part);
    case UnansweredEnd::Deadline:
        // The deadline of a call may be close to its objective, but a call that was sent shortly
        // before it could not have been answered.
        return waited >= std::min(detail::minWait, part);
    }
    return false;
}

void UnansweredShare::recordUnanswered(TimePoint now)
{
    const double share = at(now);
    share_ = share + detail::latestCallWeight * (1.0 - share);
    updatedAt_ = now;
}

void UnansweredShare::recordAnswer(TimePoint now)
{
    share_ = at(now) * (1.0 - detail::latestCallWeight);
    updatedAt_ = now;
}

double UnansweredShare::at(TimePoint now) const
{
    if (share_ == 0.0)
        return 0.0;
    return share_
            * std::exp2(-static_cast<double>((now - updatedAt_).count()) / detail::shareHalfLifeUs);
}

} // namespace cornelhead
