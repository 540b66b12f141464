// Tests what nodes do with the limit that a backend server names in its responses, and when it says
// there that it leaves.
#include "adapter/sidecar-fleet.h"

namespace cornelhead {

struct NoticeFleet : SidecarFleet
{
    NoticeFleet()
    {
        configure("00000005", usersRoute("look", "/look/", "idempotent", "bookings"));
        for (int i = 0; i < 3; ++i)
            entries.push_back(&add("catalogue", "c" + std::to_string(i)));
        limited = &add("bookings", "b0");
        other = &add("bookings", "b1");
        // Long enough that one server alone is full.
        limited->server->work = other->server->work = Milliseconds(25);
        settle();
    }
    /// Sends a call every `interval` for `duration`, each through the next entry, and waits for the
    /// responses.
    void sendCalls(Milliseconds interval, Milliseconds duration)
    {
        Timer timer = loop.every(interval, [&] {
            SidecarHost &entry = *entries[sent++ % entries.size()];
            client.send(entry.settings.outbound, requestTo("/look/1"), Milliseconds(4000),
                        [&](const Result<HttpResponse> &response) {
                            ++ended;
                            if (response)
                                ++statuses[response->status];
                        });
        });
        loop.runFor(duration);
        timer = Timer();
        waitUntil([&] { return ended == sent; });
    }
    /// The limit that the node beside the limited server applies, in calls per 1,000 s.
    int limitMetric()
    {
        const std::string name = "\ncornelhead_server_limit_per_1000_s ";
        const std::string metrics = metricsOf(*limited);
        return std::stoi(metrics.substr(metrics.find(name) + name.size()));
    }
    /// Returns the most calls that the server got within four seconds, later than three seconds
    /// after its first one.
    static std::size_t mostCallsInFourSeconds(const FakeServer &server)
    {
        std::size_t most = 0;
        const std::vector<TimePoint> &times = server.runTimes;
        for (std::size_t first = 0, last = 0; last < times.size(); ++last) {
            while (times[last] - times[first] > Milliseconds(4000))
                ++first;
            if (times[last] - times.front() > Milliseconds(3000))
                most = std::max(most, last - first + 1);
        }
        return most;
    }

    std::vector<SidecarHost *> entries;
    SidecarHost *limited = nullptr;
    SidecarHost *other = nullptr;
    std::size_t sent = 0;
    std::size_t ended = 0;
    std::map<int, std::size_t> statuses;
    /// More calls than one server can run.
    static constexpr Milliseconds callInterval{7};
};

BOOST_FIXTURE_TEST_SUITE(server_notices, NoticeFleet)

// LIMIT: every host sent a server that had named its limit as many calls as before.
BOOST_AUTO_TEST_CASE(serverGetsNoMoreCallsThanItsLimitFromAllHosts)
{
    limited->server->limit = "10.5";
    sendCalls(callInterval, Milliseconds(4000));
    // The node beside the server forgets the limit.
    limited->sidecar.reset();
    loop.runFor(Milliseconds(50));
    startSidecar(*limited);
    announce(*limited);
    sendCalls(callInterval, Milliseconds(4000));
    BOOST_TEST(static_cast<double>(mostCallsInFourSeconds(*limited->server)) <= 10.5 * 4 * 1.5 + 5);
    // What the other server has no room for is refused.
    BOOST_TEST(statuses[200] + statuses[503] == sent);
    BOOST_TEST(limited->server->runs.size() > 40U);
    BOOST_TEST(!other->server->runs.empty());
}

BOOST_AUTO_TEST_CASE(limitEndsWithTheFirstResponseWithoutIt)
{
    limited->server->limit = "10.5";
    sendCalls(callInterval, Milliseconds(1000));
    BOOST_TEST(limitMetric() == 10'500);
    limited->server->limit.clear();
    waitUntil([&] {
        sendCalls(callInterval, Milliseconds(200));
        return limitMetric() == 0;
    });
}

BOOST_AUTO_TEST_CASE(limitReportedByACallersNodeHoldsUntilTheServerAnswers)
{
    HttpRequest request = hopRequestTo(*limited, "told-0", false, runOf(*limited));
    HopRequest hop = *decodeHopRequest(request.headers[hopRequestHeader]);
    hop.knownLimit = CallRate(0.5);
    hop.mayHandBack = true;
    std::vector<Responder> held;
    limited->server->behaviour
            = [&](const HttpRequest &, const Responder &responder) { held.push_back(responder); };
    request.headers[hopRequestHeader] = encodeHopRequest(hop);
    client.send(limited->settings.inbound, request, Milliseconds(4000),
                [](const Result<HttpResponse> &) {});
    waitUntil([&] { return held.size() == 1; });
    request.headers["Cornelhead-Request-Id"] = "told-1";
    const HttpResponse second = call(limited->settings.inbound, request);
    const auto refusal = decodeHopResponse(second.headers.at(hopResponseHeader));
    BOOST_REQUIRE(refusal);
    BOOST_TEST((refusal->result == HopResult::NotRun));
    BOOST_TEST((refusal->reason == HopReason::Busy));
    BOOST_TEST((refusal->report.notice.limit == CallRate(0.5)));
    // The server's own response names no limit.
    held.front().send(limited->server->answerTo(limited->server->runs.front()));
    limited->server->behaviour = nullptr;
    request.headers["Cornelhead-Request-Id"] = "told-2";
    waitUntil([&] { return call(limited->settings.inbound, request).status == 200; });
}

// DRAIN: a server said that it leaves in its responses only, and got calls all the while.
BOOST_AUTO_TEST_CASE(serverThatLeavesAccordingToItsResponsesGetsNoFurtherCalls)
{
    limited->server->isLeaving = true;
    sendCalls(callInterval, Milliseconds(1000));
    BOOST_REQUIRE(!limited->server->runs.empty());
    limited->server->runs.clear();
    announce(*limited);
    sendCalls(callInterval, Milliseconds(1000));
    BOOST_TEST(limited->server->runs.empty());
    BOOST_TEST(statuses[200] + statuses[503] == sent);
}

// The restarted node hears from heartbeats only, which say that the server is ready.
BOOST_AUTO_TEST_CASE(serverThatLeavesGetsNoCallsThroughItsRestartedNode)
{
    limited->server->isLeaving = true;
    const auto entryHeard = [&] {
        sendCalls(callInterval, Milliseconds(200));
        return !limited->server->runs.empty();
    };
    entries = {entries.front()};
    waitUntil(entryHeard);
    limited->sidecar.reset();
    store.erase("cornelhead/hosts/" + limited->settings.inbound.toString());
    loop.runFor(Milliseconds(3500));
    startSidecar(*limited);
    announce(*limited);
    settle();
    limited->server->runs.clear();
    sendCalls(callInterval, Milliseconds(1000));
    BOOST_TEST(limited->server->runs.empty());
    // A new run under the same id is another server.
    limited->server->isLeaving = false;
    announce(*limited, "v1", "ready", 2);
    loop.runFor(Milliseconds(2000));
    sendCalls(callInterval, Milliseconds(1000));
    BOOST_TEST(!limited->server->runs.empty());
}

BOOST_AUTO_TEST_CASE(malformedLimitIsIgnored)
{
    limited->server->limit = "10 or so";
    sendCalls(callInterval, Milliseconds(1000));
    BOOST_TEST(statuses[200] + statuses[503] == sent);
    BOOST_TEST(limitMetric() == 0);
    BOOST_TEST(!limited->server->runs.empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace cornelhead
