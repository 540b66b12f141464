// Tests stepped moves: good versions complete in time, bad ones are reverted within their share.
#include <boost/test/unit_test.hpp>

#include "cornelhead/base/random.h"
#include "cornelhead/platform/store-types.h"
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
    Microseconds callGap{3333};
    /// The durations of the new version's answers count, and its servers' counters are reported.
    bool areNewCallsTimed = true;
    bool areNewCallsReported = true;

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
    /// Simulates calls, 300 per second by default; `isBad` and `slowness` describe the new version.
    template <typename IsBad>
    void simulateCalls(Milliseconds length, IsBad isBad, double slowness = 1.0)
    {
        for (const TimePoint end = time + length; time < end; time += callGap) {
            const bool isNew = random.below(1000) < watcher.perMille();
            const int server = static_cast<int>(random.below(4)) + (isNew ? 4 : 0);
            ServerCounters &counters = countersByServer[server];
            ++counters.answers;
            const bool isSlow = isNew && random.chance(slowFraction);
            const double work = 0.3 * (isSlow ? slowness : 1.0) * (0.5 + random.unit());
            if (!isNew || areNewCallsTimed) {
                ++counters.timed;
                counters.relativeWork += work;
                counters.late += work > 1.0 ? 1 : 0;
            }
            const bool fails = isNew ? isBad() : random.chance(0.004);
            counters.failures += fails ? 1 : 0;
            countAnswer(isNew, fails || (isSlow && slowness > 3.0));
            if (!isNew || areNewCallsReported)
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

/// A fleet whose new version fails once its servers carry most of their later load.
struct LoadedMove : MoveFixture
{
    std::size_t servers = 0;
    double callsPerSecond = 0;

    /// Simulates calls until the deadline.  Each node reports its counters every 700 ms, when the
    /// nodes that step moves ask for them.
    void simulate()
    {
        constexpr double failingLoad = 0.8;
        constexpr Milliseconds reportPeriod(700);
        const Microseconds gap(static_cast<std::int64_t>(1e6 / callsPerSecond));
        TimePoint nextReport = time + reportPeriod;
        for (const TimePoint end = time + Milliseconds(15'000); time < end; time += gap) {
            const std::uint32_t share = watcher.perMille();
            const bool isNew = random.below(1000) < share;
            const std::size_t inUse = isNew ? watcher.serversInUse(servers) : 0;
            const std::size_t used = inUse == 0 ? servers : inUse;
            const double load
                    = share / 1000.0 * static_cast<double>(servers) / static_cast<double>(used);
            const int server = static_cast<int>(random.below(used) + (isNew ? servers : 0));
            const bool fails = random.chance(isNew && load >= failingLoad ? 0.5 : 0.004);
            ServerCounters &counters = countersByServer[server];
            ++counters.answers;
            ++counters.timed;
            counters.failures += fails ? 1 : 0;
            newAnswers += isNew ? 1 : 0;
            if (time >= nextReport) {
                nextReport = time + reportPeriod;
                report();
            }
            if (const auto next = watcher.next(0, servers, time))
                watcher.observeRecord(*next, time);
        }
    }
    void report()
    {
        for (const auto &[server, counters] : countersByServer) {
            const bool isNew = server >= static_cast<int>(servers);
            watcher.addCounters(NodeId("n" + std::to_string(server)),
                                VersionId(isNew ? "v2" : "v1"), counters, time);
        }
    }
};

// At a twentieth of the calls, spread over all servers, such a version looks good.
BOOST_AUTO_TEST_CASE(versionThatFailsAtItsLaterLoadIsRevertedInFleetsOfAllSizes)
{
    struct FleetSize
    {
        std::size_t servers;
        double callsPerSecond;
    };
    for (const FleetSize size : {FleetSize{3, 60}, FleetSize{15, 300}, FleetSize{52, 400},
                                 FleetSize{54, 1700}, FleetSize{300, 6000}}) {
        LoadedMove move;
        move.servers = size.servers;
        move.callsPerSecond = size.callsPerSecond;
        move.simulate();
        BOOST_TEST_CONTEXT(size.servers << " servers, " << size.callsPerSecond << " calls/s")
        {
            BOOST_TEST((move.watcher.record()->state == VersionMoveState::Reverted));
            // A tenth of the calls until the deadline, plus 50.
            BOOST_TEST(move.newAnswers < 1.5 * size.callsPerSecond + 50);
        }
    }
}

BOOST_AUTO_TEST_CASE(smallSharesGoToFewServers)
{
    BOOST_REQUIRE(watcher.next(0, 52, time));
    watcher.observeRecord(VersionMove{ServiceId("catalogue"), VersionId("v2"), ModRevision(5), 50,
                                      VersionMoveState::Running},
                          time);
    BOOST_TEST(watcher.serversInUse(52) == 2U);
    BOOST_TEST(watcher.serversInUse(3) == 1U);
    BOOST_TEST(watcher.serversInUse(300) == 15U);
    BOOST_TEST(watcher.serversInUse(0) == 1U);
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

// EXPOSURE: near the deadline the steps were taken without evidence.
BOOST_AUTO_TEST_CASE(versionWhoseCallsAreNotTimedGetsFewCalls)
{
    slowFraction = 0.4;
    areNewCallsTimed = false;
    simulateCalls(
            Milliseconds(16'000), [] { return false; }, 8.0);
    BOOST_TEST(!isOver());
    // A tenth of the calls until the deadline, plus 50.
    BOOST_TEST(newAnswers < 480 + 50);
    // It goes on once there is evidence.
    areNewCallsTimed = true;
    simulateCalls(
            Milliseconds(4'000), [] { return false; }, 8.0);
    BOOST_REQUIRE(isOver());
    BOOST_TEST((watcher.record()->state == VersionMoveState::Reverted));
}

// EXPOSURE: the time at a share counted though nobody heard of the new version's servers in it.
BOOST_AUTO_TEST_CASE(stepWithoutReportsIsNotLeft)
{
    for (const std::uint32_t lastReported : {50U, 150U, 300U, 1000U}) {
        MoveFixture move;
        const auto isGood = [] { return false; };
        while (move.watcher.perMille() < lastReported)
            move.simulateCalls(Milliseconds(10), isGood);
        move.areNewCallsReported = false;
        move.simulateCalls(Milliseconds(10'000), isGood);
        BOOST_TEST(move.watcher.perMille() == lastReported);
        BOOST_TEST(!move.isOver());
        move.areNewCallsReported = true;
        move.simulateCalls(Milliseconds(15'000), isGood);
        BOOST_TEST(move.isOver());
    }
}

// At a small share such a service would hardly ever see a call of its new version.
BOOST_AUTO_TEST_CASE(versionWithFewCallsIsJudgedAtALargerShare)
{
    for (const double failureShare : {0.0, 0.5}) {
        MoveFixture move;
        move.callGap = Milliseconds(50);
        const auto isBad = [&] { return move.random.chance(failureShare); };
        move.simulateCalls(Milliseconds(16'000), isBad);
        // A tenth of the calls until the deadline, plus 50.
        BOOST_TEST((failureShare == 0.0 || move.newAnswers < 32 + 50));
        move.simulateCalls(Milliseconds(6'000), isBad);
        BOOST_REQUIRE(move.isOver());
        const auto expected
                = failureShare > 0.0 ? VersionMoveState::Reverted : VersionMoveState::Complete;
        BOOST_TEST((move.watcher.record()->state == expected));
    }
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

/// Reports of single servers of either version.
struct ReportFixture : MoveFixture
{
    std::map<std::string, ServerCounters> counters;

    void report(const std::string &run, const char *version, std::uint64_t answers,
                std::uint64_t failures)
    {
        ServerCounters &sums = counters[run];
        sums.answers += answers;
        sums.timed += answers;
        sums.failures += failures;
        watcher.addCounters(NodeId(run), VersionId(version), sums, time);
    }
};

// A server that hangs or is gone reports nothing more, and its good answers hid the bad ones.
BOOST_FIXTURE_TEST_CASE(answersOfASilentServerAreNoLaterEvidence, ReportFixture)
{
    report("old", "v1", 100, 0);
    report("old", "v1", 100, 0);
    report("silent", "v2", 60, 0);
    time += Milliseconds(3100);
    report("old", "v1", 100, 0);
    report("other", "v2", 12, 5);
    BOOST_TEST(watcher.evidenceOf(true).answers == 12);
    BOOST_TEST(watcher.evidenceOf(false).answers == 100);
    BOOST_TEST(watcher.verdict() != "");
}

BOOST_FIXTURE_TEST_CASE(answersBeforeAServerWasReplacedBelongToItsOldVersion, ReportFixture)
{
    report("n1", "v1", 500, 100);
    report("n1", "v2", 10, 0);
    BOOST_TEST(watcher.evidenceOf(true).answers == 0);
    report("n1", "v2", 10, 0);
    BOOST_TEST(watcher.evidenceOf(true).answers == 10);
    BOOST_TEST(watcher.evidenceOf(false).answers == 0);
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

/// Moves while the key-value store comes back from an older copy of itself.
struct RestoreFixture : MoveFixture
{
    VersionMoveOrder orderOf(std::uint64_t era, std::uint64_t revision, const char *target = "v2")
    {
        return VersionMoveOrder{ServiceId("catalogue"), VersionId(target),
                                inEra(StoreEra(era), ModRevision(revision)), Milliseconds(16'000)};
    }
    static VersionMove recordOf(const VersionMoveOrder &order, std::uint32_t perMille,
                                VersionMoveState state = VersionMoveState::Running)
    {
        return VersionMove{order.service, order.target, order.orderRevision, perMille, state};
    }
    void observe(const VersionMoveOrder &order) { watcher.observeOrder(order, time); }
    void observe(const VersionMove &record) { watcher.observeRecord(record, time); }
};

// EXPOSURE: a version that had been found to be bad got calls again.
BOOST_FIXTURE_TEST_CASE(revertedVersionStaysRevertedAfterTheStoreWasRestored, RestoreFixture)
{
    const VersionMoveOrder order = orderOf(1, 100);
    observe(order);
    observe(recordOf(order, 0, VersionMoveState::Reverted));
    std::uint64_t era = 1;
    for (const std::uint64_t revision : {100, 40, 900}) {
        const VersionMoveOrder again = orderOf(++era, revision);
        observe(again);
        BOOST_TEST(watcher.perMille() == 0U);
        const auto written = watcher.next(0, 4, time);
        BOOST_REQUIRE(written);
        BOOST_TEST((*written == recordOf(again, 0, VersionMoveState::Reverted)));
        observe(*written);
        BOOST_TEST(!watcher.next(0, 4, time));
    }
}

BOOST_FIXTURE_TEST_CASE(runningMoveGoesOnAfterTheStoreWasRestored, RestoreFixture)
{
    const VersionMoveOrder order = orderOf(1, 100);
    observe(order);
    observe(recordOf(order, 50));
    observe(recordOf(order, 300));
    const VersionMoveOrder again = orderOf(2, 80);
    observe(again);
    // The copy holds an older record of the same move.
    observe(recordOf(order, 50));
    BOOST_TEST(watcher.perMille() == 300U);
    BOOST_TEST(!watcher.next(1, 4, time));
    const auto written = watcher.next(0, 4, time);
    BOOST_TEST((written == recordOf(again, 300)));
    observe(*written);
    BOOST_TEST(!watcher.next(0, 4, time));
}

// A node that restarted reads the order in the later era, and a record of the earlier one.
BOOST_FIXTURE_TEST_CASE(restartedNodeTakesTheRecordOfTheCopyForCurrent, RestoreFixture)
{
    observe(orderOf(2, 100));
    observe(recordOf(orderOf(1, 100), 1000, VersionMoveState::Complete));
    BOOST_TEST(watcher.perMille() == 1000U);
    BOOST_TEST(!watcher.next(0, 4, time));
}

BOOST_FIXTURE_TEST_CASE(otherOrderOfALaterEraBeginsANewMove, RestoreFixture)
{
    const VersionMoveOrder order = orderOf(1, 100);
    observe(order);
    observe(recordOf(order, 1000, VersionMoveState::Complete));
    const VersionMoveOrder other = orderOf(2, 100, "v3");
    observe(other);
    BOOST_TEST(watcher.perMille() == 0U);
    BOOST_TEST((watcher.next(0, 4, time) == recordOf(other, 0)));
}

// The store lost the record of a move that has ended, and a node that knew neither began it again.
BOOST_FIXTURE_TEST_CASE(endedMoveThatWasBegunAgainIsEndedAgain, RestoreFixture)
{
    const VersionMoveOrder order = orderOf(1, 100);
    observe(order);
    observe(recordOf(order, 1000, VersionMoveState::Complete));
    const VersionMoveOrder again = orderOf(2, 80);
    observe(again);
    observe(recordOf(again, 1000, VersionMoveState::Complete));
    observe(recordOf(again, 0));
    BOOST_TEST(watcher.perMille() == 1000U);
    BOOST_TEST((watcher.next(0, 4, time) == recordOf(again, 1000, VersionMoveState::Complete)));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace cornelhead
