// Tests nodes that hear of the service through another node, and what happens when that one fails.
#include "adapter/sidecar-fleet.h"
#include "cornelhead/sidecar/change-feed.h"

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
    /// The nodes choose the one with the lowest address.
    SidecarHost &relay()
    {
        return *std::min_element(hosts.begin(), hosts.end(),
                                 [](const auto &left, const auto &right) {
                                     return left.settings.inbound < right.settings.inbound;
                                 });
    }
    std::size_t reads() { return store.callsTo["/kv-watch"] + store.callsTo["/kv-range"]; }
    void awaitRoute(const std::string &path, const SidecarHost *except = nullptr)
    {
        for (SidecarHost &host : hosts) {
            if (&host != except)
                waitUntil([&] {
                    return call(host.settings.outbound, requestTo(path)).status == 200;
                });
        }
    }
    void configureRoute(const std::string &version, const std::string &name)
    {
        configure(version, usersRoute(name, "/" + name + "/", "idempotent", "bookings"));
    }
};

BOOST_FIXTURE_TEST_SUITE(relays, RelayedFleet)

// Six nodes that watch for themselves make six calls a change.
BOOST_AUTO_TEST_CASE(callsOfTheServiceDoNotGrowWithTheNodes)
{
    const std::size_t before = reads();
    for (int i = 0; i < 4; ++i) {
        configureRoute("0000001" + std::to_string(i), "r" + std::to_string(i));
        awaitRoute("/r" + std::to_string(i) + "/1");
        loop.runFor(Milliseconds(800));
    }
    BOOST_TEST(reads() - before <= 8U);
}

BOOST_AUTO_TEST_CASE(followersOfADeadRelayGoOn)
{
    SidecarHost &dead = relay();
    dead.sidecar.reset();
    configureRoute("00000010", "after");
    awaitRoute("/after/1", &dead);
}

// Its host accepts connections but gives no sign.
BOOST_AUTO_TEST_CASE(followersOfAFrozenRelayGoOn)
{
    SidecarHost &frozen = relay();
    frozen.sidecar.reset();
    loop.runFor(Milliseconds(20));
    HttpServer silent(loop, {});
    std::vector<Responder> held;
    silent.setHandler(
            [&](const HttpRequest &, const Responder &responder) { held.push_back(responder); });
    BOOST_REQUIRE(silent.listen(frozen.settings.inbound));
    // Its followers left it when its connections broke, and come back after a while.
    waitUntil([&] { return !held.empty(); });
    configureRoute("00000010", "after");
    awaitRoute("/after/1", &frozen);
}

BOOST_AUTO_TEST_CASE(relayThatLostTheServiceSaysSo)
{
    const HttpRequest poll{HttpMethod::Get, encodeFeedPoll({}), {}, {}, {}};
    const auto fit = decodeFeedAnswer(call(relay().settings.inbound, poll).body);
    BOOST_REQUIRE(fit);
    BOOST_TEST(fit->isFit);
    BOOST_TEST(fit->changes[0].isSnapshot);
    store.refuseWith = 503;
    waitUntil([&] {
        const auto answer = decodeFeedAnswer(call(relay().settings.inbound, poll).body);
        return answer && !answer->isFit;
    });
}

// All calls are priced, refused ones too; renewals cost a tenth.
BOOST_AUTO_TEST_CASE(serviceThatIsAwayIsAskedByRenewalsAlone)
{
    store.refuseWith = 503;
    loop.runFor(Milliseconds(1500));
    const std::size_t before = reads() + store.callsTo["/kv-txn"] + store.callsTo["/kv-lease"];
    const std::size_t renewals = store.callsTo["/kv-keep"];
    loop.runFor(Milliseconds(1500));
    BOOST_TEST(store.callsTo["/kv-keep"] > renewals);
    BOOST_TEST(reads() + store.callsTo["/kv-txn"] + store.callsTo["/kv-lease"] - before
               <= 2 * hosts.size());
    store.refuseWith.reset();
    configureRoute("00000010", "after");
    awaitRoute("/after/1");
}

// A watch would bring every version since, which a narrow link carries for seconds.
BOOST_AUTO_TEST_CASE(operatorsKeysAreListedAfterAnOutage)
{
    store.refuseWith = 503;
    loop.runFor(Milliseconds(1500));
    for (int i = 0; i < 5; ++i)
        configureRoute("0000001" + std::to_string(i), "r" + std::to_string(i));
    const std::size_t listings = store.callsTo["/kv-range"];
    store.refuseWith.reset();
    awaitRoute("/r4/1");
    BOOST_TEST(store.callsTo["/kv-range"] > listings);
}

// The renewal falls due while a write of the same node waits for its answer.
BOOST_AUTO_TEST_CASE(leaseIsRenewedThoughTheServiceAnswersWritesLate)
{
    const std::size_t grants = store.callsTo["/kv-lease"];
    store.writeDelay = Milliseconds(800);
    announce(relay(), "v1", "draining");
    // Longer than a lease lasts.
    loop.runFor(Milliseconds(8000));
    BOOST_TEST(store.callsTo["/kv-lease"] == grants);
}

BOOST_AUTO_TEST_CASE(brokenPollsAreRefused)
{
    for (const char *bad : {"", "?", "?5", "?5-", "?5-6-7", "?x-6", "?-6"}) {
        const HttpRequest poll{HttpMethod::Get, std::string(changeFeedPath) + bad, {}, {}, {}};
        BOOST_TEST(call(relay().settings.inbound, poll).status == 400);
    }
    for (const char *bad : {"", "7", "{}", R"({"isFit":1})"})
        BOOST_TEST(!decodeFeedAnswer(bad));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace cornelhead
