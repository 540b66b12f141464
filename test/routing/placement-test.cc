// Tests the choice of hosts, and the budget, split and estimates that go with it.
#include <boost/test/unit_test.hpp>

#include "cornelhead/routing/deadline-estimate.h"
#include "cornelhead/routing/placement.h"
#include "cornelhead/routing/shared-retry-budget.h"
#include "cornelhead/routing/weighted-split.h"
#include "cornelhead/routing/work-estimate.h"
#include "support/property.h"

namespace cornelhead {

struct PlacementFixture
{
    HostDirectory directory;
    Placement placement{DataCentreId("akl-a")};
    Random random{5};
    TimePoint time{Milliseconds(10'000)};

    Address add(std::uint16_t port, const std::string &dataCentre = "akl-a",
                const std::string &version = "v1")
    {
        HostEntry entry;
        entry.node = Address{"10.0.0.1", port};
        entry.run = NodeId("run" + std::to_string(port));
        entry.dataCentre = DataCentreId(dataCentre);
        entry.server = HostedServer{ServerId("s" + std::to_string(port)), ServiceId("bookings"),
                                    VersionId(version), 9, ServerState::Serving};
        directory.put(entry);
        placement.update(directory.hosts(), time);
        return entry.node;
    }
    PlacementRequest question() const
    {
        PlacementRequest asked;
        asked.service = ServiceId("bookings");
        asked.objective = Milliseconds(200);
        asked.bytes = 500;
        return asked;
    }
    std::optional<Address> choose(const PlacementRequest &asked)
    {
        const Placement::Host host = placement.choose(asked, time, random);
        return host ? std::optional(host->entry.node) : std::nullopt;
    }
    void report(const Address &node, const HostReport &report)
    {
        Placement::applyReport(*placement.find(node), report, time);
    }
    static HostReport reportOf(double relativeWork, std::uint32_t running = 0)
    {
        HostReport report;
        report.relativeWork = relativeWork;
        report.running = running;
        report.slots = 9;
        return report;
    }
};

BOOST_FIXTURE_TEST_SUITE(placement_suite, PlacementFixture)

BOOST_AUTO_TEST_CASE(fasterServerIsChosen)
{
    const Address slow = add(1);
    const Address fast = add(2);
    report(slow, reportOf(0.9));
    report(fast, reportOf(0.3));
    for (int i = 0; i < 50; ++i)
        BOOST_TEST((choose(question()) == fast));
}

BOOST_AUTO_TEST_CASE(ownDataCentreIsKeptWhileTheObjectiveIsSafe)
{
    const Address here = add(1);
    const Address there = add(2, "hlz-a");
    report(here, reportOf(0.5));
    report(there, reportOf(0.2));
    BOOST_TEST((choose(question()) == here));
}

// A data centre that lost a server: its own one is full, so the objective would be missed.
BOOST_AUTO_TEST_CASE(otherDataCentreTakesWhatTheOwnOneWouldAnswerLate)
{
    const Address here = add(1);
    const Address there = add(2, "hlz-a");
    report(here, reportOf(0.5, 30));
    report(there, reportOf(0.5));
    BOOST_TEST((choose(question()) == there));
}

// A server that fails at once looks idle and would draw all calls.
BOOST_AUTO_TEST_CASE(serverThatFailsQuicklyIsAvoided)
{
    const Address failing = add(1);
    const Address sound = add(2);
    HostReport quick = reportOf(0.05);
    quick.failureShare = 0.5;
    report(failing, quick);
    report(sound, reportOf(0.5, 9));
    BOOST_TEST((choose(question()) == sound));
}

BOOST_AUTO_TEST_CASE(ownSendsCountBeforeTheNextReport)
{
    const Address first = add(1);
    const Address second = add(2);
    report(first, reportOf(0.4));
    report(second, reportOf(0.4));
    for (int i = 0; i < 20; ++i)
        Placement::begin(*placement.find(first));
    for (int i = 0; i < 20; ++i)
        BOOST_TEST((choose(question()) == second));
}

BOOST_AUTO_TEST_CASE(unreachableHostIsTriedByOneCallAtATime)
{
    const Address node = add(1);
    Placement::markUnreachable(*placement.find(node), time);
    BOOST_TEST(!choose(question()));
    time += Milliseconds(3000);
    BOOST_REQUIRE(choose(question()));
    Placement::begin(*placement.find(node));
    BOOST_TEST(!choose(question()));
    report(node, reportOf(0.4));
    BOOST_TEST((choose(question()) == node));
}

BOOST_AUTO_TEST_CASE(versionsAreKeptApart)
{
    const Address older = add(1);
    const Address newer = add(2, "akl-a", "v2");
    PlacementRequest asked = question();
    asked.version = VersionId("v2");
    BOOST_TEST((choose(asked) == newer));
    asked.isVersionExcluded = true;
    BOOST_TEST((choose(asked) == older));
}

// Servers of a new version are announced before the order of their move has arrived.
BOOST_AUTO_TEST_CASE(serverOfAnUnknownVersionWaitsForTheOrderOfItsMove)
{
    const Address older = add(1);
    BOOST_TEST((placement.stableVersion(ServiceId("bookings"), std::nullopt) == VersionId("v1")));
    const Address newer = add(2, "akl-a", "v2");
    add(3, "akl-a", "v2");
    report(older, reportOf(0.9, 30));
    PlacementRequest asked = question();
    asked.stableVersion = placement.stableVersion(ServiceId("bookings"), VersionId("v1"));
    BOOST_TEST((asked.stableVersion == VersionId("v1")));
    BOOST_TEST((choose(asked) == older));
    time += Milliseconds(4000);
    report(older, reportOf(0.9, 30));
    report(newer, reportOf(0.2));
    BOOST_TEST((choose(asked) == newer));
}

BOOST_AUTO_TEST_CASE(leavingServersAndStoppingNodesTakeNothing)
{
    HostEntry entry = directory.find(add(1))->entry;
    entry.server->state = ServerState::Draining;
    directory.put(entry);
    placement.update(directory.hosts(), time);
    BOOST_TEST(!choose(question()));
    entry.server->state = ServerState::Serving;
    entry.isStopping = true;
    directory.put(entry);
    placement.update(directory.hosts(), time);
    BOOST_TEST(!choose(question()));
}

BOOST_AUTO_TEST_CASE(newRunOfANodeStartsWithoutHistory)
{
    const Address node = add(1);
    HostReport failing = reportOf(0.4);
    failing.failureShare = 1.0;
    report(node, failing);
    HostEntry entry = directory.find(node)->entry;
    entry.run = NodeId("later");
    directory.put(entry);
    placement.update(directory.hosts(), time);
    BOOST_TEST(placement.find(node)->report.failureShare == 0.0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(call_shares)

// Nodes of very unequal traffic all retry whenever they may; the sum stays within the fleet's
// bound.
BOOST_AUTO_TEST_CASE(sumOfAllNodesStaysWithinTheFleetsBudget)
{
    const double ratio = 0.2;
    const double slack = 64.0;
    const Milliseconds window(10'000);
    const ServiceId service("bookings");
    std::vector<SharedRetryBudget> nodes(14, SharedRetryBudget(ratio, window));
    Random random(testSeed(3));
    std::deque<std::pair<TimePoint, bool>> sends;
    for (int ms = 0; ms < 40'000; ++ms) {
        const TimePoint now{Milliseconds(ms)};
        for (std::size_t node = 0; node < nodes.size(); ++node) {
            // The first node has half of the traffic, the last ones hardly any.
            if (random.chance(0.05 / static_cast<double>(node * node + 1))) {
                nodes[node].addFirstSend(service, now);
                sends.emplace_back(now, false);
            }
            while (nodes[node].take(service, now))
                sends.emplace_back(now, true);
        }
        while (!sends.empty() && now - sends.front().first > window)
            sends.pop_front();
        double firsts = 0;
        double repeats = 0;
        for (const auto &[at, isRepeat] : sends)
            (isRepeat ? repeats : firsts) += 1;
        if (ms % 100 == 0)
            BOOST_TEST(repeats <= ratio * firsts + slack);
    }
}

BOOST_AUTO_TEST_CASE(budgetAllowsNothingForAServiceWithoutCalls)
{
    SharedRetryBudget budget(0.2, Milliseconds(10'000));
    const TimePoint now{Milliseconds(1)};
    budget.addFirstSend(ServiceId("a"), now);
    BOOST_TEST(budget.take(ServiceId("b"), now));
    BOOST_TEST(!budget.take(ServiceId("b"), now));
}

BOOST_AUTO_TEST_CASE(splitIsExactInEveryRunOfPicks)
{
    Random random(testSeed(9));
    WeightedSplit split({90, 10}, random);
    for (int run = 0; run < 20; ++run) {
        int second = 0;
        for (int i = 0; i < 100; ++i)
            second += split.pick() == 1 ? 1 : 0;
        BOOST_TEST(second == 10);
    }
}

BOOST_AUTO_TEST_CASE(partWithoutWeightGetsNothing)
{
    Random random(testSeed(9));
    WeightedSplit split({0, 3}, random);
    for (int i = 0; i < 30; ++i)
        BOOST_TEST(split.pick() == 1U);
}

BOOST_AUTO_TEST_CASE(longRouteDoesNotMakeItsServerLookSlow)
{
    WorkEstimate estimate;
    for (int i = 0; i < 100; ++i) {
        estimate.record(RouteId("browse"), Milliseconds(60), Milliseconds(200), false);
        estimate.record(RouteId("report"), Milliseconds(600), Milliseconds(2000), false);
    }
    BOOST_TEST(std::abs(estimate.relativeWork() - 0.3) < 0.01);
    const auto short_ = estimate.expected(RouteId("browse"), Milliseconds(200));
    BOOST_TEST(std::abs(short_.count() - 60'000) < 1000);
}

// A few callers wait longer than the rest; their calls must not make all others look like later
// tries.
BOOST_AUTO_TEST_CASE(laterTriesAreToldFromFirstOnesAmongPatientCallers)
{
    DeadlineEstimate deadline;
    Random random(testSeed(23));
    int mistaken = 0;
    for (int i = 0; i < 1000; ++i) {
        const bool isPatient = random.chance(0.04);
        const bool isLater = random.chance(0.3);
        const Milliseconds left(isPatient ? 30'000 : isLater ? 700 + i % 200 : 1200);
        const Milliseconds elapsed = deadline.elapsed(left);
        if (i < 50)
            continue;
        mistaken += (elapsed > Milliseconds(0)) != (isLater && !isPatient) ? 1 : 0;
    }
    BOOST_TEST(mistaken == 0);
}

BOOST_AUTO_TEST_CASE(failuresAreForgottenWithTime)
{
    WorkEstimate estimate;
    for (int i = 0; i < 50; ++i)
        estimate.record(RouteId("browse"), Microseconds(0), Milliseconds(200), true);
    BOOST_TEST(estimate.failureShare() > 0.9);
    estimate.decay(Milliseconds(12'000));
    BOOST_TEST(estimate.failureShare() < 0.1);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace cornelhead
