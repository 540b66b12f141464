// Tests the proxy with backend servers on loopback.
#include "proxy/proxy-fixture.h"

namespace cornelhead {

BOOST_FIXTURE_TEST_SUITE(proxy, ProxyFixture)

BOOST_AUTO_TEST_CASE(refusesBeforeTheFirstView)
{
    const HttpResponse response = get("/bookings/list");
    BOOST_TEST(response.status == 503);
    BOOST_TEST(response.headers.at("Cornelhead-Reason") == "not-ready");
    BOOST_TEST(response.headers.at("Cornelhead-Run") == "not-run");
}

BOOST_AUTO_TEST_CASE(forwardsCallsAndResponses)
{
    const TestBackend backend("s1", [](const HttpRequest &request, const Responder &responder) {
        BOOST_TEST(request.headers.at("Cornelhead-Depth") == "3");
        BOOST_TEST(request.headers.at("Cornelhead-Customer") == "wellington");
        BOOST_TEST(!request.headers.contains("X-Hop"));
        echo(request, responder);
    });
    publish({backend.endpoint()});
    const HttpResponse response = get("/bookings/a%20b?q=1",
                                      {{"Cornelhead-Customer", "wellington"},
                                       {"Cornelhead-Depth", "2"},
                                       {"Connection", "X-Hop"},
                                       {"X-Hop", "1"}});
    BOOST_TEST(response.status == 200);
    BOOST_TEST(response.body == "/a b");
    BOOST_TEST(response.headers.at("Cornelhead-Server") == "echo");
}

BOOST_AUTO_TEST_CASE(refusesAServiceOutsideThePlan)
{
    const TestBackend backend("s1", echo);
    publish({backend.endpoint()});
    const HttpResponse response = get("/doorlist/tickets/1", {{"Cornelhead-Customer", "ana"}});
    BOOST_TEST(response.status == 403);
    BOOST_TEST(response.headers.at("Cornelhead-Reason") == "plan-lacks-service");
    BOOST_TEST(response.body.find("remedy") != std::string::npos);
    BOOST_TEST(refusals("plan-lacks-service", "not-run") == 1);
    BOOST_TEST(get("/bookings/x", {{"Cornelhead-Customer", "nobody"}}).status == 401);
    BOOST_TEST(get("/nothing/x").status == 404);
    BOOST_TEST(get("/doorlist/x").status == 404);
    BOOST_TEST(backend.runs == 0);
}

BOOST_AUTO_TEST_CASE(retriesShedCallsOnAnotherServer)
{
    const TestBackend full("s1", shed);
    const TestBackend other("s2", echo);
    publish({full.endpoint(), other.endpoint()});
    for (int i = 0; i < 10; ++i)
        BOOST_TEST(get("/bookings/list").status == 200);
    BOOST_TEST(other.runs == 10);
}

BOOST_AUTO_TEST_CASE(refusesAsNotRunWhenAllServersShed)
{
    const TestBackend full("s1", shed);
    publish({full.endpoint()});
    const HttpResponse response = get("/bookings/list");
    BOOST_TEST(response.status == 503);
    BOOST_TEST(response.headers.at("Cornelhead-Reason") == "shed");
    BOOST_TEST(response.headers.at("Cornelhead-Run") == "not-run");
}

BOOST_AUTO_TEST_CASE(doesNotRetryALateBooking)
{
    std::vector<Responder> responders;
    TestBackend silent("s1", [&](const HttpRequest &, const Responder &responder) {
        responders.push_back(responder);
    });
    const TestBackend other("s2", echo);
    publish({silent.endpoint()});
    const HttpResponse response = book("k", "seat 4", "100");
    BOOST_TEST(response.status == 504);
    BOOST_TEST(response.headers.at("Cornelhead-Run") == "unknown");
    BOOST_TEST(silent.runs == 1);
    silent.loop().post([&] { responders.clear(); });
}

BOOST_AUTO_TEST_CASE(refusesAsNotRunWhenNoServerListens)
{
    Endpoint dead = TestBackend("s1", echo).endpoint();
    publish({dead});
    const HttpResponse response = book("k");
    BOOST_TEST(response.status == 503);
    BOOST_TEST(response.headers.at("Cornelhead-Reason") == "connect-failed");
    BOOST_TEST(response.headers.at("Cornelhead-Run") == "not-run");
}

BOOST_AUTO_TEST_CASE(streamsLargeResponses)
{
    const std::string large(5'000'000, 'x');
    const TestBackend backend("s1", [&](const HttpRequest &, const Responder &responder) {
        responder.send(HttpResponse{200, {}, large});
    });
    publish({backend.endpoint()});
    BOOST_TEST((get("/bookings/list").body == large));
    BOOST_TEST((get("/bookings/list").body == large));
}

BOOST_AUTO_TEST_CASE(drainWaitsForOpenCalls)
{
    const TestBackend backend("s1", [&](const HttpRequest &request, const Responder &responder) {
        std::this_thread::sleep_for(Milliseconds(100));
        echo(request, responder);
    });
    publish({backend.endpoint()});
    auto pendingResponse = std::async(std::launch::async, [&] { return get("/bookings/list"); });
    while (backend.runs == 0)
        std::this_thread::sleep_for(Milliseconds(1));
    std::promise<void> drained;
    proxy.drain([&] { drained.set_value(); });
    drained.get_future().wait();
    const HttpResponse response = pendingResponse.get();
    BOOST_TEST(response.status == 200);
    BOOST_TEST(response.headers.at("Connection") == "close");
    BOOST_TEST(!callBlocking(address, HttpRequest{}, Milliseconds(1000)).has_value());
}

BOOST_AUTO_TEST_CASE(sumsOutcomesByVersionAndRoute)
{
    const TestBackend backend("s1", echo);
    publish({backend.endpoint()});
    get("/bookings/list");
    const OutcomeBatch batch = proxy.takeOutcomes();
    const OutcomeKey key{ServiceId("bookings"), VersionId("v1"), RouteId("bookings/list"),
                         DataCentreId("akl-a")};
    BOOST_REQUIRE(batch.contains(key));
    BOOST_TEST(batch.at(key).calls == 1);
    BOOST_TEST(batch.at(key).failures == 0);
    BOOST_TEST(proxy.takeOutcomes().empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace cornelhead
