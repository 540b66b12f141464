// Spaces the calls to a backend server that limits the rate of its calls.
#pragma once

#include <cstddef>
#include <optional>

#include "cornelhead/base/clock.h"
#include "cornelhead/base/units.h"

namespace cornelhead {

/// Keeps the starts of calls within a limit, apart from `burstTime`.  Reads no clock.
///
/// Invariant: within any span of time T at an unchanged limit, at most
/// limit * (T + burstTime) + 1 calls start.
class CallPacer
{
public:
    /// Calls may start as early as if the limit had allowed them for this much longer.
    static constexpr Milliseconds burstTime = Milliseconds(200);
    /// A server that accepts no calls cannot report that its limit has ended, so a few are sent.
    static constexpr CallRate minLimit = CallRate(0.5);

    /// A new limit begins without a burst, as calls that started before are not known to be few.
    void setLimit(std::optional<CallRate> limit, TimePoint now);
    const std::optional<CallRate> &limit() const { return limit_; }

    /// Returns the time until a call may start that waits behind `ahead` others; 0 without a limit.
    Microseconds waitBehind(std::size_t ahead, TimePoint now) const;
    /// Records the start of a call.
    void start(TimePoint now);

    /// Records a call that arrived, whether or not it may start.
    void recordArrival(TimePoint now);
    /// Returns the rate of recent arrivals.
    CallRate demand(TimePoint now) const;

private:
    Microseconds interval() const;

    std::optional<CallRate> limit_;
    // The time up to which the calls that have started use the limit.
    TimePoint usedUntil_{};
    // Exponentially decaying count of arrivals, as of `arrivalsAt_`.
    double arrivals_ = 0.0;
    TimePoint arrivalsAt_{};
};

} // namespace cornelhead
