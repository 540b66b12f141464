// Tests stepped moves: good versions complete in time, bad ones are reverted within their share.
#include <boost/test/unit_test.hpp>

#include "cornelhead/base/random.h"
#include "cornelhead/rollout/version-move.h"
#include "support/property.h"

namespace cornelhead {

/// One service with four old and four new servers, and a watcher that observes every answer.
struct MoveFixture
{
    VersionMoveWatcher watcher;
    Random random{testSeed(17)};
    TimePoint start{Milliseconds(1000)};
    TimePoint time = start;
    std::map<int, ServerCounters> countersByServer;
    int newAnswers = 0;
    int badNewAnswers = 0;
    TimePoint fiftiethBadAt{};
    TimePoint lastNewAnswerAt{};
    /// Fraction of the new version's answers to which `slowness` of `simulateCalls` applies.
    double slowFraction = 1.0;

    MoveFixture()
    {
        watcher.observeOrder(VersionMoveOrder{ServiceId("catalogue"), VersionId("v2"),
                                              ModRevision(5), Milliseconds(16'000)},
                             time);
    }
    bool isOver() const
    {
        return watcher.record() && watcher.record()->state != VersionMoveState::Running;
    }
    /// Simulates 300 calls per second; `isBad` and `slowness` describe the new version.
    template <typename IsBad>
    void simulateCalls(Milliseconds length, IsBad isBad, double slowness = 1.0)
    {
        for (const TimePoint end = time + length; time < end; time += Microseconds(3333)) {
            const bool isNew = random.below(1000) < watcher.perMille();
            const int server = static_cast<int>(random.below(4)) + (isNew ? 4 : 0);
            ServerCounters &counters = countersByServer[server];
            ++counters.answers;
            ++counters.timed;
            const bool isSlow = isNew && random.chance(slowFraction);
            const double work = 0.3 * (isSlow ? slowness : 1.0) * (0.5 + random.unit());
            counters.relativeWork += work;
            counters.late += work > 1.0 ? 1 : 0;
            const bool fails = isNew ? isBad() : random.chance(0.004);
            counters.failures += fails ? 1 : 0;
            countAnswer(isNew, fails || (isSlow && slowness > 3.0));
            watcher.addCounters(NodeId("n" + std::to_string(server)),
                                VersionId(isNew ? "v2" : "v1"), counters, time);
            if (const auto next = watcher.next(0, 4, time))
                watcher.observeRecord(*next, time + Milliseconds(1));
        }
    }
    void countAnswer(bool isNew, bool isBad)
    {
        if (!isNew)
            return;
        ++newAnswers;
        lastNewAnswerAt = time;
        if (isBad && ++badNewAnswers == 50)
            fiftiethBadAt = time;
    }
};

BOOST_FIXTURE_TEST_SUITE(version_move, MoveFixture)

BOOST_AUTO_TEST_CASE(goodVersionIsCompleteWithinTheAllowedTime)
{
    simulateCalls(Milliseconds(15'000), [this] { return random.chance(0.004); });
    BOOST_REQUIRE(isOver());
    BOOST_TEST((watcher.record()->state == VersionMoveState::Complete));
    BOOST_TEST(watcher.perMille() == 1000U);
}

BOOST_AUTO_TEST_CASE(versionThatFailsIsReverted)
{
    simulateCalls(Milliseconds(15'000), [this] { return random.chance(0.5); });
    BOOST_REQUIRE(isOver());
    BOOST_TEST((watcher.record()->state == VersionMoveState::Reverted));
    BOOST_TEST(watcher.perMille() == 0U);
    BOOST_TEST(newAnswers < 100);
}

// The failures begin 3.5 s after the start, when the first share has been served well.
BOOST_AUTO_TEST_CASE(versionThatFailsLateIsReverted)
{
    simulateCalls(Milliseconds(15'000),
                  [this] { return time - start > Milliseconds(3500) && random.chance(0.5); });
    BOOST_TEST((watcher.record()->state == VersionMoveState::Reverted));
    // A tenth of the calls until the deadline, plus 50.
    BOOST_TEST(newAnswers < 480 + 50);
}

BOOST_AUTO_TEST_CASE(versionThatFailsUnderLoadIsReverted)
{
    simulateCalls(Milliseconds(15'000),
                  [this] { return watcher.perMille() >= 500 && random.chance(0.4); });
    BOOST_TEST((watcher.record()->state == VersionMoveState::Reverted));
    BOOST_TEST(newAnswers < 480 + 50);
}

BOOST_AUTO_TEST_CASE(slowVersionIsReverted)
{
    simulateCalls(
            Milliseconds(15'000), [this] { return random.chance(0.004); }, 4.5);
    BOOST_TEST((watcher.record()->state == VersionMoveState::Reverted));
    BOOST_TEST(newAnswers < 480 + 50);
    if (badNewAnswers >= 50)
        BOOST_TEST((lastNewAnswerAt - fiftiethBadAt < Milliseconds(5000)));
}

// Two fifths of the answers are four times slower, so that the mean is no higher than on a slow
// host.
BOOST_AUTO_TEST_CASE(versionThatIsSlowForSomeCallsIsReverted)
{
    slowFraction = 0.4;
    simulateCalls(
            Milliseconds(15'000), [this] { return random.chance(0.004); }, 4.0);
    BOOST_TEST((watcher.record()->state == VersionMoveState::Reverted));
    BOOST_TEST(newAnswers < 480 + 50);
}

// All servers of the new version are on hosts with half the speed.
BOOST_AUTO_TEST_CASE(goodVersionOnSlowHostsIsComplete)
{
    simulateCalls(
            Milliseconds(15'000), [this] { return random.chance(0.004); }, 2.0);
    BOOST_REQUIRE(isOver());
    BOOST_TEST((watcher.record()->state == VersionMoveState::Complete));
}

// A called service is down: both versions fail alike, which is no evidence against the new one.
BOOST_AUTO_TEST_CASE(failuresOfBothVersionsDoNotRevert)
{
    for (int i = 0; i < 2000; ++i, time += Milliseconds(5)) {
        for (const int server : {0, 4}) {
            ServerCounters &counters = countersByServer[server];
            ++counters.answers;
            counters.failures += random.chance(0.3) ? 1 : 0;
            watcher.addCounters(NodeId("n" + std::to_string(server)),
                                VersionId(server == 4 ? "v2" : "v1"), counters, time);
        }
    }
    BOOST_TEST(watcher.verdict() == "");
}

BOOST_AUTO_TEST_CASE(endedMoveIsNotReopenedByALateRecord)
{
    const VersionMove running{ServiceId("catalogue"), VersionId("v2"), ModRevision(5), 500,
                              VersionMoveState::Running};
    VersionMove reverted = running;
    reverted.state = VersionMoveState::Reverted;
    watcher.observeRecord(reverted, time);
    watcher.observeRecord(running, time);
    BOOST_TEST(watcher.perMille() == 0U);
    BOOST_TEST(!watcher.next(0, 4, time + Milliseconds(60'000)));
}

BOOST_AUTO_TEST_CASE(higherRanksWaitForLowerRanks)
{
    BOOST_TEST(!watcher.next(2, 4, time + Milliseconds(2900)));
    BOOST_TEST(watcher.next(2, 4, time + Milliseconds(3000)).has_value());
}

BOOST_AUTO_TEST_CASE(newOrderReplacesAnEndedMove)
{
    VersionMove reverted{ServiceId("catalogue"), VersionId("v2"), ModRevision(5), 50,
                         VersionMoveState::Reverted};
    watcher.observeRecord(reverted, time);
    watcher.observeOrder(VersionMoveOrder{ServiceId("catalogue"), VersionId("v3"), ModRevision(9),
                                          Milliseconds(16'000)},
                         time);
    const auto next = watcher.next(0, 4, time);
    BOOST_REQUIRE(next);
    BOOST_TEST(next->target.value() == "v3");
    BOOST_TEST((next->state == VersionMoveState::Running));
}

BOOST_AUTO_TEST_CASE(decodesWhatItEncoded)
{
    const VersionMove move{ServiceId("catalogue"), VersionId("v2"), ModRevision(5), 200,
                           VersionMoveState::Reverted};
    const auto read = decodeVersionMove(encodeVersionMove(move));
    BOOST_REQUIRE(read);
    BOOST_TEST((*read == move));
    for (const char *bad : {"", "{}", "7",
                            R"({"service":"a","target":"b","ordered":1,)"
                            R"("perMille":1,"state":"done"})"})
        BOOST_TEST(!decodeVersionMove(bad));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace cornelhead
