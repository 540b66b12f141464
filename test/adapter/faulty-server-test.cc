// Tests that no caller gets a response that is not its own or not complete, whatever a server
// sends.
#include "adapter/scripted-server.h"

namespace cornelhead {

const std::string sealedHead
        = "HTTP/1.1 200 OK\r\nCornelhead-Request-Id: @ID\r\nCornelhead-Server-Seal: s\r\n";

std::string framedResponse(const std::string &body, const std::string &id = "@ID")
{
    return "HTTP/1.1 200 OK\r\nCornelhead-Request-Id: " + id
            + "\r\nCornelhead-Server-Seal: s\r\nContent-Length: " + std::to_string(body.size())
            + "\r\n\r\n" + body;
}

/// A refusal by a server, which bears no seal; `idHeader` names the request that it refuses.
std::string refusal(const std::string &status, const std::string &idHeader)
{
    return "HTTP/1.1 " + status + "\r\n" + idHeader
            + "Cornelhead-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
}

const std::string ownId = "Cornelhead-Request-Id: @ID\r\n";
const std::string firstId = "Cornelhead-Request-Id: @FIRST\r\n";

BOOST_FIXTURE_TEST_SUITE(faulty_server, FaultyServerFleet)

BOOST_AUTO_TEST_CASE(wholeResponseIsForwarded)
{
    const HttpResponse response = bookOnce({framedResponse("whole")});
    BOOST_TEST(response.status == 200);
    BOOST_TEST(response.body == "whole");
}

// The copy arrives where the response to the next call on the connection is expected.
BOOST_AUTO_TEST_CASE(lateCopyOfAResponseDoesNotReachTheNextCaller)
{
    run({{framedResponse("first")},
         {framedResponse("first", "@FIRST") + framedResponse("second")},
         {framedResponse("third")}});
    BOOST_TEST(book().body == "first");
    const HttpResponse second = book();
    BOOST_TEST(second.body != "first");
    BOOST_TEST((second.status == 502 || second.body == "second"));
    const HttpResponse third = book();
    BOOST_TEST(third.status == 200);
    BOOST_TEST(third.body == "third");
    BOOST_TEST(server->requests == 3U);
}

BOOST_AUTO_TEST_CASE(copyOnAnIdleConnectionDoesNotReachTheNextCaller)
{
    run({{framedResponse("first") + framedResponse("first")}, {framedResponse("second")}});
    BOOST_TEST(book().body == "first");
    const HttpResponse second = book();
    BOOST_TEST(second.status == 200);
    BOOST_TEST(second.body == "second");
}

BOOST_AUTO_TEST_CASE(responseThatEndsBeforeItsLengthIsNoSuccess)
{
    const HttpResponse response
            = bookOnce({sealedHead + "Content-Length: 100\r\n\r\nhalf", ConnectionEnd::Close});
    BOOST_TEST(response.status == 502);
}

BOOST_AUTO_TEST_CASE(chunkedResponseWithoutItsEndIsNoSuccess)
{
    const HttpResponse response = bookOnce(
            {sealedHead + "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", ConnectionEnd::Close});
    BOOST_TEST(response.status == 502);
}

BOOST_AUTO_TEST_CASE(responseWithoutLengthEndsWithItsConnection)
{
    const HttpResponse response
            = bookOnce({sealedHead + "Connection: close\r\n\r\nwhole", ConnectionEnd::Close});
    BOOST_TEST(response.status == 200);
    BOOST_TEST(response.body == "whole");
}

BOOST_AUTO_TEST_CASE(responseWithoutLengthThatIsResetIsNoSuccess)
{
    const HttpResponse response
            = bookOnce({sealedHead + "Connection: close\r\n\r\nhalf", ConnectionEnd::Reset});
    BOOST_TEST(response.status == 502);
}

// REFUSED and TWICE: callers were told that a request had not run which a server was running.
BOOST_AUTO_TEST_CASE(earlierRefusalWrittenOnceMoreIsNoAnswerToTheNextRequest)
{
    for (const char *status : {"503 Service Unavailable", "429 Too Many Requests",
                               "421 Misdirected Request", "400 Bad Request"}) {
        // The repeated refusal may be without an id, as that of a request without one is.
        for (const std::string &repeatedId : {firstId, std::string()}) {
            BOOST_TEST_CONTEXT(status << ", id '" << repeatedId << "'")
            {
                FaultyServerFleet fleet;
                fleet.run({{refusal("503 Service Unavailable", ownId)},
                           {refusal(status, repeatedId)},
                           {framedResponse("third")}});
                BOOST_TEST(fleet.book().status == 503);
                // The server runs this one.
                BOOST_TEST(fleet.book().status == 502);
                BOOST_TEST(fleet.server->connections == 1U);
                BOOST_TEST(fleet.book().body == "third");
                BOOST_TEST(fleet.server->connections == 2U);
                BOOST_TEST(fleet.server->requests == 3U);
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(refusalWrittenTwiceAtOnceIsNoAnswerToTheNextRequest)
{
    const std::string once = refusal("503 Service Unavailable", ownId);
    run({{once + once}, {framedResponse("second")}});
    BOOST_TEST(book().status == 503);
    const HttpResponse second = book();
    BOOST_TEST(second.status == 200);
    BOOST_TEST(second.body == "second");
}

// On a connection that has carried no other request, the first response can belong to no other.
BOOST_AUTO_TEST_CASE(refusalWithoutIdOnANewConnectionIsBelieved)
{
    BOOST_TEST(bookOnce({refusal("503 Service Unavailable", "")}).status == 503);
}

// MIXED: a head that was cut off became a whole response with an empty or short body.
BOOST_AUTO_TEST_CASE(responseWhoseHeadIsCutOffIsNoSuccess)
{
    const std::string heads[] = {framedResponse("whole"), sealedHead + "\r\nwhole",
                                 sealedHead + "Transfer-Encoding: chunked\r\n\r\n"};
    std::vector<ServerAction> script;
    for (const std::string &head : heads) {
        const std::size_t end = head.find("\r\n\r\n") + 4;
        for (std::size_t length = 1; length < end; ++length) {
            // Every cut near the end of a line, and some within lines.
            const bool isNearLineEnd = head.find_first_of("\r\n", length - 1) <= length + 1;
            if (isNearLineEnd || length % 7 == 0)
                script.push_back({head.substr(0, length), ConnectionEnd::Close});
        }
    }
    const std::size_t cuts = script.size();
    run(script);
    for (std::size_t i = 0; i < cuts; ++i) {
        const HttpResponse response = book();
        BOOST_TEST_CONTEXT("cut " << i)
        {
            BOOST_TEST(response.status == 502);
        }
    }
    BOOST_TEST(server->requests == cuts);
}

// MIXED: callers got status codes and header names that are not HTTP, and a part of a body as a
// whole answer.
BOOST_AUTO_TEST_CASE(responseWithAnInvalidHeadIsNotForwarded)
{
    struct InvalidHead
    {
        std::string from;
        std::string to;
        std::string fault;
    };
    const std::vector<InvalidHead> invalid = {
            {"200 OK", "20 OK", "status-code"},
            {"200 OK", "2000 OK", "status-code"},
            {"200 OK", "600 OK", "status-code"},
            {"200 OK", "102 Processing", "status-code"},
            {"200 OK", "200 O\x01K", "reason-phrase"},
            {"Content-Length", "X\x01 Y: z\r\nContent-Length", "field-name"},
            {"Content-Length", "X Y: z\r\nContent-Length", "field-name"},
            {"Content-Length", ": z\r\nContent-Length", "field-name"},
            {"Content-Length", "X : z\r\nContent-Length", "field-name"},
            {"Content-Length", "X: a\x7f\r\nContent-Length", "field-value"},
            {"Content-Length", "Content-Length: 2\r\nContent-Length", "framing"},
            {"Content-Length: 5", "Content-Length: 5\r\nContent-Length: 2", "framing"},
            {"Content-Length: 5", "Content-Length: 2, 5", "framing"},
            {"Content-Length: 5", "Content-Length: +5", "framing"},
            {"Content-Length: 5", "Transfer-Encoding: gzip", "framing"},
            {"200 OK", "204 No Content", "framing"},
    };
    std::vector<ServerAction> script;
    for (const InvalidHead &head : invalid) {
        std::string bytes = framedResponse("whole");
        bytes.replace(bytes.find(head.from), head.from.size(), head.to);
        script.push_back({bytes});
    }
    script.push_back({framedResponse("sound")});
    run(script);
    for (const InvalidHead &head : invalid) {
        BOOST_TEST_CONTEXT(head.to)
        {
            const std::string counter
                    = "cornelhead_server_invalid_heads_total{fault=\"" + head.fault + "\"} ";
            const auto count = [&] {
                const std::string metrics = metricsOf(*host);
                return std::stoi(metrics.substr(metrics.find(counter) + counter.size()));
            };
            const int before = count();
            BOOST_TEST(book().status == 502);
            BOOST_TEST(count() == before + 1);
        }
    }
    BOOST_TEST(book().body == "sound");
    BOOST_TEST(server->requests == invalid.size() + 1);
    // The bytes after an invalid head belong to no request.
    BOOST_TEST(server->connections == invalid.size() + 1);
}

// MIXED: the fields of interim responses became fields of the final one.
BOOST_AUTO_TEST_CASE(fieldsOfAnInterimResponseAreNotThoseOfTheFinalOne)
{
    const HttpResponse response
            = bookOnce({"HTTP/1.1 100 Continue\r\nContent-Length: 2\r\nX-Interim: 1\r\n\r\n"
                        + framedResponse("whole")});
    BOOST_TEST(response.status == 200);
    BOOST_TEST(response.body == "whole");
    BOOST_TEST(!response.headers.contains("X-Interim"));
}

// evhttp itself rejects these.
BOOST_AUTO_TEST_CASE(responseWithABareReturnOrTwoFramingsIsNotForwarded)
{
    run({{sealedHead + "X: a\r b\r\nContent-Length: 5\r\n\r\nwhole"},
         {sealedHead + "Transfer-Encoding: gzip\r\nContent-Length: 5\r\n\r\nwhole"},
         {sealedHead + "Transfer-Encoding: chunked, chunked\r\n\r\n0\r\n\r\n"},
         {sealedHead + "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n"
          + "5\r\nwhole\r\n0\r\n\r\n"}});
    for (int i = 0; i < 4; ++i)
        BOOST_TEST(book().status == 502);
}

BOOST_AUTO_TEST_CASE(trailersAreNotForwarded)
{
    const HttpResponse response = bookOnce(
            {sealedHead + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\nX Y: z\r\n\r\n"});
    BOOST_TEST(response.status == 200);
    BOOST_TEST(response.body == "whole");
    BOOST_TEST(!response.headers.contains("X Y"));
}

BOOST_AUTO_TEST_CASE(responseThatNamesTwoRequestsOrSealsIsNoSuccess)
{
    run({{"HTTP/1.1 200 OK\r\nCornelhead-Request-Id: other\r\n"
          + framedResponse("whole").substr(std::string("HTTP/1.1 200 OK\r\n").size())},
         {sealedHead + "Cornelhead-Request-Id: other\r\nContent-Length: 5\r\n\r\nwhole"},
         {sealedHead + "Cornelhead-Server-Seal: t\r\nContent-Length: 5\r\n\r\nwhole"},
         {sealedHead + "Content-Encoding:\r\nContent-Encoding: gzip\r\n"
          + "Content-Length: 5\r\n\r\nwhole"}});
    for (int i = 0; i < 4; ++i)
        BOOST_TEST(book().status == 502);
}

BOOST_AUTO_TEST_CASE(bytesThatAreNoResponseAreNotForwarded)
{
    const HttpResponse response = bookOnce({"\x16\x03 no response\r\n\r\n", ConnectionEnd::Close});
    BOOST_TEST(response.status == 502);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace cornelhead
