// Learns how long calls of each route take at one server, and how often the server fails them.
//
// Load pattern: servers differ in speed, turn slow for seconds or after their start, and routes of
// one service differ in work; an estimate that mixes them up places calls badly.
#pragma once

#include <map>

#include "cornelhead/base/clock.h"
#include "cornelhead/base/ids.h"

namespace cornelhead {

/// Smoothed times and failures of one server.
class WorkEstimate
{
public:
    void record(const RouteId &route, Microseconds work, Microseconds objective, bool isFailure);
    /// Returns the expected time of a call of `route`.
    Microseconds expected(const RouteId &route, Microseconds objective) const;
    /// Returns the mean time of a call, relative to the objective of its route.
    double relativeWork() const { return relativeWork_; }
    double failureShare() const { return failureShare_; }
    /// Forgets failures with time, so that a server is tried again.
    void decay(Microseconds elapsed);

private:
    std::map<RouteId, double> relativeByRoute_;
    double relativeWork_ = unknownWork;
    double failureShare_ = 0.0;

    /// Part of the objective that an unknown route is taken to need.
    static constexpr double unknownWork = 0.3;
};

} // namespace cornelhead
