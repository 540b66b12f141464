// Tests what sidecars make of malformed, ambiguous and forged heads of requests.
#include "adapter/raw-caller.h"
#include "adapter/sidecar-fleet.h"
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

} // namespace cornelhead
