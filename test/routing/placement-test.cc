// Tests placement, the shared retry budget, the weighted split and the estimates.
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
    PlacementRequest makeRequest() const
    {
        PlacementRequest request;
        request.service = ServiceId("bookings");
        request.objective = Milliseconds(200);
        request.bytes = 500;
        return request;
    }
    std::optional<Address> choose(const PlacementRequest &request)
    {
        const Placement::Host host = placement.choose(request, time, random);
        return host ? std::optional(host->entry.node) : std::nullopt;
    }
    void report(const Address &node, const HostReport &report)
    {
        placement.applyReport(*placement.find(node), report, time);
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

BOOST_AUTO_TEST_CASE(largeBodyGoesWhereFewBytesAreOnTheirWay)
{
    const LinkSpeed link = LinkSpeed::fromMbps(10.0);
    HostReport full = reportOf(0.3);
    full.link = InboundLoad{500'000, link};
    HostReport slow = reportOf(0.6);
    slow.link = InboundLoad{0, link};
    const Address first = add(1);
    const Address second = add(2);
    report(first, full);
    report(second, slow);
    PlacementRequest request = makeRequest();
    BOOST_TEST((choose(request) == first));
    request.body = OutgoingBody{100'000, link};
    BOOST_TEST((choose(request) == second));
}

BOOST_AUTO_TEST_CASE(fasterServerIsChosen)
{
    const Address slow = add(1);
    const Address fast = add(2);
    report(slow, reportOf(0.9));
    report(fast, reportOf(0.3));
    for (int i = 0; i < 50; ++i)
        BOOST_TEST((choose(makeRequest()) == fast));
}

BOOST_AUTO_TEST_CASE(localDataCentreIsPreferredWhileTheObjectiveIsSafe)
{
    const Address local = add(1);
    const Address remote = add(2, "hlz-a");
    report(local, reportOf(0.5));
    report(remote, reportOf(0.2));
    BOOST_TEST((choose(makeRequest()) == local));
}

// A data centre has lost a server and its remaining one is full, so it would miss the objective.
BOOST_AUTO_TEST_CASE(remoteDataCentreIsChosenIfTheLocalOneWouldBeLate)
{
    const Address local = add(1);
    const Address remote = add(2, "hlz-a");
    report(local, reportOf(0.5, 30));
    report(remote, reportOf(0.5));
    BOOST_TEST((choose(makeRequest()) == remote));
}

// A server that fails calls at once looks idle and would attract all calls.
BOOST_AUTO_TEST_CASE(serverThatFailsQuicklyIsAvoided)
{
    const Address failing = add(1);
    const Address healthy = add(2);
    HostReport fastFailing = reportOf(0.05);
    fastFailing.failureShare = 0.5;
    report(failing, fastFailing);
    report(healthy, reportOf(0.5, 9));
    BOOST_TEST((choose(makeRequest()) == healthy));
}

BOOST_AUTO_TEST_CASE(callsInFlightCountBeforeTheNextReport)
{
    const Address first = add(1);
    const Address second = add(2);
    report(first, reportOf(0.4));
    report(second, reportOf(0.4));
    for (int i = 0; i < 20; ++i)
        Placement::begin(*placement.find(first));
    for (int i = 0; i < 20; ++i)
        BOOST_TEST((choose(makeRequest()) == second));
}

BOOST_AUTO_TEST_CASE(unreachableHostIsRetriedWithOneCallAtATime)
{
    const Address node = add(1);
    Placement::markUnreachable(*placement.find(node), time);
    BOOST_TEST(!choose(makeRequest()));
    time += Milliseconds(3000);
    BOOST_REQUIRE(choose(makeRequest()));
    Placement::begin(*placement.find(node));
    BOOST_TEST(!choose(makeRequest()));
    report(node, reportOf(0.4));
    BOOST_TEST((choose(makeRequest()) == node));
}

BOOST_AUTO_TEST_CASE(requestRestrictsTheVersion)
{
    const Address older = add(1);
    const Address newer = add(2, "akl-a", "v2");
    PlacementRequest request = makeRequest();
    request.version = VersionId("v2");
    BOOST_TEST((choose(request) == newer));
    request.isVersionExcluded = true;
    BOOST_TEST((choose(request) == older));
}

// Servers of a new version may be announced before the order of their move arrives.
BOOST_AUTO_TEST_CASE(serverOfANewVersionGetsNoCallsBeforeItsRolloutOrder)
{
    const Address older = add(1);
    BOOST_TEST((placement.defaultVersion(ServiceId("bookings"), std::nullopt) == VersionId("v1")));
    const Address newer = add(2, "akl-a", "v2");
    add(3, "akl-a", "v2");
    report(older, reportOf(0.9, 30));
    PlacementRequest request = makeRequest();
    request.defaultVersion = placement.defaultVersion(ServiceId("bookings"), VersionId("v1"));
    BOOST_TEST((request.defaultVersion == VersionId("v1")));
    BOOST_TEST((choose(request) == older));
    time += Milliseconds(4000);
    report(older, reportOf(0.9, 30));
    report(newer, reportOf(0.2));
    BOOST_TEST((choose(request) == newer));
}

BOOST_AUTO_TEST_CASE(drainingServersAndStoppingNodesGetNoCalls)
{
    HostEntry entry = directory.find(add(1))->entry;
    entry.server->state = ServerState::Draining;
    directory.put(entry);
    placement.update(directory.hosts(), time);
    BOOST_TEST(!choose(makeRequest()));
    entry.server->state = ServerState::Serving;
    entry.isStopping = true;
    directory.put(entry);
    placement.update(directory.hosts(), time);
    BOOST_TEST(!choose(makeRequest()));
}

BOOST_AUTO_TEST_CASE(restartedNodeStartsWithoutHistory)
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

BOOST_AUTO_TEST_SUITE(budgets_and_estimates)

// Nodes with very unequal traffic all retry whenever they may; together they stay within the bound.
BOOST_AUTO_TEST_CASE(sumOfAllNodesStaysWithinTheFleetBudget)
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
            // The first node has about half of the traffic, the last nodes hardly any.
            if (random.chance(0.05 / static_cast<double>(node * node + 1))) {
                nodes[node].addFirstSend(service, now);
                sends.emplace_back(now, false);
            }
            while (nodes[node].take(service, now))
                sends.emplace_back(now, true);
        }
        while (!sends.empty() && now - sends.front().first > window)
            sends.pop_front();
        double firstSends = 0;
        double repeatedSends = 0;
        for (const auto &[at, isRepeated] : sends)
            (isRepeated ? repeatedSends : firstSends) += 1;
        if (ms % 100 == 0)
            BOOST_TEST(repeatedSends <= ratio * firstSends + slack);
    }
}

BOOST_AUTO_TEST_CASE(serviceWithoutCallsGetsOneRepeatedSend)
{
    SharedRetryBudget budget(0.2, Milliseconds(10'000));
    const TimePoint now{Milliseconds(1)};
    budget.addFirstSend(ServiceId("a"), now);
    BOOST_TEST(budget.take(ServiceId("b"), now));
    BOOST_TEST(!budget.take(ServiceId("b"), now));
}

BOOST_AUTO_TEST_CASE(splitIsExactInEverySequenceOfPicks)
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

BOOST_AUTO_TEST_CASE(targetWithZeroWeightGetsNoCalls)
{
    Random random(testSeed(9));
    WeightedSplit split({0, 3}, random);
    for (int i = 0; i < 30; ++i)
        BOOST_TEST(split.pick() == 1U);
}

BOOST_AUTO_TEST_CASE(slowRouteDoesNotMakeItsServerLookSlow)
{
    WorkEstimate estimate;
    for (int i = 0; i < 100; ++i) {
        estimate.record(RouteId("browse"), Milliseconds(60), Milliseconds(200), CallEnd::Answered);
        estimate.record(RouteId("report"), Milliseconds(600), Milliseconds(2000),
                        CallEnd::Answered);
    }
    BOOST_TEST(std::abs(estimate.relativeWork() - 0.3) < 0.01);
    const auto browseTime = estimate.expected(RouteId("browse"), Milliseconds(200));
    BOOST_TEST(std::abs(browseTime.count() - 60'000) < 1000);
}

// Otherwise a server whose slow calls are all cut off looks as fast as its other calls.
BOOST_AUTO_TEST_CASE(callsThatAreCutOffOnlyRaiseTheEstimate)
{
    WorkEstimate estimate;
    const Milliseconds objective(200);
    for (int i = 0; i < 100; ++i)
        estimate.record(RouteId("browse"), Milliseconds(60), objective, CallEnd::Answered);
    estimate.record(RouteId("browse"), Milliseconds(10), objective, CallEnd::CutOff);
    estimate.record(RouteId("browse"), Milliseconds(10), objective, CallEnd::Failed);
    BOOST_TEST(std::abs(estimate.relativeWork() - 0.3) < 0.001);
    for (int i = 0; i < 50; ++i)
        estimate.record(RouteId("browse"), Milliseconds(600), objective, CallEnd::CutOff);
    BOOST_TEST(estimate.relativeWork() > 2.5);
    BOOST_TEST((estimate.expected(RouteId("browse"), objective) > Milliseconds(500)));
}

// A few callers have a longer timeout; their calls must not make all other calls look like retries.
BOOST_AUTO_TEST_CASE(retriesAreDetectedDespiteLongTimeouts)
{
    DeadlineEstimate deadline;
    Random random(testSeed(23));
    int misjudged = 0;
    for (int i = 0; i < 1000; ++i) {
        const bool hasLongTimeout = random.chance(0.04);
        const bool isRetry = random.chance(0.3);
        const Milliseconds left(hasLongTimeout ? 30'000 : isRetry ? 700 + i % 200 : 1200);
        const Milliseconds elapsed = deadline.elapsed(left);
        if (i < 50)
            continue;
        misjudged += (elapsed > Milliseconds(0)) != (isRetry && !hasLongTimeout) ? 1 : 0;
    }
    BOOST_TEST(misjudged == 0);
}

BOOST_AUTO_TEST_CASE(failureShareDecays)
{
    WorkEstimate estimate;
    for (int i = 0; i < 50; ++i)
        estimate.record(RouteId("browse"), Microseconds(0), Milliseconds(200), CallEnd::Failed);
    BOOST_TEST(estimate.failureShare() > 0.9);
    estimate.decay(Milliseconds(12'000));
    BOOST_TEST(estimate.failureShare() < 0.1);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace cornelhead
