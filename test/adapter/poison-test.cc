// Tests which requests sidecars refuse because servers crashed under them.
#include "adapter/sidecar-fleet.h"

namespace cornelhead {

struct PoisonFleet : SidecarFleet
{
    SidecarHost *entry = nullptr;
    SidecarHost *otherEntry = nullptr;

    PoisonFleet()
    {
        configure("00000005", usersRoute("look", "/look/", "idempotent", "bookings"));
        entry = &add("catalogue", "c1");
        otherEntry = &add("catalogue", "c2");
        for (const char *server : {"b1", "b2", "b3"})
            add("bookings", server);
        settle();
    }
    int get(const SidecarHost &from, const std::string &path)
    {
        return call(from.settings.outbound, requestTo(path)).status;
    }
    /// Lets the server crash when it gets the path, and start again once its node has noticed.
    void crashUnder(const std::string &path, SidecarHost &host)
    {
        bool hasCrashed = false;
        host.server->behaviour = [&](const HttpRequest &request, const Responder &responder) {
            if (!hasCrashed && request.path != path) {
                responder.send(host.server->answerTo(request));
                return;
            }
            hasCrashed = true;
            host.server->stopListening();
            responder.closeConnection();
        };
        waitUntil([&] {
            get(*entry, path);
            return hasCrashed;
        });
        // A call that the server refuses tells its node that it is down.
        call(host.settings.inbound, hopRequestTo(host, "after-" + path, false, runOf(host)));
        loop.runFor(Milliseconds(200));
        host.server->behaviour = nullptr;
        host.server->listenAgain();
        loop.runFor(Milliseconds(700));
    }
};

BOOST_FIXTURE_TEST_SUITE(poison, PoisonFleet)

// CONFIG: two crashes minutes of answers apart made every node refuse a page that crashed no
// server.
BOOST_AUTO_TEST_CASE(requestThatServersAnswerBetweenTwoCrashesIsNotRefused)
{
    for (const std::size_t host : {2U, 3U}) {
        BOOST_TEST(get(*entry, "/look/all") == 200);
        crashUnder("/look/all", hosts[host]);
        for (int i = 0; i < 6; ++i)
            BOOST_TEST(get(*entry, "/look/all") == 200);
        loop.runFor(Milliseconds(200));
    }
    for (int i = 0; i < 6; ++i) {
        BOOST_TEST(get(*entry, "/look/all") == 200);
        BOOST_TEST(get(*otherEntry, "/look/all") == 200);
    }
}

BOOST_AUTO_TEST_CASE(requestThatCrashesEachServerIsRefusedEverywhere)
{
    int crashes = 0;
    for (std::size_t i = 2; i < hosts.size(); ++i) {
        FakeServer &server = *hosts[i].server;
        server.behaviour = [&](const HttpRequest &request, const Responder &responder) {
            if (request.path != "/look/crash") {
                responder.send(server.answerTo(request));
                return;
            }
            ++crashes;
            server.stopListening();
            responder.closeConnection();
        };
    }
    const auto countRefusingEntries = [this] {
        int refused = 0;
        for (SidecarHost *host : {entry, otherEntry}) {
            const std::string series = "cornelhead_entry_refusals_total{reason=\"poison\"} ";
            const std::string metrics = metricsOf(*host);
            refused += std::stoi(metrics.substr(metrics.find(series) + series.size())) > 0 ? 1 : 0;
        }
        return refused;
    };
    waitUntil([&] {
        for (std::size_t i = 2; i < hosts.size(); ++i)
            hosts[i].server->listenAgain();
        get(*entry, "/look/crash");
        for (int i = 0; i < 6; ++i)
            get(*entry, "/look/other");
        loop.runFor(Milliseconds(700));
        get(*otherEntry, "/look/crash");
        return countRefusingEntries() == 2;
    });
    const int before = crashes;
    for (const SidecarHost *host : {entry, otherEntry})
        BOOST_TEST(get(*host, "/look/crash") == 503);
    BOOST_TEST(crashes == before);
    BOOST_TEST(get(*entry, "/look/other") == 200);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace cornelhead
