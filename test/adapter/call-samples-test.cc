// Tests which calls count as samples of a server's speed: the chance must not depend on the speed.
#include "adapter/sidecar-fleet.h"

namespace cornelhead {

struct SamplesFixture : SidecarFleet
{
    SidecarHost *host = nullptr;

    SamplesFixture()
    {
        configure("00000005", usersRoute("look", "/look/", "idempotent", "bookings"));
        host = &add("bookings", "b1");
        settle();
    }
    void startCall(const char *deadlineMs = "1500")
    {
        HttpRequest request = requestTo("/look/1");
        request.headers["Cornelhead-Deadline-Ms"] = deadlineMs;
        ++started;
        client.send(host->settings.outbound, request, Milliseconds(4000),
                    [this](const Result<HttpResponse> &) { ++ended; });
    }
    /// Announces the server as warm every 150 ms until all calls have ended.
    void announceUntilCallsEnd()
    {
        waitUntil([this] {
            BOOST_TEST(announce(*host) == 200);
            loop.runFor(Milliseconds(150));
            return ended == started;
        });
    }
    ServerCounters counters()
    {
        const HttpResponse response
                = call(host->settings.inbound,
                       HttpRequest{HttpMethod::Get, "/cornelhead/report", {}, {}, {}});
        const auto report = decodeHopResponse(response.body);
        BOOST_REQUIRE(report);
        return report->report.counters;
    }

    int started = 0;
    int ended = 0;
};

BOOST_FIXTURE_TEST_SUITE(call_samples, SamplesFixture)

// EXPOSURE: calls in flight across a heartbeat were left out, so that a slow version looked fast.
BOOST_AUTO_TEST_CASE(slowCallsOfAWarmServerCount)
{
    host->server->work = Milliseconds(700);
    for (int i = 0; i < 2; ++i)
        startCall();
    announceUntilCallsEnd();
    const ServerCounters sums = counters();
    BOOST_TEST(sums.answers == 2U);
    BOOST_TEST(sums.timed == 2U);
    BOOST_TEST(sums.late == 2U);
    BOOST_TEST(sums.cold == 0U);
}

// The call ends long after the warm-up, and its node hears so while it runs.
BOOST_AUTO_TEST_CASE(callSentToAColdServerDoesNotCount)
{
    BOOST_TEST(announce(*host, "v1", "ready", 2, 200) == 200);
    host->server->work = Milliseconds(700);
    startCall();
    loop.runFor(Milliseconds(250));
    BOOST_TEST(announce(*host, "v1", "ready", 2) == 200);
    startCall();
    waitUntil([this] { return ended == started; });
    const ServerCounters sums = counters();
    BOOST_TEST(sums.cold == 1U);
    BOOST_TEST(sums.timed == 1U);
}

// Of a slow version these are the calls that show it.
BOOST_AUTO_TEST_CASE(callsThatEndWithoutAnAnswerAfterTheirObjectiveCountAsLate)
{
    std::vector<Responder> unanswered;
    host->server->behaviour = [&](const HttpRequest &, const Responder &responder) {
        unanswered.push_back(responder);
    };
    startCall("700");
    startCall("700");
    waitUntil([this] { return ended == started; });
    waitUntil([this] { return counters().cutOff == 2; });
    const ServerCounters sums = counters();
    BOOST_TEST(sums.answers == 0U);
    BOOST_TEST(sums.timed == 2U);
    BOOST_TEST(sums.late == 2U);
}

BOOST_AUTO_TEST_CASE(failureAfterTheObjectiveCountsAsLate)
{
    std::vector<Timer> delays;
    host->server->behaviour = [&](const HttpRequest &request, const Responder &responder) {
        HttpResponse response = host->server->answerTo(request);
        response.status = 504;
        delays.push_back(loop.after(Milliseconds(600), [=] { responder.send(response); }));
    };
    startCall();
    waitUntil([this] { return ended == started; });
    const ServerCounters sums = counters();
    BOOST_TEST(sums.failures == 1U);
    BOOST_TEST(sums.timed == 1U);
    BOOST_TEST(sums.late == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace cornelhead
