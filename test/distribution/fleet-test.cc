// Tests how agents act together while processes, links and the platform fail.
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

std::string firstOf(const std::vector<std::string> &list)
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
    BOOST_TEST(firstOf(fleet.differences()) == "");
    fleet.edit();
    fleet.run(Milliseconds(300));
    BOOST_TEST(firstOf(fleet.differences()) == "");
    BOOST_TEST(firstOf(fleet.stats().violations) == "");
}

BOOST_AUTO_TEST_CASE(goesOnBeforeTheLeasesOfDeadRelaysLapse)
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
    BOOST_TEST(firstOf(fleet.nodesBehind()) == "");
}

BOOST_AUTO_TEST_CASE(convergesThroughNeighboursWhenCutOffFromThePlatform)
{
    Fleet fleet(3, 4, 3);
    fleet.edit();
    startAll(fleet);
    fleet.run(Milliseconds(5000));
    fleet.cutPlatform(0, true);
    fleet.edit();
    fleet.run(Milliseconds(1000));
    BOOST_TEST(firstOf(fleet.nodesBehind()) == "");
}

BOOST_AUTO_TEST_CASE(readsTheFloorAtThePlatformBeforeARestartedNodeActs)
{
    Fleet fleet(1, 6, 4);
    fleet.edit();
    startAll(fleet);
    fleet.run(Milliseconds(5000));
    // One relay falls nodesBehind, and every other node dies after it acted on the next revision.
    std::size_t late = 0;
    while (!fleet.isRelay(late))
        ++late;
    fleet.holdWatches(late);
    fleet.edit();
    fleet.run(Milliseconds(30));
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        if (i != late)
            fleet.kill(i, true);
    }
    for (std::size_t i = 0; i < fleet.size(); ++i)
        fleet.start(i);
    fleet.run(Milliseconds(3000));
    BOOST_TEST(firstOf(fleet.stats().violations) == "");
    BOOST_TEST(fleet.stats().floorRegressions == 0);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace cornelhead
