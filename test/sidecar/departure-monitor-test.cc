// Tests the metrics and log lines of departures.
#include <boost/test/unit_test.hpp>

#include "cornelhead/sidecar/departure-monitor.h"

namespace cornelhead::detail {

BOOST_AUTO_TEST_SUITE(departure_monitor)

BOOST_AUTO_TEST_CASE(markedChangesAreLoggedAndCountsExported)
{
    Metrics metrics;
    EventLog log(metrics);
    DepartureMonitor monitor(metrics, log);
    const ServiceId service("bookings");
    for (const double share : {0.0, 0.02, 0.05, 0.13, 0.13, 0.0})
        monitor.update(DepartureCounts{3, 2, 1}, {{service, share}});
    BOOST_TEST(log.queued().size() == 3U);
    BOOST_TEST(metrics.counter("cornelhead_entry_departures_total", {{"reason", "share"}}).value()
               == 3U);
    monitor.update(DepartureCounts{4, 2, 1}, {{service, 0.25}});
    BOOST_TEST(metrics.counter("cornelhead_entry_departures_total", {{"reason", "share"}}).value()
               == 4U);
    BOOST_TEST(
            metrics.gauge("cornelhead_entry_departure_share_per_mille", {{"service", "bookings"}})
                    .value()
            == 250);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace cornelhead::detail
