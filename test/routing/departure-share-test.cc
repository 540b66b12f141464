// Tests when calls leave a data centre: the share by itself, the reach of other data centres, and
// fleets with data centres of uneven demand.
#include <boost/test/unit_test.hpp>

#include "cornelhead/routing/departure-share.h"
#include "routing/fleet-load.h"
#include "support/property.h"

namespace cornelhead {

const DataCentreId home("home");
const DataCentreId away("away");
constexpr double smallBytes = 400.0;
constexpr double largeBytes = 5000.0;

struct DepartureFixture
{
    DepartureShare departure;
    DataCentreReach reach;
    TimePoint time{Milliseconds(10'000)};

    /// Lets some time pass in which data centres have these loads, and returns the share.
    double pass(Milliseconds duration, LoadSample homeLoad, LoadSample awayLoad,
                double bytes = smallBytes)
    {
        const TimePoint end = time + duration;
        double share = 0.0;
        while (time < end) {
            time += DepartureShare::stepInterval;
            std::map<DataCentreId, DepartureShare::Known> known;
            known[home].add(homeLoad, 20.0, 1.0);
            known[away].add(awayLoad, 20.0, 1.0);
            departure.observe(known, time);
            const double before = share;
            share = departure.share(home, bytes, 0.08 + 1e-4 * bytes, reach, time);
            if (before > 0.0)
                BOOST_TEST(share - before <= DepartureShare::maxStep + 1e-9);
        }
        return share;
    }
    static LoadSample loadOf(double load, double cost) { return {load, cost, 0.1}; }
};

BOOST_FIXTURE_TEST_SUITE(departure_share, DepartureFixture)

BOOST_AUTO_TEST_CASE(shareRisesSlowlyAndFallsWithinASecondWhenTheOthersAreFull)
{
    const double share = pass(Milliseconds(3000), loadOf(1.4, 0.8), loadOf(0.5, 0.1));
    BOOST_TEST(share > 0.2);
    BOOST_TEST(share < 0.6);
    BOOST_TEST(pass(Milliseconds(1000), loadOf(1.4, 0.8), loadOf(1.8, 1.4)) < 0.25 * share);
    BOOST_TEST(pass(Milliseconds(3000), loadOf(1.4, 0.8), loadOf(0.5, 0.1)) > 0.2);
}

BOOST_AUTO_TEST_CASE(nothingLeavesWhileHomeHasRoomOrTheOthersAreAsFull)
{
    BOOST_TEST(pass(Milliseconds(3000), loadOf(0.7, 0.5), loadOf(0.2, 0.1)) == 0.0);
    BOOST_TEST(pass(Milliseconds(3000), loadOf(1.2, 0.8), loadOf(1.2, 0.5)) == 0.0);
}

BOOST_AUTO_TEST_CASE(largeBodiesLeaveLaterThanSmallOnes)
{
    BOOST_TEST(pass(Milliseconds(3000), loadOf(1.1, 0.5), loadOf(0.5, 0.1)) > 0.1);
    BOOST_TEST(pass(Milliseconds(3000), loadOf(1.1, 0.5), loadOf(0.5, 0.1), largeBytes) == 0.0);
    BOOST_TEST(pass(Milliseconds(3000), loadOf(1.8, 1.5), loadOf(0.5, 0.1), largeBytes) > 0.1);
}

BOOST_AUTO_TEST_CASE(cutDataCentreIsTriedWithSingleCalls)
{
    for (std::uint16_t port = 1; port <= 3; ++port)
        reach.recordFailure(away, Address{"10.0.0.1", port}, time);
    int tries = 0;
    for (int ms = 0; ms < 10'000; ++ms) {
        if (reach.isOpen(away, time + Milliseconds(ms))) {
            reach.recordSend(away, time + Milliseconds(ms));
            ++tries;
        }
    }
    BOOST_TEST(tries >= 4);
    BOOST_TEST(tries <= 7);
    reach.recordAnswer(away);
    BOOST_TEST(reach.isOpen(away, time));
}

FleetLoadSettings unevenFleet(DepartureRule rule, double load)
{
    FleetLoadSettings settings;
    settings.nodes = 60;
    settings.servers = 54;
    settings.slots = 4;
    settings.delayBetweenDataCentres = Microseconds(3900);
    settings.bytes = smallBytes;
    settings.policy.departure = rule;
    settings.phases = {LoadPhase{Milliseconds(0), load, {1.5, 0.75, 0.75}}};
    return settings;
}

/// Returns how much less of the calls of the first data centre are served in time than of all.
double shortfall(const FleetLoadResult &result)
{
    return result.shareInTime() - result.byDataCentre.at(DataCentreId("dc0")).shareInTime();
}

BOOST_AUTO_TEST_CASE(dataCentreShortOfRoomIsServedLikeTheOthers)
{
    constexpr std::uint64_t fleets = 4;
    double byCost = 0.0;
    double whenShort = 0.0;
    for (const double load : {0.6, 0.7, 0.8}) {
        double sum = 0.0;
        for (std::uint64_t fleet = 0; fleet < fleets; ++fleet) {
            FleetLoadSettings settings = unevenFleet(DepartureRule::WhenShort, load);
            settings.seed = testSeed(41) + fleet;
            sum += shortfall(FleetLoad(settings).run());
            settings.policy.departure = DepartureRule::ByCost;
            byCost += shortfall(FleetLoad(settings).run());
        }
        BOOST_TEST_CONTEXT("load " << load)
        BOOST_TEST(sum / fleets < 0.03);
        whenShort += sum;
    }
    BOOST_TEST(whenShort < byCost);
}

BOOST_AUTO_TEST_CASE(nothingLeavesByTheShareOnAQuietDay)
{
    FleetLoadSettings settings = unevenFleet(DepartureRule::WhenShort, 0.35);
    settings.seed = testSeed(42);
    const FleetLoadResult result = FleetLoad(settings).run();
    BOOST_TEST(result.byShare <= 0.001 * result.calls);
}

BOOST_AUTO_TEST_CASE(departuresDoNotSwingWithOldReports)
{
    FleetLoadSettings settings = unevenFleet(DepartureRule::WhenShort, 0.75);
    settings.reportAge = Milliseconds(500);
    settings.seed = testSeed(43);
    const FleetLoadResult result = FleetLoad(settings).run();
    BOOST_TEST(result.byShare > 0.0);
    const DataCentreCalls &calls = result.byDataCentre.at(DataCentreId("dc0"));
    const double mean = calls.shareAway(Milliseconds(8000), Milliseconds(20'000));
    for (Milliseconds from(8000); from < Milliseconds(20'000); from += Milliseconds(1000))
        BOOST_TEST(std::abs(calls.shareAway(from, from + Milliseconds(1000)) - mean) < 0.12);
}

BOOST_AUTO_TEST_CASE(callsStayAtHomeDuringACutAndLeaveAgainAfterIt)
{
    FleetLoadSettings settings = unevenFleet(DepartureRule::WhenShort, 0.7);
    settings.cutFrom = Milliseconds(8000);
    settings.cutUntil = Milliseconds(13'000);
    settings.seed = testSeed(44);
    const FleetLoadResult result = FleetLoad(settings).run();
    const DataCentreCalls &calls = result.byDataCentre.at(DataCentreId("dc0"));
    const double before = calls.shareAway(Milliseconds(5000), Milliseconds(8000));
    const double during = calls.shareAway(Milliseconds(9000), Milliseconds(13'000));
    const double after = calls.shareAway(Milliseconds(16'000), Milliseconds(20'000));
    BOOST_TEST(during < 0.1 * before);
    BOOST_TEST(after > 0.7 * before);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace cornelhead
