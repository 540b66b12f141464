// Tests a fleet of agents under failures of processes, links and the platform.
#include <boost/test/unit_test.hpp>

#include "cornelhead/base/log.h"
#include "distribution/fleet.h"

namespace cornelhead {

using test::Fleet;

namespace {

void startAll(Fleet &fleet)
{
    BOOST_REQUIRE(configureLogging("error").has_value());
    for (std::size_t i = 0; i < fleet.size(); ++i)
        fleet.start(i);
}

std::string summarize(const std::vector<std::string> &list)
{
    return list.empty() ? "" : list.front() + " (" + std::to_string(list.size()) + " in all)";
}

} // namespace

BOOST_AUTO_TEST_SUITE(fleet)

BOOST_AUTO_TEST_CASE(convergesAfterAColdStart)
{
    Fleet fleet(3, 4, 1);
    fleet.edit();
    startAll(fleet);
    fleet.run(Milliseconds(5000));
    BOOST_TEST(summarize(fleet.differences()) == "");
    fleet.edit();
    fleet.run(Milliseconds(300));
    BOOST_TEST(summarize(fleet.differences()) == "");
    BOOST_TEST(summarize(fleet.stats().violations) == "");
}

BOOST_AUTO_TEST_CASE(convergesBeforeTheLeasesOfDeadRelaysExpire)
{
    Fleet fleet(3, 12, 2);
    fleet.edit();
    startAll(fleet);
    fleet.run(Milliseconds(8000));
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        if (fleet.isRelay(i))
            fleet.kill(i, true);
    }
    fleet.edit();
    fleet.run(Milliseconds(2000));
    BOOST_TEST(summarize(fleet.nodesBehind()) == "");
}

BOOST_AUTO_TEST_CASE(convergesThroughNeighboursWhenCutOffFromThePlatform)
{
    Fleet fleet(3, 4, 3);
    fleet.edit();
    startAll(fleet);
    fleet.run(Milliseconds(5000));
    fleet.setPlatformPartitioned(0, true);
    fleet.edit();
    fleet.run(Milliseconds(1000));
    BOOST_TEST(summarize(fleet.nodesBehind()) == "");
}

BOOST_AUTO_TEST_CASE(readsTheFloorAtThePlatformBeforeARestartedNodeActs)
{
    Fleet fleet(1, 6, 4);
    fleet.edit();
    startAll(fleet);
    fleet.run(Milliseconds(5000));
    // A lagging relay gets no watch responses while all other nodes apply the next revision and are
    // killed.  The restarted nodes must not apply the older revision that this relay holds.
    std::size_t lagging = 0;
    while (!fleet.isRelay(lagging))
        ++lagging;
    fleet.withholdWatches(lagging);
    fleet.edit();
    fleet.run(Milliseconds(30));
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        if (i != lagging)
            fleet.kill(i, true);
    }
    for (std::size_t i = 0; i < fleet.size(); ++i)
        fleet.start(i);
    fleet.run(Milliseconds(3000));
    BOOST_TEST(summarize(fleet.stats().violations) == "");
    BOOST_TEST(fleet.stats().floorRegressions == 0);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace cornelhead
