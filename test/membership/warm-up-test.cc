// Tests the warm-up of a server as its heartbeats tell it.
#include <boost/test/unit_test.hpp>

#include "cornelhead/membership/warm-up.h"

namespace cornelhead {

struct WarmUpFixture
{
    WarmUp warmUp;

    static TimePoint at(int ms) { return TimePoint(Milliseconds(ms)); }
    void observe(int atMs, int remainingMs, std::int64_t startedAtMs = 1, const char *id = "b1")
    {
        ServerAnnouncement announcement;
        announcement.server.id = ServerId(id);
        announcement.startedAtMs = startedAtMs;
        announcement.remainingColdTime = Milliseconds(remainingMs);
        warmUp.observe(announcement, at(atMs));
    }
};

BOOST_FIXTURE_TEST_SUITE(warm_up, WarmUpFixture)

BOOST_AUTO_TEST_CASE(serverIsNotWarmBeforeItsFirstHeartbeat)
{
    BOOST_TEST(!warmUp.isOver(at(100'000)));
}

BOOST_AUTO_TEST_CASE(laterHeartbeatsOfAWarmServerChangeNothing)
{
    observe(1000, 3000);
    BOOST_TEST(!warmUp.isOver(at(3999)));
    observe(5500, 0);
    BOOST_TEST(warmUp.isOver(at(4000)));
    observe(7000, 0);
    BOOST_TEST(warmUp.isOver(at(5000)));
}

BOOST_AUTO_TEST_CASE(delayedOrLongerRemainderDoesNotProlongTheWarmUp)
{
    observe(1000, 3000);
    observe(3500, 3000);
    BOOST_TEST(warmUp.isOver(at(4000)));
    observe(3600, 60'000);
    BOOST_TEST(warmUp.isOver(at(4000)));
}

// The first heartbeat was read late, after a pause of the process.
BOOST_AUTO_TEST_CASE(shorterRemainderCorrectsALateHeartbeat)
{
    observe(6000, 3000);
    BOOST_TEST(!warmUp.isOver(at(7000)));
    observe(6500, 0);
    BOOST_TEST(warmUp.isOver(at(7000)));
}

BOOST_AUTO_TEST_CASE(nextRunWarmsUpAgain)
{
    observe(1000, 0);
    observe(9000, 3000, 2);
    BOOST_TEST(!warmUp.isOver(at(11'999)));
    BOOST_TEST(warmUp.isOver(at(12'000)));
    observe(13'000, 3000, 2, "b2");
    BOOST_TEST(!warmUp.isOver(at(15'999)));
}

BOOST_AUTO_TEST_CASE(serverThatWentDownIsNotWarmUntilItsNextHeartbeat)
{
    observe(1000, 0);
    warmUp.reset();
    BOOST_TEST(!warmUp.isOver(at(2000)));
    observe(2500, 0);
    BOOST_TEST(warmUp.isOver(at(2500)));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace cornelhead
