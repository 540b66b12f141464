// Tests that calls with an idempotency key run at most once, with one and with two proxies.
#include "proxy/proxy-fixture.h"

namespace cornelhead {

namespace {

std::string headerOf(const HttpResponse &response, const std::string &name)
{
    const auto found = response.headers.find(name);
    return found == response.headers.end() ? "" : found->second;
}

std::string reasonOf(const HttpResponse &response)
{
    return headerOf(response, "Cornelhead-Reason");
}

std::string runOf(const HttpResponse &response)
{
    return headerOf(response, "Cornelhead-Run");
}

// Responds with the count of runs, so that a second run is visible.
HttpHandler countRuns(std::atomic<int> &count)
{
    return [&count](const HttpRequest &, const Responder &responder) {
        responder.send(HttpResponse{201, {{"X-Seat", "4"}}, std::to_string(++count)});
    };
}

} // namespace

BOOST_AUTO_TEST_SUITE(keyedCall)

BOOST_FIXTURE_TEST_CASE(repeatedKeysGetTheStoredResponse, ProxyFixture)
{
    std::atomic<int> count = 0;
    const TestBackend backend("s1", countRuns(count));
    publish({backend.endpoint()});
    for (int i = 0; i < 3; ++i) {
        const HttpResponse response = book("k");
        BOOST_TEST(response.status == 201);
        BOOST_TEST(response.body == "1");
        BOOST_TEST(headerOf(response, "X-Seat") == "4");
    }
    BOOST_TEST(reasonOf(book("k", "seat 5")) == "key-reused");
    BOOST_TEST(book("other").body == "2");
}

BOOST_FIXTURE_TEST_CASE(storesALateResponseForARetry, ProxyFixture)
{
    std::atomic<int> count = 0;
    const TestBackend slow("s1", [&](const HttpRequest &request, const Responder &responder) {
        std::this_thread::sleep_for(Milliseconds(200));
        countRuns(count)(request, responder);
    });
    publish({slow.endpoint()});
    const HttpResponse first = book("k", "seat 4", "50");
    BOOST_TEST(reasonOf(first) == "timeout");
    BOOST_TEST(runOf(first) == "unknown");
    const HttpResponse second = book("k");
    BOOST_TEST(reasonOf(second) == "in-progress");
    BOOST_TEST(runOf(second) == "unknown");
    while (metrics.counter("cornelhead_keyed_late_answers_kept_total").value() == 0)
        std::this_thread::sleep_for(Milliseconds(1));
    BOOST_TEST(book("k").body == "1");
    BOOST_TEST(slow.runs == 1);
}

BOOST_FIXTURE_TEST_CASE(aKeyThatWasNotRunMayBeRetried, ProxyFixture)
{
    std::atomic<bool> isFull = true;
    std::atomic<int> count = 0;
    const TestBackend backend("s1", [&](const HttpRequest &request, const Responder &responder) {
        if (isFull)
            shed(request, responder);
        else
            countRuns(count)(request, responder);
    });
    publish({backend.endpoint()});
    const HttpResponse refused = book("k");
    BOOST_TEST(reasonOf(refused) == "shed");
    BOOST_TEST(runOf(refused) == "not-run");
    isFull = false;
    BOOST_TEST(book("k").body == "1");
}

BOOST_AUTO_TEST_CASE(aYoungHomeRefusesAsUnknown)
{
    ProxyFixture young("node-1", OwnershipLimits{});
    const TestBackend backend("s1", echo);
    young.publish({backend.endpoint()});
    const HttpResponse response = young.book("without-birth");
    BOOST_TEST(reasonOf(response) == "home-young");
    BOOST_TEST(runOf(response) == "unknown");
    BOOST_TEST(backend.runs == 0);
    BOOST_TEST(young.refusals("home-young", "unknown") == 1);
}

BOOST_AUTO_TEST_CASE(aKeyHasOneHomeWhereverItArrives)
{
    ProxyFixture one("node-1");
    ProxyFixture two("node-2");
    std::atomic<int> count = 0;
    const TestBackend backend("s1", countRuns(count));
    one.publish({backend.endpoint()}, {two.self});
    two.publish({backend.endpoint()}, {one.self});
    for (int i = 0; i < 20; ++i) {
        const std::string key = "k" + std::to_string(i);
        const std::string body = one.book(key).body;
        BOOST_TEST(body == std::to_string(i + 1));
        BOOST_TEST(two.book(key).body == body);
    }
    const auto sentOn = [](ProxyFixture &node) {
        return node.metrics.counter("cornelhead_keyed_calls_sent_on_total").value();
    };
    BOOST_TEST(sentOn(one) + sentOn(two) == 20);
    BOOST_TEST(sentOn(one) > 0);
    BOOST_TEST(sentOn(two) > 0);
}

BOOST_AUTO_TEST_CASE(anUnreachableHomeRefusesAsUnknown)
{
    ProxyFixture one("node-1");
    NodeInfo gone = one.self;
    gone.id = NodeId("node-2");
    gone.proxy.port = freePort();
    const TestBackend backend("s1", echo);
    one.publish({backend.endpoint()}, {gone});
    int refusedCalls = 0;
    for (int i = 0; i < 20; ++i) {
        const HttpResponse response = one.book("k" + std::to_string(i));
        if (response.status == 200)
            continue;
        ++refusedCalls;
        BOOST_TEST(reasonOf(response) == "home-unreachable");
        BOOST_TEST(runOf(response) == "unknown");
    }
    BOOST_TEST(refusedCalls > 0);
    BOOST_TEST(backend.runs == 20 - refusedCalls);
}

BOOST_AUTO_TEST_CASE(returnsTheStoredResponseOverTheRateLimit)
{
    ProxyFixture one("node-1");
    std::atomic<int> count = 0;
    const TestBackend backend("s1", countRuns(count));
    one.publish({backend.endpoint()});
    BOOST_TEST(one.book("k").body == "1");
    // On a slow machine the token bucket may refill between calls, so a refusal may take several
    // tries.
    HttpResponse fresh;
    for (int i = 0; i < 100 && fresh.status != 429; ++i) {
        HttpResponse refused;
        for (int j = 0; j < 500 && refused.status != 429; ++j)
            refused = one.get("/bookings/list");
        BOOST_TEST(one.book("k").body == "1");
        fresh = one.book("fresh-" + std::to_string(i));
    }
    BOOST_TEST(reasonOf(fresh) == "rate");
    BOOST_TEST(runOf(fresh) == "not-run");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace cornelhead
