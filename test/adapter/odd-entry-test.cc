// Tests entries of other writers among those of the hosts, and odd heartbeats.
#include "adapter/sidecar-fleet.h"

namespace cornelhead {

struct OddEntryFleet : SidecarFleet
{
    OddEntryFleet()
    {
        configure("00000005", usersRoute("look", "/look/", "idempotent", "bookings"));
        add("catalogue", "c1");
        add("bookings", "b1");
        settle();
    }
    /// Writes a host entry that names a server of the bookings service.
    void writeEntry(const std::string &node, const std::string &slots)
    {
        store.write("cornelhead/hosts/" + node,
                    R"({"node":")" + node + R"(","run":"r","dataCentre":"akl-a","followers":9,)"
                            + R"("server":{"id":"odd","service":"bookings","version":"v1",)"
                            + R"("state":"serving","startedAt":0,"slots":)" + slots + "}}");
    }
};

BOOST_FIXTURE_TEST_SUITE(odd_entries, OddEntryFleet)

// Nodes that read the list ended again and again, or stopped following it.
BOOST_AUTO_TEST_CASE(nodesGoOnFollowingTheListAndSendNoCallsToOddEntries)
{
    std::size_t calls = 0;
    HttpServer odd(loop, {});
    odd.setHandler([&](const HttpRequest &, const Responder &responder) {
        ++calls;
        responder.send(HttpResponse{503, {}, {}});
    });
    const Address address = freeAddress();
    BOOST_REQUIRE(odd.listen(address).has_value());
    const std::string deep(100'000, '[');
    const std::string values[] = {"",
                                  "null",
                                  deep,
                                  deep + std::string(deep.size(), ']'),
                                  "{\"node\":1e400}",
                                  "\xff\xfe",
                                  std::string(700'000, '{')};
    int entries = 0;
    for (const std::string &value : values)
        store.write("cornelhead/hosts/10.9.9.9:" + std::to_string(8000 + ++entries), value);
    for (const char *slots : {deep.c_str(), "1e30", "18446744073709551615", "-1"})
        writeEntry(address.toString(), slots);
    for (const char *port : {"0", "65536", "-1"})
        writeEntry("10.9.9.9:" + std::string(port), "9");
    store.write("cornelhead/moves/bookings", deep);

    add("bookings", "b2");
    configureRoute("00000010", "after");
    waitForRoute("/after/1");
    waitUntil([&] {
        call(hosts[0].settings.outbound, requestTo("/after/1"));
        return !hosts[2].server->runs.empty();
    });
    // A node that starts lists all entries at once.
    add("catalogue", "c2");
    waitForRoute("/after/2");
    for (int i = 0; i < 10; ++i)
        BOOST_TEST(call(hosts[0].settings.outbound, requestTo("/after/3")).status == 200);
    BOOST_TEST(calls == 0U);
}

// Every later heartbeat of the server passed for a stale one.
BOOST_AUTO_TEST_CASE(heartbeatWithNumbersOutOfRangeChangesNothing)
{
    SidecarHost &host = hosts[1];
    const auto put = [&](const std::string &numbers) {
        const std::string body = R"({"server-info":{"service":"bookings","version":"v1",)"
                                 R"("zone":"akl-a","slots":2},)"
                + numbers + "}";
        return call(host.settings.control,
                    HttpRequest{HttpMethod::Put, "/instances/b1", {}, {}, body})
                .status;
    };
    for (const char *numbers :
         {R"("born":1,"status":{"state":"draining","seq":1e30})",
          R"("born":9223372036854775807,"status":{"state":"draining","seq":1})",
          R"("born":1,"status":{"state":"ready","seq":900,"cold-left":"1e300s"})"})
        BOOST_TEST(put(numbers) == 400);
    BOOST_TEST(announce(host) == 200);
    for (int i = 0; i < 4; ++i)
        BOOST_TEST(call(hosts[0].settings.outbound, requestTo("/look/1")).status == 200);
    BOOST_TEST(announce(host, "v1", "draining") == 200);
    waitUntil([&] { return call(hosts[0].settings.outbound, requestTo("/look/1")).status == 503; });
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace cornelhead
