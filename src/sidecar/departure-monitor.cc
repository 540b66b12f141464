// Implements the metrics and log lines of departures.
#include "cornelhead/sidecar/departure-monitor.h"

#include <cmath>

namespace cornelhead::detail {

namespace {

constexpr const char *departuresMetric = "cornelhead_entry_departures_total";
constexpr std::size_t maxServices = 64;
/// A share that changed by so much since it was logged is logged again.
constexpr double markedChange = 0.1;
constexpr double perMille = 1000.0;

void raiseTo(Counter &counter, std::uint64_t value)
{
    counter.add(value - counter.value());
}

bool isMarked(double share, double logged)
{
    return std::abs(share - logged) >= markedChange || (share == 0.0) != (logged == 0.0);
}

} // namespace

DepartureMonitor::DepartureMonitor(Metrics &metrics, EventLog &log)
    : metrics_(metrics), log_(log),
      byShare_(metrics.counter(departuresMetric, {{"reason", "share"}})),
      byCost_(metrics.counter(departuresMetric, {{"reason", "cost"}})),
      withoutLocalHost_(metrics.counter(departuresMetric, {{"reason", "no-local-host"}}))
{ }

void DepartureMonitor::update(const DepartureCounts &counts,
                              const std::map<ServiceId, double> &shares)
{
    raiseTo(byShare_, counts.byShare);
    raiseTo(byCost_, counts.byCost);
    raiseTo(withoutLocalHost_, counts.withoutLocalHost);
    for (const auto &[id, share] : shares) {
        if (!services_.contains(id) && (share == 0.0 || services_.size() >= maxServices))
            continue;
        Service &service = services_[id];
        if (!service.gauge) {
            service.gauge = &metrics_.gauge("cornelhead_entry_departure_share_per_mille",
                                            {{"service", id.value()}});
        }
        service.gauge->set(std::lround(share * perMille));
        if (!isMarked(share, service.loggedShare))
            continue;
        service.loggedShare = share;
        log_.write(EventKind::StateChange, "entry", "departure-share",
                   {{"service", id.value()}, {"perMille", std::lround(share * perMille)}});
    }
}

} // namespace cornelhead::detail
