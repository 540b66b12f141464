// Tests the HTTP server and client with each other over loopback.
#include "cornelhead/net/http.h"

#include <boost/test/unit_test.hpp>

namespace cornelhead {

struct Fixture
{
    EventLoop loop;
    HttpServer server{loop, {}};
    HttpClient client{loop};
    Address address{"127.0.0.1", 0};

    Fixture()
    {
        for (std::uint16_t port = 42100; port < 42200; ++port) {
            address.port = port;
            if (server.listen(address))
                return;
        }
        BOOST_FAIL("no free port");
    }

    Result<HttpResponse> call(const HttpRequest &request, Milliseconds timeout = Milliseconds(5000))
    {
        Result<HttpResponse> result = fail(ErrorKind::Unknown, "no response", "");
        client.send(address, request, timeout, [&](Result<HttpResponse> response) {
            result = std::move(response);
            loop.stop();
        });
        loop.run();
        return result;
    }
};

BOOST_FIXTURE_TEST_SUITE(http, Fixture)

BOOST_AUTO_TEST_CASE(passesHeadersQueryAndBody)
{
    server.setHandler([](const HttpRequest &request, const Responder &responder) {
        responder.send(HttpResponse{
                201, {{"X-Seen", request.query.at("q")}}, request.path + "|" + request.body});
    });
    const HttpRequest request{HttpMethod::Put, "/a%20b?q=1%2F2", {}, {}, "text"};
    const HttpResponse response = call(request).value();
    BOOST_TEST(response.status == 201);
    BOOST_TEST(response.headers.at("x-seen") == "1/2");
    BOOST_TEST(response.body == "/a b|text");
    BOOST_TEST(call(request).value().status == 201);
}

BOOST_AUTO_TEST_CASE(unavailableIfNothingWasSent)
{
    address.port = 1;
    const auto result = call(HttpRequest{HttpMethod::Get, "/", {}, {}, ""});
    BOOST_REQUIRE(!result.has_value());
    BOOST_TEST((result.error().kind == ErrorKind::Unavailable));
}

BOOST_AUTO_TEST_CASE(unknownIfTheResponseTimesOut)
{
    std::unique_ptr<Responder> pendingResponder;
    server.setHandler([&](const HttpRequest &, const Responder &responder) {
        pendingResponder = std::make_unique<Responder>(responder);
    });
    const auto result = call(HttpRequest{HttpMethod::Get, "/", {}, {}, ""}, Milliseconds(50));
    BOOST_REQUIRE(!result.has_value());
    BOOST_TEST((result.error().kind == ErrorKind::Unknown));
    loop.runFor(Milliseconds(20));
    BOOST_TEST(pendingResponder->isDisconnected());
    pendingResponder->send(HttpResponse{});
    BOOST_TEST(server.pendingRequests() == 0);
}

BOOST_AUTO_TEST_CASE(unansweredRequestsGetStatus500)
{
    server.setHandler([](const HttpRequest &, const Responder &) {});
    BOOST_TEST(call(HttpRequest{HttpMethod::Get, "/", {}, {}, ""}).value().status == 500);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace cornelhead
