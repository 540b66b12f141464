// Lets an operator see which calls leave the data centre, and why.
#pragma once

#include <map>

#include "cornelhead/base/event-log.h"
#include "cornelhead/base/metrics.h"
#include "cornelhead/routing/placement.h"

namespace cornelhead::detail {

/// Exports counts of departures and the share of each service as metrics, and logs marked changes
/// of a share.
class DepartureMonitor
{
public:
    /// `metrics` and `log` must outlive the monitor.
    DepartureMonitor(Metrics &metrics, EventLog &log);

    /// To be called a few times a second.
    void update(const DepartureCounts &counts, const std::map<ServiceId, double> &shares);

private:
    struct Service
    {
        double loggedShare = 0.0;
        Gauge *gauge = nullptr;
    };

    Metrics &metrics_;
    EventLog &log_;
    Counter &byShare_;
    Counter &byCost_;
    Counter &withoutLocalHost_;
    // Has at most `maxServices` entries, as metrics are never removed.
    std::map<ServiceId, Service> services_;
};

} // namespace cornelhead::detail
