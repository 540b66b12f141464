// Tests whole sidecars on loopback: calls through two nodes, and failures on their path.
#include "adapter/sidecar-fleet.h"

namespace cornelhead {

const std::string bookRoute = usersRoute("book", "/book/", "non_idempotent", "bookings");
const std::string lookRoute = usersRoute("look", "/look/", "idempotent", "bookings");

struct PathFixture : SidecarFleet
{
    SidecarHost *entry = nullptr;

    PathFixture()
    {
        configure("00000005", bookRoute + "," + lookRoute);
        entry = &add("catalogue", "c1");
        add("bookings", "b1");
        add("bookings", "b2");
        settle();
    }
    HttpResponse get(const std::string &path)
    {
        return call(entry->settings.outbound, requestTo(path));
    }
    HttpResponse post(const std::string &path)
    {
        return call(entry->settings.outbound, requestTo(path, HttpMethod::Post, "seat=4"));
    }
    /// Responds as a server whose version fails every call.
    static void failCall(const HttpRequest &request, const Responder &responder)
    {
        responder.send(HttpResponse{
                500,
                {{"Cornelhead-Request-Id", FakeServer::header(request, "Cornelhead-Request-Id")},
                 {"Cornelhead-Server-Seal", "seal"}},
                {}});
    }
    void setBehaviour(std::function<void(const HttpRequest &, const Responder &)> behaviour)
    {
        for (SidecarHost &host : hosts)
            host.server->behaviour = behaviour;
    }
};

BOOST_FIXTURE_TEST_SUITE(sidecar_path, PathFixture)

BOOST_AUTO_TEST_CASE(callIsForwardedWithoutHeadersOfTheNodes)
{
    HttpRequest request = requestTo("/book/4", HttpMethod::Post, "seat=4");
    request.headers["Cornelhead-Caller-Service"] = "forged";
    request.headers["Cornelhead-Expect-Instance"] = "forged";
    request.headers["X-Other"] = "kept";
    const HttpResponse response = call(entry->settings.outbound, request);
    BOOST_TEST(response.status == 200);
    BOOST_TEST(response.headers.contains("Cornelhead-Server-Seal"));
    BOOST_TEST(!response.headers.contains(hopResponseHeader));
    BOOST_REQUIRE(runs() == 1U);
    for (const SidecarHost &host : hosts) {
        if (host.server->runs.empty())
            continue;
        const HttpRequest &run = host.server->runs.front();
        BOOST_TEST(response.body == "ran at " + host.server->id);
        BOOST_TEST(run.path == "/book/4");
        BOOST_TEST(run.body == "seat=4");
        BOOST_TEST(FakeServer::header(run, "Cornelhead-Caller-Service") == "catalogue");
        BOOST_TEST(FakeServer::header(run, "X-Other") == "kept");
        BOOST_TEST(FakeServer::header(run, "Host") == "site.example");
        BOOST_TEST(!run.headers.contains(hopRequestHeader));
        const int left = std::stoi(FakeServer::header(run, "Cornelhead-Deadline-Ms"));
        BOOST_TEST(left > 0);
        BOOST_TEST(left <= 1500);
    }
}

BOOST_AUTO_TEST_CASE(unknownRouteIsNotFoundAndNothingRuns)
{
    BOOST_TEST(get("/nowhere/1").status == 404);
    HttpRequest other = requestTo("/book/1");
    other.headers["Host"] = "elsewhere.example";
    BOOST_TEST(call(entry->settings.outbound, other).status == 404);
    BOOST_TEST(runs() == 0U);
}

BOOST_AUTO_TEST_CASE(brokenCallThatMayHaveRunIsNotRetried)
{
    setBehaviour(
            [](const HttpRequest &, const Responder &responder) { responder.closeConnection(); });
    const HttpResponse response = post("/book/1");
    BOOST_TEST(response.status == 502);
    BOOST_TEST(runs() == 1U);
}

BOOST_AUTO_TEST_CASE(brokenIdempotentCallIsRetriedOnAnotherServer)
{
    // Whichever server is called first breaks the connection.
    setBehaviour([this](const HttpRequest &request, const Responder &responder) {
        if (runs() == 1)
            responder.closeConnection();
        else
            responder.send(hosts[1].server->answerTo(request));
    });
    for (int i = 0; i < 6; ++i)
        BOOST_TEST(get("/look/1").status == 200);
    BOOST_TEST(runs() == 7U);
    BOOST_TEST(!hosts[1].server->runs.empty());
    BOOST_TEST(!hosts[2].server->runs.empty());
}

BOOST_AUTO_TEST_CASE(responseToAnotherRequestIsNotForwarded)
{
    setBehaviour([this](const HttpRequest &request, const Responder &responder) {
        HttpResponse response = hosts[1].server->answerTo(request);
        response.headers["Cornelhead-Request-Id"] = "another";
        responder.send(response);
    });
    BOOST_TEST(post("/book/1").status == 502);
    BOOST_TEST(get("/look/1").status >= 500);
}

BOOST_AUTO_TEST_CASE(responseWithoutSignatureIsNotForwarded)
{
    setBehaviour([](const HttpRequest &, const Responder &responder) {
        responder.send(HttpResponse{200, {}, "made up"});
    });
    BOOST_TEST(post("/book/1").status == 502);
}

BOOST_AUTO_TEST_CASE(refusalByTheServerIsReportedToTheCaller)
{
    setBehaviour([](const HttpRequest &, const Responder &responder) {
        responder.send(HttpResponse{503, {{"Cornelhead-Not-Executed", "1"}}, {}});
    });
    const HttpResponse response = post("/book/1");
    BOOST_TEST(response.status == 503);
    BOOST_TEST(response.headers.contains("Retry-After"));
    BOOST_TEST(runs() <= 2U);
}

BOOST_AUTO_TEST_CASE(drainingServerGetsNoCallsOnceAcknowledged)
{
    BOOST_TEST(announce(hosts[1], "v1", "draining") == 200);
    const std::size_t before = hosts[1].server->runs.size();
    for (int i = 0; i < 10; ++i)
        BOOST_TEST(get("/look/1").status == 200);
    BOOST_TEST(hosts[1].server->runs.size() == before);
}

BOOST_AUTO_TEST_CASE(anotherServerAtTheSameAddressGetsNoCalls)
{
    hosts[1].server->id = "b9";
    hosts[2].server->id = "b8";
    BOOST_TEST(post("/book/1").status == 503);
    BOOST_TEST(runs() == 0U);
}

BOOST_AUTO_TEST_CASE(slowServerDoesNotGetAllCalls)
{
    std::vector<Responder> held;
    hosts[1].server->behaviour
            = [&](const HttpRequest &, const Responder &responder) { held.push_back(responder); };
    int served = 0;
    for (int i = 0; i < 12; ++i)
        served += get("/look/1").status == 200 ? 1 : 0;
    BOOST_TEST(served >= 9);
    BOOST_TEST(held.size() <= 3U);
}

BOOST_AUTO_TEST_CASE(callerDisconnectCancelsAnIdempotentCallAtTheServer)
{
    std::optional<Responder> held;
    setBehaviour([&](const HttpRequest &, const Responder &responder) { held = responder; });
    {
        HttpClient leaving(loop);
        leaving.send(entry->settings.outbound, requestTo("/look/1"), Milliseconds(100),
                     [](const Result<HttpResponse> &) {});
        waitUntil([&] { return held.has_value(); });
        loop.runFor(Milliseconds(150));
    }
    waitUntil([&] { return held->isDisconnected(); });
}

BOOST_AUTO_TEST_CASE(deadHostsAreSkipped)
{
    hosts[1].sidecar.reset();
    for (int i = 0; i < 10; ++i)
        BOOST_TEST(get("/look/1").status == 200);
    BOOST_TEST(post("/book/1").status == 200);
}

BOOST_AUTO_TEST_CASE(callsAreServedWhileTheStoreIsUnreachable)
{
    store.refuseWith = 503;
    loop.runFor(Milliseconds(2000));
    BOOST_TEST(get("/look/1").status == 200);
    BOOST_TEST(isReady(*entry));
    store.refuseWith.reset();
    configure("00000009", bookRoute);
    waitUntil([&] { return get("/look/1").status == 404; });
}

// A node that cannot reach the store queries another twice a second; a configuration may be large.
BOOST_AUTO_TEST_CASE(stateForAnotherNodeHoldsTheConfigurationOnlyIfItIsNewer)
{
    const auto stateFor = [this](const std::string &query) {
        return call(entry->settings.inbound,
                    HttpRequest{HttpMethod::Get, "/cornelhead/state" + query, {}, {}, {}})
                .body;
    };
    BOOST_TEST(stateFor("?5").find(R"("configuration":"")") != std::string::npos);
    for (const char *query : {"?4", "?0", "", "?x"})
        BOOST_TEST(stateFor(query).find("00000005") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(malformedAnswersOfTheStoreAreIgnored)
{
    store.sendsMalformedAnswers = true;
    store.erase("cornelhead/hosts/" + hosts[1].settings.inbound.toString());
    loop.runFor(Milliseconds(1500));
    BOOST_TEST(get("/look/1").status == 200);
    store.sendsMalformedAnswers = false;
    waitUntil([&] {
        return store.read("cornelhead/hosts/" + hosts[1].settings.inbound.toString()).has_value();
    });
}

BOOST_AUTO_TEST_CASE(olderOrMalformedConfigurationIsIgnored)
{
    configure("00000004", bookRoute);
    loop.runFor(Milliseconds(1500));
    BOOST_TEST(get("/look/1").status == 200);
    store.write("op/config", "{\"version\":\"00000010\",\"routes\":");
    loop.runFor(Milliseconds(1500));
    BOOST_TEST(get("/look/1").status == 200);
}

BOOST_AUTO_TEST_CASE(removedOrOverwrittenHostEntryIsPublishedAgain)
{
    const std::string key = "cornelhead/hosts/" + hosts[1].settings.inbound.toString();
    store.erase(key);
    waitUntil([&] { return store.read(key).has_value(); });
    store.write(key, "bytes of another writer");
    waitUntil([&] { return store.read(key)->find("b1") != std::string::npos; });
}

BOOST_AUTO_TEST_CASE(hostEntryIsPublishedThoughWriteResponsesAreLost)
{
    store.dropsWriteAnswers = true;
    announce(hosts[1], "v1", "draining");
    const std::string key = "cornelhead/hosts/" + hosts[1].settings.inbound.toString();
    waitUntil([&] { return store.read(key)->find("draining") != std::string::npos; });
    store.dropsWriteAnswers = false;
}

BOOST_AUTO_TEST_CASE(restartedNodeAdoptsItsServer)
{
    SidecarHost &host = hosts[1];
    host.sidecar.reset();
    // Lets the test's idle connections to the sidecar close.
    loop.runFor(Milliseconds(50));
    startSidecar(host);
    // No other server may take the call.
    hosts[2].sidecar.reset();
    loop.runFor(Milliseconds(50));
    waitUntil([&] {
        return isReady(host)
                && call(host.settings.outbound, requestTo("/look/1")).body == "ran at b1";
    });
}

BOOST_AUTO_TEST_CASE(stoppingNodeFinishesTheCallsItAccepted)
{
    std::optional<Responder> held;
    std::optional<HttpRequest> heldRequest;
    for (std::size_t i : {1U, 2U}) {
        hosts[i].server->behaviour = [&](const HttpRequest &request, const Responder &responder) {
            if (held) {
                responder.send(hosts[1].server->answerTo(request));
                return;
            }
            held = responder;
            heldRequest = request;
        };
    }
    std::optional<Result<HttpResponse>> response;
    client.send(entry->settings.outbound, requestTo("/book/1", HttpMethod::Post),
                Milliseconds(5000), [&](Result<HttpResponse> result) { response = result; });
    waitUntil([&] { return held.has_value(); });
    bool isStopped = false;
    entry->sidecar->stop([&] { isStopped = true; });
    BOOST_TEST(!isReady(*entry));
    BOOST_TEST(get("/look/1").headers.at("Connection") == "close");
    held->send(hosts[1].server->answerTo(*heldRequest));
    waitUntil([&] { return response.has_value(); });
    BOOST_TEST((*response)->status == 200);
    waitUntil([&] { return isStopped; });
}

// LOST: calls that a stopping node took late were cut off when it ended.
BOOST_AUTO_TEST_CASE(everyCallThatAStoppingNodeTakesIsAnswered)
{
    std::vector<Timer> delays;
    setBehaviour([&](const HttpRequest &request, const Responder &responder) {
        // Like the users' servers, this one gives up at the deadline that it receives.
        const std::string deadline = FakeServer::header(request, "Cornelhead-Deadline-Ms");
        const Milliseconds time = std::min(Milliseconds(1800), Milliseconds(std::stoi(deadline)));
        HttpResponse response = hosts[1].server->answerTo(request);
        response.status = time < Milliseconds(1800) ? 504 : 200;
        delays.push_back(loop.after(time, [=] { responder.send(response); }));
    });
    entry->sidecar->stop([this] { entry->sidecar.reset(); });
    int lost = 0;
    std::map<int, int> ended;
    while (entry->sidecar) {
        for (const char *path : {"/book/1", "/look/1"}) {
            HttpRequest request = requestTo(
                    path, path == std::string("/book/1") ? HttpMethod::Post : HttpMethod::Get);
            request.headers["Cornelhead-Deadline-Ms"] = "2000";
            client.send(entry->settings.outbound, request, Milliseconds(5000),
                        [&](const Result<HttpResponse> &response) {
                            if (response)
                                ++ended[response->status];
                            else
                                lost += response.error().kind == ErrorKind::Unknown ? 1 : 0;
                        });
        }
        loop.runFor(Milliseconds(590));
    }
    loop.runFor(Milliseconds(100));
    BOOST_TEST(lost == 0);
    // Of its own the node answers only what it has not taken.
    BOOST_TEST(ended[502] == 0);
    BOOST_TEST(ended[200] > 0);
    BOOST_TEST(ended[503] > 0);
}

// A call that may have run is resumed at its dead host until the caller's deadline.
// Otherwise other nodes poll and call a host that may be gone until its lease expires.
BOOST_AUTO_TEST_CASE(stoppedNodeWhoseServerLeftIsNoLongerListed)
{
    SidecarHost &host = hosts[2];
    BOOST_TEST(call(host.settings.control,
                    HttpRequest{HttpMethod::Delete, "/instances/" + host.server->id, {}, {}, {}})
                       .status
               == 200);
    bool isStopped = false;
    host.sidecar->stop([&] { isStopped = true; });
    waitUntil([&] { return isStopped; });
    BOOST_TEST(!store.read("cornelhead/hosts/" + host.settings.inbound.toString()).has_value());
    BOOST_TEST(store.read("cornelhead/hosts/" + hosts[1].settings.inbound.toString()).has_value());
}

BOOST_AUTO_TEST_CASE(callsAtADeadHostEndAtTheirDeadlines)
{
    std::vector<Responder> held;
    setBehaviour(
            [&](const HttpRequest &, const Responder &responder) { held.push_back(responder); });
    std::size_t answers = 0;
    std::size_t calls = 0;
    for (int deadline = 560; deadline < 1000; deadline += 4, ++calls) {
        HttpRequest request = requestTo("/book/1", HttpMethod::Post);
        request.headers["Cornelhead-Deadline-Ms"] = std::to_string(deadline);
        client.send(entry->settings.outbound, request, Milliseconds(5000),
                    [&](const Result<HttpResponse> &response) {
                        ++answers;
                        BOOST_TEST(response.has_value());
                    });
    }
    waitUntil([this] { return runs() >= 4; });
    hosts[1].sidecar.reset();
    hosts[2].sidecar.reset();
    waitUntil([&] { return answers == calls; });
}

BOOST_AUTO_TEST_CASE(metricsCountAnsweredAndRefusedCalls)
{
    get("/look/1");
    get("/nowhere/1");
    const std::string metrics = metricsOf(*entry);
    BOOST_TEST(metrics.find("cornelhead_entry_answers_total 1") != std::string::npos);
    BOOST_TEST(metrics.find(R"(cornelhead_entry_refusals_total{reason="no-route"} 1)")
               != std::string::npos);
    BOOST_TEST(metrics.find("cornelhead_entry_duration_us") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(moveToAGoodVersionCompletes)
{
    SidecarHost &newer = add("bookings", "b3", "akl-a", "v2");
    store.write("op/rollout/bookings",
                R"({"service":"bookings","target-version":"v2","ramp":"12s"})");
    waitUntil([&] {
        (void)get("/look/1");
        const auto status = store.read("status/rollout/bookings");
        return status && status->find("complete") != std::string::npos;
    });
    const std::size_t before = newer.server->runs.size();
    BOOST_TEST(get("/look/1").body == "ran at b3");
    BOOST_TEST(newer.server->runs.size() == before + 1);
}

BOOST_AUTO_TEST_CASE(badVersionIsRolledBackAndGetsNoMoreCalls)
{
    SidecarHost &newer = add("bookings", "b3", "akl-a", "v2");
    newer.server->behaviour = failCall;
    store.write("op/rollout/bookings",
                R"({"service":"bookings","target-version":"v2","ramp":"12s"})");
    waitUntil([&] {
        (void)get("/look/1");
        const auto status = store.read("status/rollout/bookings");
        return status && status->find("reverted") != std::string::npos;
    });
    const std::size_t before = newer.server->runs.size();
    BOOST_TEST(before <= 50U);
    for (int i = 0; i < 30; ++i)
        (void)get("/look/1");
    BOOST_TEST(newer.server->runs.size() == before);
}

// In a large fleet the node that steps a move receives hardly any response of the new version.
BOOST_AUTO_TEST_CASE(badVersionIsRolledBackThoughOnlyUnlistedNodesCalledIt)
{
    SidecarHost &newer = add("bookings", "b3", "akl-a", "v2");
    settle();
    newer.server->behaviour = failCall;
    store.write("op/rollout/bookings",
                R"({"service":"bookings","target-version":"v2","ramp":"60s"})");
    const NodeId oldRun = runOf(hosts[1]);
    const NodeId newRun = runOf(newer);
    int calls = 0;
    waitUntil([&] {
        const std::string id = "far" + std::to_string(++calls);
        (void)call(hosts[1].settings.inbound, hopRequestTo(hosts[1], id + "old", false, oldRun));
        (void)call(newer.settings.inbound, hopRequestTo(newer, id, false, newRun));
        const auto status = store.read("status/rollout/bookings");
        return status && status->find("reverted") != std::string::npos;
    });
}

BOOST_AUTO_TEST_SUITE_END()

/// Sends calls to the inbound proxy of one node as another node would.
struct ResumeFixture : SidecarFleet
{
    std::vector<std::pair<HttpRequest, Responder>> held;
    SidecarHost *host = nullptr;
    NodeId run;

    ResumeFixture()
    {
        configure("00000005", bookRoute);
        host = &add("bookings", "b1");
        settle();
        host->server->behaviour = [this](const HttpRequest &request, const Responder &responder) {
            held.emplace_back(request, responder);
        };
        run = runOf(*host);
    }
    HttpRequest hopRequest(const std::string &id, bool isResumed, const NodeId &toRun)
    {
        return hopRequestTo(*host, id, isResumed, toRun);
    }
    /// Replaces the objectives in the header between nodes.
    static void setObjectives(HttpRequest &request, Milliseconds objective, Milliseconds left)
    {
        HopRequest hop = decodeHopRequest(request.headers.at(hopRequestHeader)).value();
        hop.objective = objective;
        hop.objectiveLeft = left;
        request.headers[hopRequestHeader] = encodeHopRequest(hop);
    }
    static HopResponse hopResponseOf(const HttpResponse &response)
    {
        return decodeHopResponse(response.headers.at(hopResponseHeader)).value();
    }
    /// Sends a call and breaks its connection once `hasArrived` returns true.
    void sendAndBreak(const std::string &id, const std::function<bool()> &hasArrived)
    {
        HttpClient breaking(loop);
        breaking.send(host->settings.inbound, hopRequest(id, false, run), Milliseconds(5000),
                      [](const Result<HttpResponse> &) {});
        waitUntil(hasArrived);
    }
};

BOOST_FIXTURE_TEST_SUITE(sidecar_resume, ResumeFixture)

BOOST_AUTO_TEST_CASE(runningCallIsResumedWithoutASecondRun)
{
    sendAndBreak("one", [this] { return held.size() == 1; });
    std::optional<Result<HttpResponse>> response;
    client.send(host->settings.inbound, hopRequest("one", true, run), Milliseconds(5000),
                [&](Result<HttpResponse> result) { response = result; });
    loop.runFor(Milliseconds(200));
    BOOST_TEST(held.size() == 1U);
    held[0].second.send(host->server->answerTo(held[0].first));
    waitUntil([&] { return response.has_value(); });
    BOOST_TEST((*response)->status == 200);
    BOOST_TEST((hopResponseOf(**response).result == HopResult::Answered));
    BOOST_TEST(host->server->runs.size() == 1U);
}

BOOST_AUTO_TEST_CASE(responseMadeWhileDisconnectedIsDelivered)
{
    sendAndBreak("one", [this] { return held.size() == 1; });
    loop.runFor(Milliseconds(100));
    held[0].second.send(host->server->answerTo(held[0].first));
    loop.runFor(Milliseconds(200));
    const HttpResponse response = call(host->settings.inbound, hopRequest("one", true, run));
    BOOST_TEST(response.status == 200);
    BOOST_TEST(response.body == "ran at b1");
    BOOST_TEST(response.headers.contains("Cornelhead-Server-Seal"));
    BOOST_TEST(host->server->runs.size() == 1U);
}

BOOST_AUTO_TEST_CASE(callCancelledWhileWaitingNeverRuns)
{
    // Three calls take both slots and the spare place, so the fourth call waits.
    for (const char *id : {"a", "b", "c"}) {
        client.send(host->settings.inbound, hopRequest(id, false, run), Milliseconds(8000),
                    [](const Result<HttpResponse> &) {});
    }
    waitUntil([this] { return held.size() == 3; });
    {
        HttpClient breaking(loop);
        breaking.send(host->settings.inbound, hopRequest("four", false, run), Milliseconds(5000),
                      [](const Result<HttpResponse> &) {});
        loop.runFor(Milliseconds(100));
    }
    loop.runFor(Milliseconds(100));
    const HttpResponse response = call(host->settings.inbound, hopRequest("four", true, run));
    BOOST_TEST((hopResponseOf(response).result == HopResult::NotRun));
    BOOST_TEST((hopResponseOf(response).reason == HopReason::Cancelled));
    for (auto &[request, responder] : held)
        responder.send(host->server->answerTo(request));
    loop.runFor(Milliseconds(300));
    BOOST_TEST(host->server->runs.size() == 3U);
}

BOOST_AUTO_TEST_CASE(outcomeIsUnknownAfterTheNodeRestarted)
{
    const HttpResponse response
            = call(host->settings.inbound, hopRequest("one", true, NodeId("earlier")));
    BOOST_TEST((hopResponseOf(response).result == HopResult::Unknown));
    BOOST_TEST((hopResponseOf(response).reason == HopReason::NodeRestarted));
    BOOST_TEST(host->server->runs.empty());
}

// The caller's node may send the call to another host after this refusal, so it must stay true.
BOOST_AUTO_TEST_CASE(callThatArrivesAfterItsResumeNeverRuns)
{
    for (const bool isResumed : {true, false, true}) {
        const HttpResponse response
                = call(host->settings.inbound, hopRequest("one", isResumed, run));
        BOOST_TEST((hopResponseOf(response).result == HopResult::NotRun));
        BOOST_TEST((hopResponseOf(response).reason == HopReason::NeverArrived));
    }
    BOOST_TEST(host->server->runs.empty());
}

// In every turn of the loop some refused call ends, as callers return at once.
BOOST_AUTO_TEST_CASE(waitingCallStartsInAFloodOfRefusals)
{
    for (const char *id : {"a", "b", "c", "d"}) {
        HttpRequest request = hopRequest(id, false, run);
        // Otherwise the waiting call expires on a busy machine.
        setObjectives(request, Milliseconds(500), Milliseconds(60'000));
        request.headers["Cornelhead-Deadline-Ms"] = "60000";
        client.send(host->settings.inbound, request, Milliseconds(60'000),
                    [](const Result<HttpResponse> &) {});
    }
    waitUntil([this] { return held.size() == 3; });
    bool isFlooding = true;
    int sent = 0;
    std::function<void()> refuseNext = [&] {
        HttpRequest request = hopRequest("f" + std::to_string(++sent), false, run);
        setObjectives(request, Milliseconds(0), Milliseconds(0));
        client.send(host->settings.inbound, request, Milliseconds(8000),
                    [&](const Result<HttpResponse> &) {
                        if (isFlooding)
                            refuseNext();
                    });
    };
    for (int i = 0; i < 400; ++i)
        refuseNext();
    loop.runFor(Milliseconds(100));
    for (int i = 0; i < 3; ++i)
        held[i].second.send(host->server->answerTo(held[i].first));
    const auto hasWaitingCallStarted = [this] {
        return std::any_of(held.begin(), held.end(), [](const auto &call) {
            return FakeServer::header(call.first, "Cornelhead-Request-Id") == "d";
        });
    };
    constexpr int maxRefusals = 2000;
    const int sentBefore = sent;
    while (sent < sentBefore + maxRefusals && !hasWaitingCallStarted())
        loop.runFor(Milliseconds(10));
    BOOST_TEST(hasWaitingCallStarted());
    isFlooding = false;
    loop.runFor(Milliseconds(200));
}

// The call is handed back only if the caller's node asks for it, and runs elsewhere.
BOOST_AUTO_TEST_CASE(busyHostHandsACallBack)
{
    for (const char *id : {"a", "b", "c"}) {
        client.send(host->settings.inbound, hopRequest(id, false, run), Milliseconds(8000),
                    [](const Result<HttpResponse> &) {});
    }
    waitUntil([this] { return held.size() == 3; });
    HttpRequest request = hopRequest("four", false, run);
    HopRequest hop = decodeHopRequest(request.headers.at(hopRequestHeader)).value();
    hop.mayHandBack = true;
    request.headers[hopRequestHeader] = encodeHopRequest(hop);
    const HttpResponse response = call(host->settings.inbound, request);
    BOOST_TEST((hopResponseOf(response).result == HopResult::NotRun));
    BOOST_TEST((hopResponseOf(response).reason == HopReason::Busy));
    BOOST_TEST(hopResponseOf(response).report.running == 3U);
    for (auto &[held, responder] : held)
        responder.send(host->server->answerTo(held));
    loop.runFor(Milliseconds(300));
    BOOST_TEST(host->server->runs.size() == 3U);
}

BOOST_AUTO_TEST_CASE(malformedHopHeadersAreRefused)
{
    HttpRequest request = hopRequest("one", false, run);
    for (const char *bad : {"1", "2 a b", "1 a b c d x 0 0 5 5 r", "1 a  b c d 1 0 0 5 5 r"}) {
        request.headers[hopRequestHeader] = bad;
        const HttpResponse response = call(host->settings.inbound, request);
        BOOST_TEST((hopResponseOf(response).reason == HopReason::BadMessage));
    }
    BOOST_TEST(host->server->runs.empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace cornelhead
