// Tests the platform client against the simulated platform over loopback, for each kind of error.
#include "cornelhead/standin/platform-server.h"

#include <boost/test/unit_test.hpp>

#include "support/free-address.h"

namespace cornelhead {

struct PlatformFixture
{
    EventLoop loop;
    Metrics metrics;
    PlatformServerSettings settings{{1024 * 1024, 1024, 20}, 5000, 5000, 1};
    std::unique_ptr<PlatformServer> server;
    Address address;
    Address control;
    std::unique_ptr<PlatformClient> client;

    PlatformFixture() { restart(); }

    void restart()
    {
        server = std::make_unique<PlatformServer>(loop, settings, metrics);
        address = listenOnFreePort([&](const Address &a) { return server->listen(a); });
        control = listenOnFreePort([&](const Address &a) { return server->listenControl(a); });
        connect({address}, Milliseconds(30'000));
    }

    void connect(const std::vector<Address> &addresses, Milliseconds timeout)
    {
        client = std::make_unique<PlatformClient>(loop, addresses, timeout, metrics);
    }

    // Runs the loop until the operation that `start` begins has called back.
    template <typename T, typename Start>
    Result<T> await(Start start)
    {
        std::optional<Result<T>> result;
        start([&](Result<T> answer) {
            result = std::move(answer);
            loop.stop();
        });
        while (!result)
            loop.run();
        return *result;
    }

    void runUntil(const std::function<bool()> &isDone)
    {
        for (int i = 0; i < 1000 && !isDone(); ++i)
            loop.runFor(Milliseconds(10));
        BOOST_REQUIRE(isDone());
    }

    bool hasWaitingWatch()
    {
        return metrics.gauge("cornelhead_platform_waiting_watches").value() == 1;
    }

    std::uint64_t hungCallCount()
    {
        return metrics.counter("cornelhead_platform_faults_total", {{"fault", "hang"}}).value();
    }

    Result<ModRevision> put(const std::string &key, const std::string &value,
                            std::uint64_t expected, std::optional<LeaseId> lease = std::nullopt)
    {
        return await<ModRevision>([&](auto callback) {
            client->put(key, value, ExpectedRevision{ModRevision(expected)}, lease, callback);
        });
    }

    std::optional<KeyValue> get(const std::string &key)
    {
        return await<std::optional<KeyValue>>([&](auto callback) { client->get(key, callback); })
                .value();
    }

    Result<WatchResponse> watch(ModRevision after, Milliseconds wait)
    {
        return await<WatchResponse>(
                [&](auto callback) { client->watch("a/", after, wait, callback); });
    }

    int command(const std::string &pathAndQuery)
    {
        HttpClient http(loop);
        const HttpRequest request{HttpMethod::Post, "/control/" + pathAndQuery, {}, {}, {}};
        const int status = await<HttpResponse>([&](auto callback) {
                               http.send(control, request, Milliseconds(2000), callback);
                           })
                                   .value()
                                   .status;
        // Lets the server's next tick apply the command.
        loop.runFor(Milliseconds(30));
        return status;
    }
};

ErrorKind kindOf(const Result<ModRevision> &result)
{
    BOOST_REQUIRE(!result.has_value());
    BOOST_TEST(!result.error().remedy.empty());
    return result.error().kind;
}

BOOST_FIXTURE_TEST_SUITE(platformServer, PlatformFixture)

BOOST_AUTO_TEST_CASE(writesReadsAndListsOverHttp)
{
    const std::string value = "caf\xc3\xa9 \"+&%\n";
    const ModRevision first = put("a/1 +&", value, 0).value();
    BOOST_TEST(get("a/1 +&")->value == value);
    BOOST_TEST(put("a/2", "", 0).value().value() == first.value() + 1);
    BOOST_TEST(!get("b").has_value());
    const auto listing = await<Listing>([&](auto callback) { client->list("a/", callback); });
    BOOST_TEST(listing.value().entries.size() == 2U);
    BOOST_TEST(listing.value().storeRevision.value() == 2U);
}

BOOST_AUTO_TEST_CASE(refusesWithTypedErrors)
{
    put("a/1", "x", 0).value();
    BOOST_TEST((kindOf(put("a/1", "y", 0)) == ErrorKind::Conflict));
    BOOST_TEST((kindOf(put("a/2", std::string(1024 * 1024 + 1, 'x'), 0)) == ErrorKind::TooLarge));
    BOOST_TEST((kindOf(put("a/2", "\xff", 0)) == ErrorKind::InvalidMessage));
    BOOST_TEST((kindOf(put("a/2", "x", 0, LeaseId("lease-0-9"))) == ErrorKind::NotFound));
    BOOST_TEST(!get("a/2").has_value());
    BOOST_TEST(put("a/3", std::string(1024 * 1024, 'x'), 0).has_value());
}

BOOST_AUTO_TEST_CASE(limitsRates)
{
    BOOST_TEST(command("limits?reads=1000&writes=4") == 200);
    put("a/1", "x", 0).value();
    BOOST_TEST((kindOf(put("a/2", "x", 0)) == ErrorKind::RateLimited));
    BOOST_TEST(!get("a/2").has_value());
}

BOOST_AUTO_TEST_CASE(aLostResponseIsUnknownAndTheWriteTakesEffect)
{
    BOOST_TEST(command("lost-answers?next=1") == 200);
    BOOST_TEST((kindOf(put("a/1", "x", 0)) == ErrorKind::Unknown));
    BOOST_TEST(get("a/1")->value == "x");
    BOOST_TEST(put("a/2", "x", 0).has_value());
}

BOOST_AUTO_TEST_CASE(aRefusingOutageIsUnavailable)
{
    BOOST_TEST(command("outage?mode=refuse") == 200);
    connect({address}, Milliseconds(30'000));
    BOOST_TEST((kindOf(put("a/1", "x", 0)) == ErrorKind::Unavailable));
    BOOST_TEST(command("outage?mode=off") == 200);
    BOOST_TEST(put("a/1", "x", 0).has_value());
}

BOOST_AUTO_TEST_CASE(aHangingOutageIsUnknownForWritesAndUnavailableForReads)
{
    BOOST_TEST(command("outage?mode=hang&for=500ms") == 200);
    BOOST_TEST((kindOf(put("a/1", "x", 0)) == ErrorKind::Unknown));
    BOOST_TEST(!get("a/1").has_value());
    BOOST_TEST(command("outage?mode=hang") == 200);
    connect({address}, Milliseconds(100));
    const auto read
            = await<std::optional<KeyValue>>([&](auto callback) { client->get("a/1", callback); });
    BOOST_TEST((read.error().kind == ErrorKind::Unavailable));
}

BOOST_AUTO_TEST_CASE(aPartitionFailsTheCallsAndWatchesOfItsDataCentres)
{
    client->setDataCentre(DataCentreId("akl-a"));
    std::optional<Result<WatchResponse>> watched;
    client->watch("a/", ModRevision(), Milliseconds(10'000),
                  [&](Result<WatchResponse> answer) { watched = std::move(answer); });
    runUntil([&] { return hasWaitingWatch(); });
    BOOST_TEST(command("partition?data-centres=akl-a,akl-b") == 200);
    runUntil([&] { return watched.has_value(); });
    BOOST_TEST((watched->error().kind == ErrorKind::Unavailable));
    BOOST_TEST(!put("a/1", "x", 0).has_value());
    client->setDataCentre(DataCentreId("hlz-a"));
    BOOST_TEST(put("a/1", "x", 0).has_value());
}

BOOST_AUTO_TEST_CASE(callsHangUntilTheHangingPartitionEnds)
{
    client->setDataCentre(DataCentreId("akl-a"));
    BOOST_TEST(command("partition?data-centres=akl-a&mode=hang") == 200);
    std::optional<Result<ModRevision>> written;
    client->put("a/1", "x", ExpectedRevision{}, std::nullopt,
                [&](Result<ModRevision> answer) { written = std::move(answer); });
    runUntil([&] { return hungCallCount() == 1; });
    loop.runFor(Milliseconds(60));
    BOOST_TEST(!written.has_value());
    BOOST_TEST(command("partition?data-centres=") == 200);
    runUntil([&] { return written.has_value(); });
    BOOST_TEST((kindOf(*written) == ErrorKind::Unknown));
    BOOST_TEST(!get("a/1").has_value());
}

BOOST_AUTO_TEST_CASE(drainsDespiteHungCallsAndWaitingWatches)
{
    std::optional<Result<WatchResponse>> watched;
    client->watch("a/", ModRevision(), Milliseconds(10'000),
                  [&](Result<WatchResponse> answer) { watched = std::move(answer); });
    runUntil([&] { return hasWaitingWatch(); });
    bool isDrained = false;
    server->drain([&] { isDrained = true; });
    runUntil([&] { return isDrained && watched.has_value(); });
    BOOST_TEST(watched->value().changed.empty());

    restart();
    BOOST_TEST(command("outage?mode=hang") == 200);
    client->get("a/1", [](const Result<std::optional<KeyValue>> &) {});
    runUntil([&] { return hungCallCount() == 1; });
    isDrained = false;
    server->drain([&] { isDrained = true; });
    runUntil([&] { return isDrained; });
}

BOOST_AUTO_TEST_CASE(watchesReturnChangesAndListWhenTooFarBehind)
{
    const ModRevision first = put("a/1", "x", 0).value();
    BOOST_TEST(watch(first, Milliseconds(20))->changed.empty());
    const Timer later = loop.after(Milliseconds(20), [&] {
        client->put("a/1", "y", ExpectedRevision{first}, std::nullopt, [](Result<ModRevision>) {});
    });
    const WatchResponse changed = watch(first, Milliseconds(10'000)).value();
    BOOST_TEST(changed.changed.at(0).value == "y");
    BOOST_TEST(!changed.isSnapshot);
    for (int i = 0; i < 30; ++i)
        put("b/" + std::to_string(i), "", 0).value();
    const WatchResponse whole = watch(first, Milliseconds(10'000)).value();
    BOOST_TEST(whole.isSnapshot);
    BOOST_TEST(whole.changed.size() == 1U);
    BOOST_TEST(whole.storeRevision.value() == 32U);
}

BOOST_AUTO_TEST_CASE(anExpiredLeaseRemovesItsKeysAndEndsWatches)
{
    const LeaseId lease = await<LeaseId>([&](auto callback) {
                              client->grantLease(Milliseconds(1500), callback);
                          }).value();
    const ModRevision written = put("a/1", "x", 0, lease).value();
    BOOST_TEST(await<void>([&](auto callback) { client->keepAlive(lease, callback); }).has_value());
    BOOST_TEST(watch(written, Milliseconds(10'000))->removed.at(0) == "a/1");
    const auto late = await<void>([&](auto callback) { client->keepAlive(lease, callback); });
    BOOST_TEST((late.error().kind == ErrorKind::NotFound));
}

BOOST_AUTO_TEST_CASE(clientTriesItsOtherAddresses)
{
    const Address unused{"127.0.0.1", 1};
    connect({unused, address}, Milliseconds(30'000));
    BOOST_TEST(put("a/1", "x", 0).has_value());
}

BOOST_AUTO_TEST_CASE(rejectsInvalidCommands)
{
    BOOST_TEST(command("outage?mode=sideways") == 400);
    BOOST_TEST(command("lost-answers?probability=2") == 400);
    BOOST_TEST(command("nothing") == 404);
}

// The revision of the former era happens to be that of another write.
BOOST_AUTO_TEST_CASE(revisionOfAnEarlierEraMatchesNothing)
{
    const ModRevision kept = put("a/1", "kept", 0).value();
    BOOST_TEST(command("copy") == 200);
    const ModRevision lost = put("a/2", "lost", 0).value();
    put("a/3", "lost", 0).value();
    BOOST_TEST(command("restore") == 200);
    // The client hears of the era with the next response.
    BOOST_TEST(!get("a/2").has_value());
    BOOST_TEST((client->era() == StoreEra(1)));
    const ModRevision other = put("a/2", "other", 0).value();
    BOOST_TEST((other > lost));
    BOOST_TEST((withoutEra(other) == lost));
    BOOST_TEST((kindOf(put("a/2", "x", lost.value())) == ErrorKind::Conflict));
    BOOST_TEST((kindOf(put("a/1", "x", kept.value())) == ErrorKind::Conflict));
    BOOST_TEST(get("a/2")->value == "other");
    BOOST_TEST(put("a/1", "x", get("a/1")->modRevision.value()).has_value());
}

BOOST_AUTO_TEST_CASE(watchAcrossARestoreReturnsEverything)
{
    put("a/1", "kept", 0).value();
    BOOST_TEST(command("copy") == 200);
    const ModRevision lost = put("a/2", "lost", 0).value();
    BOOST_TEST(command("restore") == 200);
    // The store has given out more revisions than before when the client asks again.
    connect({address}, Milliseconds(30'000));
    for (int i = 0; i < 3; ++i)
        put("b/1", "x", i == 0 ? 0 : get("b/1")->modRevision.value()).value();
    const WatchResponse changes = watch(lost, Milliseconds(1000)).value();
    BOOST_TEST(changes.isSnapshot);
    BOOST_TEST(changes.changed.size() == 1U);
}

BOOST_AUTO_TEST_CASE(restoreNeedsACopy)
{
    BOOST_TEST(command("restore") == 400);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace cornelhead
