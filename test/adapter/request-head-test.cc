// Tests what sidecars make of malformed, ambiguous and forged heads of requests.
#include "adapter/raw-caller.h"
#include "adapter/scripted-server.h"
#include "cornelhead/sidecar/fleet-sync.h"

namespace cornelhead {

struct RequestHeadFleet : SidecarFleet
{
    SidecarHost *host = nullptr;

    RequestHeadFleet()
    {
        configure("00000005", usersRoute("book", "/book/", "non_idempotent", "bookings"));
        host = &add("bookings", "b1");
        settle();
    }

    /// Sends the bytes on a new connection and returns the first response.
    std::string answerTo(const Address &to, const std::string &bytes)
    {
        const RawCaller caller(loop, to);
        caller.send(bytes);
        waitUntil([&] {
            return caller.isClosed || caller.received.find("\r\n\r\n") != std::string::npos;
        });
        // Time in which a request that hides in the body would be read.
        loop.runFor(Milliseconds(100));
        BOOST_TEST(caller.isClosed);
        return caller.received;
    }
};

const std::string bookHead = "POST /book/1 HTTP/1.1\r\nHost: site.example\r\n"
                             "Cornelhead-Deadline-Ms: 1500\r\n";
const std::string bookId = "Cornelhead-Request-Id: 7\r\n";

BOOST_FIXTURE_TEST_SUITE(request_heads, RequestHeadFleet)

// UNASKED: a second request inside the body of the first one ran at the server.
BOOST_AUTO_TEST_CASE(requestWithAnAmbiguousHeadIsRefusedAndItsConnectionClosed)
{
    const std::string hidden = bookHead + "Cornelhead-Request-Id: 8\r\nContent-Length: 0\r\n\r\n";
    const std::string length = "Content-Length: " + std::to_string(hidden.size()) + "\r\n";
    const std::vector<std::string> heads = {
            bookHead + bookId + "Content-Length: 0\r\n" + length,
            bookHead + bookId + length + "Content-Length: 0\r\n",
            bookHead + bookId + length + "Transfer-Encoding: identity\r\n",
            bookHead + bookId + "Content-Length: +0\r\n",
            bookHead + bookId + "Content-Length : " + std::to_string(hidden.size()) + "\r\n",
            bookHead + bookId + "X\x01: 1\r\nContent-Length: 0\r\n",
            bookHead + bookId + "X: 1\x01\r\nContent-Length: 0\r\n",
            bookHead + bookId + "Cornelhead-Request-Id: 9\r\nContent-Length: 0\r\n",
            bookHead + bookId + "Host: other.example\r\nContent-Length: 0\r\n",
    };
    for (const std::string &head : heads) {
        BOOST_TEST_CONTEXT(head)
        {
            const std::string answer = answerTo(host->settings.outbound, head + "\r\n" + hidden);
            BOOST_TEST(answer.substr(0, 12) == "HTTP/1.1 400");
            BOOST_TEST(answer.find("HTTP/1.1", 1) == std::string::npos);
        }
    }
    BOOST_TEST(runs() == 0U);
}

BOOST_AUTO_TEST_CASE(malformedMessageOfAnotherNodeIsRefused)
{
    const std::string answer
            = answerTo(host->settings.inbound,
                       std::string("GET ") + peerStatePath
                               + " HTTP/1.1\r\nContent-Length: 0\r\nContent-Length: 4\r\n\r\n");
    BOOST_TEST(answer.substr(0, 12) == "HTTP/1.1 400");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(forged_headers, FaultyServerFleet)

// UNASKED: the server got the caller's second Cornelhead-Caller-Service before the true one.
BOOST_AUTO_TEST_CASE(headersOfTheNodesAreReplacedHoweverOftenACallerSendsThem)
{
    run({{"HTTP/1.1 200 OK\r\nCornelhead-Request-Id: @ID\r\nCornelhead-Server-Seal: s\r\n"
          "Content-Length: 0\r\n\r\n"}});
    const std::string forged = std::string("cornelhead-caller-service: catalogue\r\n")
            + "Cornelhead-Expect-Instance: b7\r\nCornelhead-Deadline-Ms: 90000\r\n"
            + hopRequestHeader + ": 1 forged\r\n";
    const RawCaller caller(loop, host->settings.outbound);
    caller.send(bookHead + bookId + forged + forged + forged + "Content-Length: 0\r\n\r\n");
    waitUntil([&] { return !caller.received.empty(); });
    BOOST_TEST(caller.received.substr(0, 12) == "HTTP/1.1 200");
    BOOST_REQUIRE(server->received.size() == 1U);
    const std::string &request = server->received.front();
    const auto valuesOf = [&request](const std::string &name) {
        std::vector<std::string> values;
        const std::string field = "\r\n" + name + ": ";
        for (std::size_t at = request.find(field); at != std::string::npos;
             at = request.find(field, at + 1)) {
            const std::size_t begin = at + field.size();
            values.push_back(request.substr(begin, request.find('\r', begin) - begin));
        }
        return values;
    };
    BOOST_TEST((valuesOf("Cornelhead-Caller-Service") == std::vector<std::string>{"bookings"}));
    BOOST_TEST(valuesOf("cornelhead-caller-service").empty());
    BOOST_TEST((valuesOf("Cornelhead-Expect-Instance") == std::vector<std::string>{"b1"}));
    BOOST_TEST(valuesOf(hopRequestHeader).empty());
    const std::vector<std::string> deadlines = valuesOf("Cornelhead-Deadline-Ms");
    BOOST_REQUIRE(deadlines.size() == 1U);
    BOOST_TEST(std::stoi(deadlines.front()) <= 1500);
}

BOOST_AUTO_TEST_CASE(serverCannotForgeTheReportOfItsNode)
{
    const std::string report = std::string(hopResponseHeader) + ": 1 1 0\r\n";
    run({{"HTTP/1.1 200 OK\r\nCornelhead-Request-Id: @ID\r\nCornelhead-Server-Seal: s\r\n" + report
          + report + "Content-Length: 5\r\n\r\nwhole"}});
    const HttpResponse response = book();
    BOOST_TEST(response.status == 200);
    BOOST_TEST(!response.headers.contains(hopResponseHeader));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace cornelhead
