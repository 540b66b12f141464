// Tests that nothing runs for a caller that has left, also not the calls that servers make.
#include "adapter/sidecar-fleet.h"

namespace cornelhead {

struct CancelledFleet : SidecarFleet
{
    CancelledFleet()
    {
        configure("00000005",
                  usersRoute("look", "/look/", "idempotent", "bookings") + ","
                          + usersRoute("book", "/book/", "non_idempotent", "bookings") + ","
                          + usersRoute("stock", "/stock/", "idempotent", "catalogue"));
        outer = &add("bookings", "b1");
        inner = &add("catalogue", "c1");
        settle();
        for (SidecarHost *host : {outer, inner}) {
            host->server->behaviour = [this](const HttpRequest &request,
                                             const Responder &responder) {
                held.emplace(FakeServer::header(request, "Cornelhead-Request-Id"), responder);
            };
        }
    }
    /// Sends a call whose caller leaves after 200 ms; the server makes a call meanwhile.
    void callAndLeave(const std::string &path, HttpMethod method)
    {
        HttpRequest request = requestTo(path, method, method == HttpMethod::Post ? "seat=4" : "");
        request.headers["Cornelhead-Request-Id"] = "outer";
        {
            HttpClient leaving(loop);
            leaving.send(inner->settings.outbound, request, Milliseconds(5000),
                         [](const Result<HttpResponse> &) {});
            waitUntil([&] { return held.contains("outer"); });
            sendNested("outer.1");
            waitUntil([&] { return held.contains("outer.1"); });
        }
        loop.runFor(Milliseconds(300));
    }
    void sendNested(const std::string &id)
    {
        HttpRequest request = requestTo("/stock/1");
        request.headers["Cornelhead-Request-Id"] = id;
        client.send(outer->settings.outbound, request, Milliseconds(1500),
                    [this](const Result<HttpResponse> &response) {
                        nestedStatus = response ? response->status : 0;
                    });
    }

    SidecarHost *outer = nullptr;
    SidecarHost *inner = nullptr;
    std::map<std::string, Responder> held;
    std::optional<int> nestedStatus;
};

BOOST_FIXTURE_TEST_SUITE(cancelled_calls, CancelledFleet)

// GONE: the server drops the outer call, and the calls that it had made went on.
BOOST_AUTO_TEST_CASE(callsMadeForACancelledCallAreCancelled)
{
    callAndLeave("/look/1", HttpMethod::Get);
    BOOST_TEST(held.at("outer").isDisconnected());
    BOOST_TEST(held.at("outer.1").isDisconnected());
    BOOST_TEST((nestedStatus == 502));
    BOOST_TEST(metricsOf(*outer).find("cornelhead_entry_nested_cancelled_total 1")
               != std::string::npos);
}

// The server goes on for a moment, and makes another call.
BOOST_AUTO_TEST_CASE(callMadeAfterTheOuterCallWasCancelledIsRefused)
{
    callAndLeave("/look/1", HttpMethod::Get);
    nestedStatus.reset();
    sendNested("outer.2");
    waitUntil([&] { return nestedStatus.has_value(); });
    BOOST_TEST((nestedStatus == 503));
    BOOST_TEST(!held.contains("outer.2"));
}

// Its outcome may be asked for by a resume.
BOOST_AUTO_TEST_CASE(callsMadeForACallThatMustNotRunTwiceGoOn)
{
    callAndLeave("/book/1", HttpMethod::Post);
    BOOST_TEST(!held.at("outer").isDisconnected());
    BOOST_TEST(!held.at("outer.1").isDisconnected());
    sendNested("outer.2");
    waitUntil([&] { return held.contains("outer.2"); });
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace cornelhead
