// Tests nodes that follow the key-value store through a relay, and failures of the relay and the
// store.
#include "adapter/sidecar-fleet.h"
#include "cornelhead/base/event-log.h"
#include "cornelhead/sidecar/change-feed.h"
#include "cornelhead/sidecar/fleet-sync.h"

namespace cornelhead {

const std::string firstRoute = usersRoute("look", "/look/", "idempotent", "bookings");

struct RelayedFleet : SidecarFleet
{
    RelayedFleet()
    {
        configure("00000005", firstRoute);
        for (int i = 0; i < 6; ++i)
            add("bookings", "b" + std::to_string(i));
        settle();
    }
    /// The nodes choose the node with the lowest address.
    SidecarHost &relay()
    {
        return *std::min_element(hosts.begin(), hosts.end(),
                                 [](const auto &left, const auto &right) {
                                     return left.settings.inbound < right.settings.inbound;
                                 });
    }
    std::size_t readCalls()
    {
        return store.callCounts["/kv-watch"] + store.callCounts["/kv-range"];
    }
};

BOOST_FIXTURE_TEST_SUITE(relays, RelayedFleet)

// Without a relay, six nodes would make six calls per change.
BOOST_AUTO_TEST_CASE(storeCallsDoNotGrowWithTheNumberOfNodes)
{
    const std::size_t before = readCalls();
    for (int i = 0; i < 4; ++i) {
        configureRoute("0000001" + std::to_string(i), "r" + std::to_string(i));
        waitForRoute("/r" + std::to_string(i) + "/1");
        loop.runFor(Milliseconds(800));
    }
    BOOST_TEST(readCalls() - before <= 8U);
}

BOOST_AUTO_TEST_CASE(followersOfADeadRelayReceiveChanges)
{
    SidecarHost &dead = relay();
    dead.sidecar.reset();
    configureRoute("00000010", "after");
    waitForRoute("/after/1", &dead);
}

// The host of a frozen relay accepts connections but never responds.
BOOST_AUTO_TEST_CASE(followersOfAFrozenRelayReceiveChanges)
{
    SidecarHost &frozen = relay();
    frozen.sidecar.reset();
    loop.runFor(Milliseconds(20));
    HttpServer unresponsive(loop, {});
    std::vector<Responder> held;
    unresponsive.setHandler(
            [&](const HttpRequest &, const Responder &responder) { held.push_back(responder); });
    BOOST_REQUIRE(unresponsive.listen(frozen.settings.inbound));
    // The followers left the relay when its connections broke, and try it again after a while.
    waitUntil([&] { return !held.empty(); });
    configureRoute("00000010", "after");
    waitForRoute("/after/1", &frozen);
}

BOOST_AUTO_TEST_CASE(relayThatLostTheStoreReportsIt)
{
    const HttpRequest poll{HttpMethod::Get, encodeFeedPoll({}), {}, {}, {}};
    const auto response = decodeFeedResponse(call(relay().settings.inbound, poll).body);
    BOOST_REQUIRE(response);
    BOOST_TEST(response->canRelay);
    BOOST_TEST(response->changes[0].isSnapshot);
    store.refuseWith = 503;
    waitUntil([&] {
        const auto later = decodeFeedResponse(call(relay().settings.inbound, poll).body);
        return later && !later->canRelay;
    });
}

// Refused calls cost the same as others, and a renewal costs a tenth of another call.
BOOST_AUTO_TEST_CASE(unreachableStoreIsProbedByRenewalsOnly)
{
    store.refuseWith = 503;
    loop.runFor(Milliseconds(1500));
    const std::size_t before
            = readCalls() + store.callCounts["/kv-txn"] + store.callCounts["/kv-lease"];
    const std::size_t renewals = store.callCounts["/kv-keep"];
    loop.runFor(Milliseconds(1500));
    BOOST_TEST(store.callCounts["/kv-keep"] > renewals);
    BOOST_TEST(readCalls() + store.callCounts["/kv-txn"] + store.callCounts["/kv-lease"] - before
               <= 2 * hosts.size());
    store.refuseWith.reset();
    configureRoute("00000010", "after");
    waitForRoute("/after/1");
}

// A watch would return every version since the outage began, which takes a narrow link seconds.
BOOST_AUTO_TEST_CASE(operatorKeysAreListedAfterAnOutage)
{
    store.refuseWith = 503;
    loop.runFor(Milliseconds(1500));
    for (int i = 0; i < 5; ++i)
        configureRoute("0000001" + std::to_string(i), "r" + std::to_string(i));
    const std::size_t listings = store.callCounts["/kv-range"];
    store.refuseWith.reset();
    waitForRoute("/r4/1");
    BOOST_TEST(store.callCounts["/kv-range"] > listings);
}

// The renewal falls due while a write of the same node waits for its response.
BOOST_AUTO_TEST_CASE(leaseIsRenewedWhileTheStoreAnswersWritesLate)
{
    const std::size_t grants = store.callCounts["/kv-lease"];
    store.writeAnswerDelay = Milliseconds(800);
    announce(relay(), "v1", "draining");
    // Longer than the TTL of a lease.
    loop.runFor(Milliseconds(8000));
    BOOST_TEST(store.callCounts["/kv-lease"] == grants);
}

// A listing, a watch or a write costs ten times as much as a renewal or a stale listing.
BOOST_AUTO_TEST_CASE(restartedFollowerMakesFewStoreCalls)
{
    SidecarHost &host = *std::max_element(hosts.begin(), hosts.end(),
                                          [](const auto &left, const auto &right) {
                                              return left.settings.inbound < right.settings.inbound;
                                          });
    host.sidecar.reset();
    loop.runFor(Milliseconds(50));
    store.callCounts.clear();
    store.staleListings = 0;
    startSidecar(host);
    waitUntil([&] { return isReady(host); });
    loop.runFor(Milliseconds(1500));
    // The first listing may be stale.
    BOOST_TEST(store.callCounts["/kv-range"] == 1U);
    BOOST_TEST(store.staleListings == 1U);
    BOOST_TEST(store.callCounts["/kv-lease"] == 1U);
    BOOST_TEST(store.callCounts["/kv-txn"] <= 2U);
    // The relay's watches return once for the new entry.
    BOOST_TEST(store.callCounts["/kv-watch"] <= 2U);
}

// Hundreds of nodes lose their relay at the same moment; each call to the store is paid for.
BOOST_AUTO_TEST_CASE(followersOfALostRelayDoNotTurnToTheStore)
{
    relay().sidecar.reset();
    store.callCounts.clear();
    configureRoute("00000010", "after");
    for (SidecarHost &host : hosts) {
        if (host.sidecar)
            waitUntil([&] {
                return call(host.settings.outbound, requestTo("/after/1")).status == 200;
            });
    }
    // The next relay lists both prefixes and watches them.
    BOOST_TEST(readCalls() <= 6U);
}

BOOST_AUTO_TEST_CASE(stoppingRelaySendsItsFollowersElsewhere)
{
    SidecarHost &first = relay();
    bool isStopped = false;
    first.sidecar->stop([&] { isStopped = true; });
    loop.runFor(Milliseconds(300));
    BOOST_TEST(!isStopped);
    const HttpResponse response = call(
            first.settings.inbound, HttpRequest{HttpMethod::Get, encodeFeedPoll({}), {}, {}, {}});
    BOOST_TEST(!decodeFeedResponse(response.body)->canRelay);
    waitUntil([&] { return isStopped; });
    first.sidecar.reset();
    configureRoute("00000010", "after");
    waitForRoute("/after/1", &first);
}

BOOST_AUTO_TEST_CASE(malformedPollsAreRefused)
{
    for (const char *bad : {"", "?", "?5", "?5-", "?5-6-7", "?x-6", "?-6"}) {
        const HttpRequest poll{HttpMethod::Get, std::string(changeFeedPath) + bad, {}, {}, {}};
        BOOST_TEST(call(relay().settings.inbound, poll).status == 400);
    }
    for (const char *bad : {"", "7", "{}", R"({"isFit":1})"})
        BOOST_TEST(!decodeFeedResponse(bad));
}

// During a series of changes every response names a newer revision than the last.
BOOST_FIXTURE_TEST_CASE(newerRevisionOfASeriesIsFetchedFromAPeer, RelayedFleet)
{
    std::optional<Revision> fetched;
    FleetHandlers handlers;
    handlers.onConfiguration
            = [&](const std::shared_ptr<const RouteTable> &table) { fetched = table->revision(); };
    handlers.onHosts = [] {};
    handlers.onMoveOrder = [](const VersionMoveOrder &) {};
    handlers.onMoveRecord = [](const VersionMove &, ModRevision) {};
    handlers.onStoreRestored = [] {};
    Metrics metrics;
    EventLog log(metrics);
    const Dialect dialect = adapter::usersDialect();
    // Nothing listens at the address of the store.
    FleetSync sync(loop, dialect, freeAddress(), freeAddress(), DataCentreId("akl-a"), metrics, log,
                   1, handlers);
    const Address peer = hosts[0].settings.inbound;
    std::uint64_t revision = 10;
    const Timer observations = loop.every(
            Milliseconds(100), [&] { sync.observePeerRevision(peer, Revision(++revision)); });
    waitUntil([&] { return fetched.has_value(); });
    BOOST_TEST((*fetched == Revision(5)));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace cornelhead
