// Estimates the service time of each route at one server, and the server's failure rate.
//
// Load pattern: servers differ in speed and slow down for seconds or after their start, and routes
// of a service differ in service time, so one estimate for all routes would mislead placement.
#pragma once

#include <map>

#include "cornelhead/base/clock.h"
#include "cornelhead/base/ids.h"
#include "cornelhead/rollout/server-samples.h"

namespace cornelhead {

/// Smoothed service times and failures of one server.
class WorkEstimate
{
public:
    /// Records a call of `route` with its service time and latency objective.  Of a call that was
    /// not answered the service time is a lower bound, which may only raise the estimate.
    void record(const RouteId &route, Microseconds work, Microseconds objective, CallEnd end);
    /// Returns the expected service time of a call of `route`.
    Microseconds expected(const RouteId &route, Microseconds objective) const;
    /// Returns the mean service time of a call relative to the objective of its route.
    double relativeWork() const { return relativeWork_; }
    /// Returns the smoothed share of failures among the calls, between 0 and 1.
    double failureShare() const { return failureShare_; }
    /// Reduces the failure share over time, so that the server is tried again.
    void decay(Microseconds elapsed);

private:
    std::map<RouteId, double> relativeByRoute_;
    double relativeWork_ = defaultRelativeWork;
    double failureShare_ = 0.0;

    /// The assumed service time before the first call, as a fraction of the objective.
    static constexpr double defaultRelativeWork = 0.3;
};

} // namespace cornelhead
