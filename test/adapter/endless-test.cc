// Tests that a server or a node which sends bytes without end neither fills the node's memory nor
// holds calls.
#include "adapter/sidecar-fleet.h"
#include "support/endless-server.h"

namespace cornelhead {

struct EndlessFleet : SidecarFleet
{
    EndlessFleet()
    {
        configure("00000005", usersRoute("book", "/book/", "non_idempotent", "bookings"));
    }
    HttpResponse book(const SidecarHost &from)
    {
        return call(from.settings.outbound, requestTo("/book/1", HttpMethod::Post, "seat=4"));
    }
    /// Restarts the node beside `server`, which replaces the host's server.
    void replaceServer(SidecarHost &host, const EndlessServer &server)
    {
        host.sidecar.reset();
        loop.runFor(Milliseconds(50));
        host.settings.server = server.address;
        host.sequence += 10;
        startSidecar(host);
        BOOST_TEST(announce(host) == 200);
        waitUntil([&] { return isReady(host); });
        loop.runFor(Milliseconds(600));
    }
    /// Checks that a call fails before its deadline, and that the server was not read for longer.
    void expectEarlyEnd(const SidecarHost &from, EndlessServer &server, const EndlessBytes &bytes)
    {
        const HttpResponse response = book(from);
        BOOST_TEST(response.status == 502);
        BOOST_TEST(!response.headers.contains("Cornelhead-Server-Seal"));
        BOOST_TEST(server.connections == 1U);
        waitUntil([&] { return !server.hasOpenConnections(); });
        BOOST_TEST(server.bytesSent < bytes.maxBytes);
    }
};

BOOST_AUTO_TEST_SUITE(endless_bytes)

// LOST: the node beside a server that sent interim responses exceeded its memory limit, which ended
// calls at other servers.
BOOST_AUTO_TEST_CASE(callToAServerThatSendsWithoutEndFails)
{
    for (const EndlessBytes &bytes : allEndlessBytes()) {
        BOOST_TEST_CONTEXT(bytes.name)
        {
            EndlessFleet fleet;
            SidecarHost &host = fleet.add("bookings", "b1");
            fleet.settle();
            EndlessServer server(fleet.loop, bytes.start, bytes.filler);
            fleet.replaceServer(host, server);
            fleet.expectEarlyEnd(host, server, bytes);
        }
    }
}

BOOST_AUTO_TEST_CASE(callToANodeThatSendsWithoutEndFails)
{
    EndlessFleet fleet;
    SidecarHost &caller = fleet.add("catalogue", "c1");
    fleet.settle();
    for (const EndlessBytes &bytes : allEndlessBytes()) {
        BOOST_TEST_CONTEXT(bytes.name)
        {
            EndlessServer node(fleet.loop, bytes.start, bytes.filler);
            const std::string address = node.address.toString();
            const std::string entry = R"({"node":")" + address
                    + R"(","run":"r","dataCentre":"akl-a","followers":9,"server":{"id":"e",)"
                    + R"("service":"bookings","version":"v1","state":"serving","startedAt":0,)"
                    + R"("slots":9}})";
            fleet.store.write("cornelhead/hosts/" + address, entry);
            // The node is used once the caller's node knows its entry.
            HttpResponse response;
            fleet.waitUntil([&] {
                response = fleet.book(caller);
                return node.connections > 0;
            });
            BOOST_TEST(response.status == 502);
            fleet.waitUntil([&] { return !node.hasOpenConnections(); });
            BOOST_TEST(node.bytesSent < bytes.maxBytes);
        }
    }
}

// The reason of such an end is counted.
BOOST_AUTO_TEST_CASE(endOfALongResponseIsCounted)
{
    EndlessFleet fleet;
    SidecarHost &host = fleet.add("bookings", "b1");
    fleet.settle();
    const EndlessBytes bytes = endlessInterimResponses(200);
    EndlessServer server(fleet.loop, bytes.start, bytes.filler);
    fleet.replaceServer(host, server);
    BOOST_TEST(fleet.book(host).status == 502);
    const std::string counter = "cornelhead_server_long_answers_total{fault=\"heads\"} 1";
    BOOST_TEST(fleet.metricsOf(host).find(counter) != std::string::npos);
}

// Memory: responses that stay below the limit of one exceeded the memory of the process together.
BOOST_AUTO_TEST_CASE(largeResponsesTogetherStayWithinTheBudget)
{
    EndlessFleet fleet;
    fleet.add("bookings", "b1");
    fleet.settle();
    SidecarHost &host = fleet.hosts[0];
    // The rest of the body never comes.
    const EndlessServer server(
            fleet.loop,
            "HTTP/1.1 200 OK\r\nContent-Length: 7000000\r\n\r\n" + std::string(4'500'000, 'x'), "");
    fleet.replaceServer(host, server);
    const SidecarHost &sound = fleet.add("catalogue", "c1");
    BufferBudget &buffers = fleet.loop.buffers();
    buffers.setLimit(8'000'000);
    std::vector<int> statuses;
    for (int i = 0; i < 2; ++i) {
        fleet.client.send(host.settings.outbound,
                          fleet.requestTo("/book/1", HttpMethod::Post, "seat=4"),
                          Milliseconds(8000), [&](const Result<HttpResponse> &response) {
                              statuses.push_back(response ? response->status : 0);
                          });
    }
    fleet.waitUntil([&] {
        BOOST_REQUIRE(buffers.held() <= buffers.limit());
        return statuses.size() == 2U;
    });
    BOOST_TEST(buffers.evictions() > 0U);
    std::sort(statuses.begin(), statuses.end());
    // The other one waits for the rest until its deadline.
    BOOST_TEST(statuses == (std::vector<int>{502, 504}), boost::test_tools::per_element());
    const std::string counter = "cornelhead_server_long_answers_total{fault=\"budget\"} 1";
    BOOST_TEST(fleet.metricsOf(host).find(counter) != std::string::npos);
    BOOST_TEST(fleet.isReady(sound));
}

// The key-value service may be as faulty.
BOOST_AUTO_TEST_CASE(requestToAPeerThatSendsWithoutEndFails)
{
    for (const EndlessBytes &bytes : allEndlessBytes()) {
        BOOST_TEST_CONTEXT(bytes.name)
        {
            EventLoop loop;
            EndlessServer server(loop, bytes.start, bytes.filler);
            HttpClient client(loop);
            std::optional<Result<HttpResponse>> response;
            client.send(server.address, HttpRequest{HttpMethod::Get, "/", {}, {}, {}},
                        Milliseconds(10'000),
                        [&](Result<HttpResponse> result) { response = std::move(result); });
            for (int i = 0; i < 500 && !response; ++i)
                loop.runFor(Milliseconds(10));
            BOOST_REQUIRE(response.has_value());
            BOOST_TEST(!response->has_value());
            BOOST_TEST(server.bytesSent < 2 * HttpClient::maxBodyBytes);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace cornelhead
