// Tests the simulated backend server over loopback, with a fake node.
#include "cornelhead/standin/backend-server.h"

#include <boost/test/unit_test.hpp>

#include <nlohmann/json.hpp>

#include "cornelhead/standin/ledger.h"
#include "cornelhead/standin/response-body.h"
#include "support/free-address.h"

namespace cornelhead {

struct BackendFixture
{
    EventLoop loop;
    Metrics metrics;
    HttpServer node{loop, {}};
    Address nodeAddress = listenOnFreePort([this](const Address &a) { return node.listen(a); });
    std::vector<RunRecord> runs;
    LedgerReceiver ledger{loop, [this](const RunRecord &record) { runs.push_back(record); }};
    Address ledgerAddress = listenOnFreePort([this](const Address &a) { return ledger.listen(a); });
    HttpClient client{loop};
    /// The announced states in order, and "withdrawn" for a withdrawal.
    std::vector<std::string> announced;
    std::unique_ptr<BackendServer> server;
    Address address;
    std::vector<Result<HttpResponse>> responses;

    BackendFixture()
    {
        node.setHandler([this](const HttpRequest &request, const Responder &responder) {
            const auto body = nlohmann::json::parse(request.body, nullptr, false);
            if (request.path == "/v1/announce")
                announced.push_back(body.at("state"));
            else if (request.path == "/v1/withdraw")
                announced.emplace_back("withdrawn");
            else
                responder.send(HttpResponse{200, {}, R"({"nested":")" + request.path + "\"}"});
            responder.send(jsonResponse(200, "{}"));
        });
    }

    void start(BackendSettings behaviour)
    {
        BackendServerSettings settings{
                behaviour,   ServiceId("bookings"), VersionId("v1"), ServerId("server"), 130,
                nodeAddress, nodeAddress,           ledgerAddress,   Milliseconds(0),    1};
        server = std::make_unique<BackendServer>(loop, settings, metrics);
        address = listenOnFreePort([this](const Address &a) { return server->listen(a); });
    }

    void send(const std::string &path, const Headers &headers = {},
              Milliseconds timeout = Milliseconds(5000))
    {
        client.send(address, HttpRequest{HttpMethod::Get, path, {}, headers, {}}, timeout,
                    [this](Result<HttpResponse> response) {
                        responses.push_back(std::move(response));
                    });
    }

    void runUntil(const std::function<bool()> &isDone)
    {
        for (int i = 0; i < 1000 && !isDone(); ++i)
            loop.runFor(Milliseconds(10));
        BOOST_REQUIRE(isDone());
    }

    void awaitResponses(std::size_t count)
    {
        runUntil([&] { return responses.size() >= count; });
    }

    void command(const std::string &name)
    {
        bool isDone = false;
        const HttpRequest request{HttpMethod::Post, "/control/" + name, {}, {}, {}};
        client.send(address, request, Milliseconds(5000),
                    [&](const Result<HttpResponse> &response) {
                        BOOST_TEST(response.value().status == 200);
                        isDone = true;
                    });
        runUntil([&] { return isDone; });
    }

    HttpResponse call(const std::string &path, const Headers &headers = {})
    {
        responses.clear();
        send(path, headers);
        awaitResponses(1);
        return responses.at(0).value();
    }
};

BackendSettings zeroLatency()
{
    BackendSettings settings;
    settings.medianLatency = Milliseconds(0);
    return settings;
}

BOOST_FIXTURE_TEST_SUITE(backendServer, BackendFixture)

BOOST_AUTO_TEST_CASE(respondsWithTheRequestedSize)
{
    start(zeroLatency());
    const Headers headers = {{requestIdHeader, "77"},
                             {responseBytesHeader, "4000"},
                             {"Cornelhead-Customer", "kiri"},
                             {"Idempotency-Key", "k1"}};
    const HttpResponse response = call("/book", headers);
    const ExpectedResponse expected{"bookings", "/book", "kiri", "k1", "77", 4000};
    BOOST_TEST(isExpectedResponse(expected, response.body));
    BOOST_TEST(response.headers.at("Cornelhead-Server") == "server");
    BOOST_TEST(response.headers.at("Cornelhead-Version") == "v1");
    runUntil([&] { return runs.size() == 1; });
    BOOST_TEST(runs[0].key == "k1");
}

BOOST_AUTO_TEST_CASE(rejectsAlteredResponses)
{
    const ExpectedResponse expected{"bookings", "/book", "kiri", "k1", "77", 400};
    const std::string correct = encodeResponseBody(
            ResponseBody{"bookings", "v1", "s", "/book", "kiri", "k1", "77", ""}, 400);
    BOOST_TEST(isExpectedResponse(expected, correct));
    BOOST_TEST(!isExpectedResponse(expected, correct.substr(0, 399)));
    BOOST_TEST(!isExpectedResponse(
            expected,
            encodeResponseBody(ResponseBody{"bookings", "v1", "s", "/book", "kiri", "k1", "78", ""},
                               400)));
    BOOST_TEST(!isExpectedResponse(
            expected,
            encodeResponseBody(ResponseBody{"bookings", "v1", "s", "/book", "kiri", "k1", "77", ""},
                               500)));
    std::string altered = correct;
    altered[altered.find("\"padding\":\"") + 100] = '8';
    BOOST_TEST(!isExpectedResponse(expected, altered));
}

BOOST_AUTO_TEST_CASE(shedsCallsBeyondSlotsAndQueueWithoutRunningThem)
{
    BackendSettings settings;
    settings.slots = 1;
    settings.queueLength = 1;
    settings.medianLatency = Milliseconds(400);
    start(settings);
    for (int i = 0; i < 3; ++i)
        send("/book", {{"Idempotency-Key", "k" + std::to_string(i)}});
    awaitResponses(3);
    BOOST_TEST(responses[0]->status == 503);
    BOOST_TEST(responses[0]->headers.at("Cornelhead-Run") == "not-run");
    BOOST_TEST(responses[0]->headers.at("Cornelhead-Reason") == "shed");
    BOOST_TEST(runs.size() == 2U);
}

BOOST_AUTO_TEST_CASE(refusesAQueuedCallWhoseDeadlineHasPassed)
{
    BackendSettings settings;
    settings.slots = 1;
    settings.medianLatency = Milliseconds(400);
    start(settings);
    send("/book");
    send("/book", {{"Cornelhead-Deadline-Ms", "1"}, {"Idempotency-Key", "k"}});
    awaitResponses(2);
    BOOST_TEST(responses[1]->headers.at("Cornelhead-Reason") == "cancelled");
    BOOST_TEST(runs.empty());
}

BOOST_AUTO_TEST_CASE(drainsWithoutAbortingACall)
{
    BackendSettings settings;
    settings.medianLatency = Milliseconds(4000);
    settings.spread = 0;
    start(settings);
    send("/long");
    loop.runFor(Milliseconds(50));
    bool isDrained = false;
    server->drain([&] { isDrained = true; });
    runUntil([&] { return !announced.empty() && announced.back() == "draining"; });
    loop.runFor(BackendBehaviour::drainGracePeriod);
    send("/late");
    awaitResponses(1);
    BOOST_TEST(responses[0]->headers.at("Cornelhead-Reason") == "draining");
    BOOST_TEST(!isDrained);
    awaitResponses(2);
    BOOST_TEST(responses[1]->status == 200);
    runUntil([&] { return isDrained; });
    BOOST_TEST(announced.back() == "withdrawn");
}

BOOST_AUTO_TEST_CASE(announcesItsColdStart)
{
    BackendSettings settings = zeroLatency();
    settings.coldStart = Milliseconds(100);
    start(settings);
    runUntil([&] { return !announced.empty() && announced.back() == "serving"; });
    BOOST_TEST(announced.front() == "starting");
}

BOOST_AUTO_TEST_CASE(recordsAPoisonedRunBeforeTheServerExits)
{
    start(zeroLatency());
    bool hasExited = false;
    server->onPoison([&] { hasExited = true; });
    send("/poison/1", {{"Idempotency-Key", "k"}});
    runUntil([&] { return hasExited && runs.size() == 1; });
}

BOOST_AUTO_TEST_CASE(newConnectionsWorkWhileOthersHang)
{
    start(zeroLatency());
    call("/a");
    command("silence");
    responses.clear();
    send("/b", {}, Milliseconds(2000));
    loop.runFor(Milliseconds(20));
    send("/c");
    awaitResponses(1);
    BOOST_TEST(responses[0]->status == 200);
    awaitResponses(2);
    BOOST_TEST((responses[1].error().kind == ErrorKind::Unknown));
}

BOOST_AUTO_TEST_CASE(failsOnlyUnderTheFaultConditions)
{
    BackendSettings settings = zeroLatency();
    settings.failRate = 1;
    settings.conditions.pathPrefix = "/pay";
    start(settings);
    BOOST_TEST(call("/pay/1").status == 500);
    BOOST_TEST(call("/book").status == 200);
}

BOOST_AUTO_TEST_CASE(callsTheNextServiceOfAChain)
{
    start(zeroLatency());
    const HttpResponse response = call("/a", {{callChainHeader, "seatmaps/hall,catalogue/items"}});
    BOOST_TEST(nlohmann::json::parse(response.body)["next"]["nested"] == "/seatmaps/hall");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace cornelhead
