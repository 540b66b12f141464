// Tests that a status that is not HTTP never reaches a caller as a response.
#include "adapter/scripted-server.h"

namespace cornelhead {

// MIXED: a server in trouble sent an answer whose status was 000, and a caller got it.
const std::vector<std::string> oddStatusLines
        = {"HTTP/1.1 000 X",  "HTTP/1.1 000",      "HTTP/1.1 0 X",     "HTTP/1.1 099 X",
           "HTTP/1.1 0000 X", "HTTP/1.1 0200 OK",  "HTTP/1.1 +200 OK", "HTTP/1.1 200x OK",
           "HTTP/1.1 200,OK", "HTTP/1.1 2000 OK",  "HTTP/1.1 600 X",   "HTTP/1.1 999 X",
           "HTTP/1.1 199 X",  "HTTP/1.1  200 OK",  "HTTP/1.1\t200 OK", "HTTP/1.1 -200 OK",
           "HTTP/1.1 2 00",   "HTTP/1.1 \xd9\xa2", "HTTP/1.1"};

struct OddStatusFleet : FaultyServerFleet
{
    /// Runs a server that sends each odd status line once, and then a sound response.
    void runOddServer()
    {
        const std::string rest = "\r\nCornelhead-Request-Id: @ID\r\nCornelhead-Server-Seal: s\r\n"
                                 "Content-Length: 5\r\n\r\nwhole";
        std::vector<ServerAction> script;
        for (const std::string &line : oddStatusLines)
            script.push_back({line + rest});
        script.push_back({"HTTP/1.1 200 OK" + rest});
        run(script);
    }
    void checkCalls(HttpMethod method, const std::string &body)
    {
        for (const std::string &line : oddStatusLines) {
            BOOST_TEST_CONTEXT(line)
            {
                const HttpResponse response
                        = call(host->settings.outbound, requestTo("/book/1", method, body));
                // Without another host, a call that may run again ends as one without a server.
                const bool isRefused = method == HttpMethod::Get && response.status == 503;
                BOOST_TEST((response.status == 502 || isRefused));
                BOOST_TEST(response.body != "whole");
            }
        }
        BOOST_TEST(call(host->settings.outbound, requestTo("/book/1", method, body)).body
                   == "whole");
        BOOST_TEST(server->requests == oddStatusLines.size() + 1);
    }
};

BOOST_FIXTURE_TEST_SUITE(odd_status, OddStatusFleet)

BOOST_AUTO_TEST_CASE(callsThatRunOnceGetNoOddStatus)
{
    runOddServer();
    checkCalls(HttpMethod::Post, "seat=4");
}

BOOST_AUTO_TEST_CASE(callsThatMayRunAgainGetNoOddStatus)
{
    runOddServer();
    configure("00000007", usersRoute("book", "/book/", "idempotent", "bookings"));
    loop.runFor(Milliseconds(1000));
    checkCalls(HttpMethod::Get, {});
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace cornelhead
