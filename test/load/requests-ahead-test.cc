// Tests callers that send requests ahead on one connection.
#include "adapter/raw-caller.h"
#include "adapter/sidecar-fleet.h"

namespace cornelhead {

struct RequestsAheadFleet : SidecarFleet
{
    SidecarHost *host = nullptr;
    std::size_t running = 0;
    std::size_t mostRunning = 0;
    std::vector<std::string> startedPaths;
    std::vector<Timer> responses;

    /// Starts a node that runs up to `requestsAhead` requests of a connection; its server takes as
    /// many tens of milliseconds as the number that ends the path says.
    explicit RequestsAheadFleet(std::uint64_t requestsAhead = 4)
    {
        configure("00000005",
                  usersRoute("look", "/look/", "idempotent", "bookings") + ","
                          + usersRoute("book", "/book/", "non_idempotent", "bookings"));
        host = &add("bookings", "b1");
        settle();
        restart(requestsAhead);
        host->server->behaviour = [this](const HttpRequest &request, const Responder &responder) {
            startedPaths.push_back(request.path);
            mostRunning = std::max(mostRunning, ++running);
            const int tens = std::stoi(request.path.substr(request.path.rfind('/') + 1));
            responses.push_back(loop.after(Milliseconds(10 * tens), [this, request, responder] {
                --running;
                responder.send(host->server->answerTo(request));
            }));
        };
    }

    void restart(std::uint64_t requestsAhead)
    {
        host->sidecar.reset();
        loop.runFor(Milliseconds(50));
        host->settings.requestsAhead = requestsAhead;
        host->sequence += 10;
        startSidecar(*host);
        // More slots than requests are ever running.
        const std::string body = R"({"address":"x","born":1,"server-info":{"service":"bookings",)"
                                 R"("version":"v1","zone":"akl-a","slots":20},"status":{"state":)"
                                 R"("ready","seq":)"
                + std::to_string(++host->sequence) + R"(,"cold-left":"0ms"}})";
        BOOST_TEST(call(host->settings.control,
                        HttpRequest{HttpMethod::Put, "/instances/b1", {}, {}, body})
                           .status
                   == 200);
        waitUntil([&] { return isReady(*host); });
        loop.runFor(Milliseconds(600));
    }
    static std::string get(int id, const std::string &path, const std::string &fields = {})
    {
        return "GET " + path + " HTTP/1.1\r\nHost: site.example\r\nCornelhead-Request-Id: n"
                + std::to_string(id) + "\r\nCornelhead-Deadline-Ms: 1500\r\n" + fields + "\r\n";
    }
    static std::string post(int id, const std::string &path)
    {
        return "POST" + get(id, path, "Content-Length: 4\r\n").substr(3) + "seat";
    }
    /// The status and the id of each response, in order.
    static std::vector<std::string> answersIn(const std::string &received)
    {
        std::vector<std::string> answers;
        const std::string idField = "\r\nCornelhead-Request-Id: ";
        for (std::size_t at = received.find("HTTP/1.1 "); at != std::string::npos;) {
            const std::size_t next = received.find("HTTP/1.1 ", at + 1);
            const std::string answer = received.substr(at, next - at);
            const std::size_t id = answer.find(idField);
            const std::size_t value = id + idField.size();
            answers.push_back(
                    answer.substr(9, 3)
                    + (id == std::string::npos
                               ? std::string()
                               : " " + answer.substr(value, answer.find('\r', value) - value)));
            at = next;
        }
        return answers;
    }
    void expectAnswers(const RawCaller &caller, const std::vector<std::string> &expected)
    {
        waitUntil([&] {
            return caller.isClosed || answersIn(caller.received).size() >= expected.size();
        });
        loop.runFor(Milliseconds(50));
        BOOST_TEST(answersIn(caller.received) == expected, boost::test_tools::per_element());
    }
};

BOOST_FIXTURE_TEST_SUITE(requests_ahead, RequestsAheadFleet)

BOOST_AUTO_TEST_CASE(requestsRunSideBySideAndAreAnsweredInOrder)
{
    const RawCaller caller(loop, host->settings.outbound);
    caller.send(get(1, "/look/30") + get(2, "/look/1") + get(3, "/look/10"));
    expectAnswers(caller, {"200 n1", "200 n2", "200 n3"});
    BOOST_TEST(mostRunning == 3U);
    BOOST_TEST(!caller.isClosed);
    BOOST_TEST(metricsOf(*host).find("cornelhead_entry_requests_ahead_total 2")
               != std::string::npos);
}

BOOST_AUTO_TEST_CASE(requestThatChangesSomethingRunsAlone)
{
    const RawCaller caller(loop, host->settings.outbound);
    caller.send(get(1, "/look/20") + get(2, "/look/1") + post(3, "/book/10") + get(4, "/look/1")
                + post(5, "/book/1"));
    loop.runFor(Milliseconds(100));
    BOOST_TEST(startedPaths.size() == 2U);
    waitUntil([&] { return startedPaths.size() >= 3; });
    loop.runFor(Milliseconds(40));
    BOOST_TEST(startedPaths.size() == 3U);
    expectAnswers(caller, {"200 n1", "200 n2", "200 n3", "200 n4", "200 n5"});
}

BOOST_AUTO_TEST_CASE(noMoreRequestsRunThanTheLimit)
{
    const RawCaller caller(loop, host->settings.outbound);
    std::string bytes;
    std::vector<std::string> expected;
    for (int id = 1; id <= 12; ++id) {
        bytes += get(id, "/look/" + std::to_string(3 + id % 4));
        expected.push_back("200 n" + std::to_string(id));
    }
    caller.send(bytes);
    expectAnswers(caller, expected);
    BOOST_TEST(mostRunning == 4U);
}

BOOST_AUTO_TEST_CASE(withoutTheSettingRequestsRunOneByOne)
{
    restart(1);
    const RawCaller caller(loop, host->settings.outbound);
    caller.send(get(1, "/look/5") + get(2, "/look/1") + get(3, "/look/1"));
    expectAnswers(caller, {"200 n1", "200 n2", "200 n3"});
    BOOST_TEST(mostRunning == 1U);
}

// The node of the server would have taken what follows the slashes for an authority, refused it,
// and been asked again on new connections.
BOOST_AUTO_TEST_CASE(targetThatTheNextNodeCannotReadIsRefused)
{
    for (const char *target : {"//a:b", "//x{y}/z", "http://[:::]/look/1"}) {
        const RawCaller caller(loop, host->settings.outbound);
        caller.send(get(1, target));
        waitUntil([&] { return caller.received.size() > 12; });
        BOOST_TEST(caller.received.substr(0, 12) == "HTTP/1.1 400");
    }
    BOOST_TEST(startedPaths.empty());
}

// A reset is no close for the poll of a connection that is not read.
BOOST_AUTO_TEST_CASE(resetWithMuchUnreadEndsTheCallsAndNoLoopSpins)
{
    {
        const RawCaller caller(loop, host->settings.outbound);
        std::string bytes = get(1, "/look/100");
        for (int i = 2; i < 600; ++i)
            bytes += get(i, "/look/100");
        caller.send(bytes);
        waitUntil([&] { return running >= 4; });
        loop.runFor(Milliseconds(250));
        caller.resetAtEnd();
    }
    loop.runFor(Milliseconds(300));
    BOOST_TEST(startedPaths.size() == 4U);
    // The calls would run for a second; they ended as calls whose caller left.
    BOOST_TEST(metricsOf(*host).find("cornelhead_entry_unanswered_total 4") != std::string::npos);
}

// UNASKED: what stands behind a malformed request may be a part of it.
BOOST_AUTO_TEST_CASE(requestBehindAMalformedOneIsNotRun)
{
    for (const char *fields :
         {"Content-Length: 0\r\nContent-Length: 4\r\n", "X\x01: 1\r\n", "X: 1\r\n 2\r\n",
          "Host: other.example\r\n", "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n"}) {
        BOOST_TEST_CONTEXT(fields)
        {
            startedPaths.clear();
            const RawCaller caller(loop, host->settings.outbound);
            caller.send(get(1, "/look/10") + get(2, "/look/1", fields) + get(3, "/look/2"));
            expectAnswers(caller, {"200 n1", "400"});
            waitUntil([&] { return caller.isClosed; });
            BOOST_TEST(startedPaths == std::vector<std::string>{"/look/10"},
                       boost::test_tools::per_element());
            BOOST_TEST(caller.received.find("Connection: close") != std::string::npos);
        }
    }
}

BOOST_AUTO_TEST_CASE(requestBehindTheLastOneOfAConnectionIsNotRun)
{
    const RawCaller caller(loop, host->settings.outbound);
    caller.send(get(1, "/look/10") + get(2, "/look/1", "Connection: close\r\n")
                + get(3, "/look/1"));
    expectAnswers(caller, {"200 n1", "200 n2"});
    waitUntil([&] { return caller.isClosed; });
    BOOST_TEST(startedPaths.size() == 2U);
}

BOOST_AUTO_TEST_CASE(closeByTheCallerEndsAllItsCalls)
{
    {
        const RawCaller caller(loop, host->settings.outbound);
        caller.send(get(1, "/look/30") + get(2, "/look/30") + post(3, "/book/1"));
        waitUntil([&] { return startedPaths.size() == 2; });
    }
    loop.runFor(Milliseconds(600));
    BOOST_TEST(startedPaths.size() == 2U);
    BOOST_TEST(metricsOf(*host).find("cornelhead_entry_requests_dropped_total 1")
               != std::string::npos);
    const RawCaller next(loop, host->settings.outbound);
    next.send(get(4, "/look/1"));
    expectAnswers(next, {"200 n4"});
}

// LOST: what runs when the process is told to stop is answered, and the last answer closes.
BOOST_AUTO_TEST_CASE(stoppingNodeAnswersWhatItHasReadAndCloses)
{
    const RawCaller busy(loop, host->settings.outbound);
    const RawCaller idle(loop, host->settings.outbound);
    busy.send(get(1, "/look/30") + get(2, "/look/5") + get(3, "/look/10"));
    waitUntil([&] { return startedPaths.size() == 3; });
    bool isStopped = false;
    host->sidecar->stop([&] { isStopped = true; });
    busy.send(get(4, "/look/1"));
    idle.send(get(5, "/look/1") + get(6, "/look/1"));
    expectAnswers(busy, {"200 n1", "200 n2", "200 n3"});
    const std::size_t close = busy.received.find("Connection: close");
    BOOST_TEST(close != std::string::npos);
    BOOST_TEST(close > busy.received.find("Cornelhead-Request-Id: n3"));
    expectAnswers(idle, {"200 n5"});
    waitUntil([&] { return busy.isClosed && idle.isClosed; });
    BOOST_TEST(startedPaths.size() == 4U);
    waitUntil([&] { return isStopped; });
}

BOOST_AUTO_TEST_CASE(nodeThatEndsClosesConnectionsWithCallsInFlight)
{
    const RawCaller caller(loop, host->settings.outbound);
    caller.send(get(1, "/look/30") + get(2, "/look/30") + get(3, "/look/30"));
    waitUntil([&] { return startedPaths.size() == 3; });
    host->sidecar.reset();
    waitUntil([&] { return caller.isClosed; });
    BOOST_TEST(caller.received.empty());
}

BOOST_AUTO_TEST_CASE(longRequestIsRefusedInItsTurn)
{
    const RawCaller caller(loop, host->settings.outbound);
    caller.send(get(1, "/look/10") + get(2, "/look/1", "Content-Length: 9000000\r\n")
                + std::string(100'000, 'x'));
    expectAnswers(caller, {"200 n1", "413"});
    waitUntil([&] { return caller.isClosed; });
}

// Memory: the part of a body that has arrived counts, and so do requests that wait.
BOOST_AUTO_TEST_CASE(connectionThatHoldsMostIsClosedBeyondTheBudget)
{
    const RawCaller caller(loop, host->settings.outbound);
    const RawCaller other(loop, host->settings.outbound);
    loop.buffers().setLimit(1'000'000);
    other.send(get(1, "/look/20"));
    caller.send(get(2, "/look/20") + get(3, "/look/20", "Content-Length: 4000000\r\n")
                + std::string(2'000'000, 'x'));
    waitUntil([&] { return caller.isClosed; });
    BOOST_TEST(caller.received.empty());
    expectAnswers(other, {"200 n1"});
}

BOOST_AUTO_TEST_CASE(responseToHeadHasNoBody)
{
    const RawCaller caller(loop, host->settings.outbound);
    caller.send("HEAD" + get(1, "/nowhere/1").substr(3) + get(2, "/nowhere/2"));
    expectAnswers(caller, {"404", "404"});
    BOOST_TEST(caller.received.find("\r\n\r\nHTTP/1.1 404") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(callerThatWaitsForContinueIsToldInItsTurn)
{
    const RawCaller caller(loop, host->settings.outbound);
    const std::string request = post(2, "/book/1");
    const std::size_t body = request.size() - 4;
    std::string head = request.substr(0, body);
    head.insert(head.size() - 2, "Expect: 100-continue\r\n");
    caller.send(get(1, "/look/10") + head);
    waitUntil([&] { return answersIn(caller.received).size() >= 2; });
    BOOST_TEST(answersIn(caller.received)[1] == "100");
    caller.send(request.substr(body));
    expectAnswers(caller, {"200 n1", "100", "200 n2"});
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace cornelhead
