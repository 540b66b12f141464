// Tests the listener with malformed, oversized, slow and abandoned requests.
#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include "proxy/proxy-fixture.h"
#include "support/endless-server.h"

namespace cornelhead {

namespace {

// A TCP connection that sends arbitrary bytes.
class RawCaller
{
public:
    explicit RawCaller(const Address &to) : socket_(socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(to.port);
        inet_pton(AF_INET, to.ip.c_str(), &address.sin_addr);
        BOOST_REQUIRE(connect(socket_, reinterpret_cast<const sockaddr *>(&address), sizeof address)
                      == 0);
    }
    ~RawCaller() { close(socket_); }
    RawCaller(const RawCaller &) = delete;
    RawCaller &operator=(const RawCaller &) = delete;

    void send(const std::string &bytes) const
    {
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            const ssize_t part
                    = ::send(socket_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (part <= 0)
                return;
            sent += static_cast<std::size_t>(part);
        }
    }

    // Reads until the peer closes the connection or `terminator` was read.
    std::string read(const std::string &terminator = "\r\n\r\n") const
    {
        std::string all;
        std::array<char, 4096> bytes{};
        while (all.find(terminator) == std::string::npos) {
            const ssize_t part = recv(socket_, bytes.data(), bytes.size(), 0);
            if (part <= 0)
                break;
            all.append(bytes.data(), static_cast<std::size_t>(part));
        }
        return all;
    }

private:
    const int socket_;
};

// A backend server that answers one request with fixed bytes.
class RawBackend
{
public:
    explicit RawBackend(std::string bytes)
        : endpoint_(TestBackend("s1", echo).endpoint()), listener_(listenOn(endpoint_.address.port))
    {
        thread_ = std::thread([this, bytes = std::move(bytes)] {
            const int connection = accept(listener_, nullptr, nullptr);
            std::array<char, 4096> request{};
            recv(connection, request.data(), request.size(), 0);
            ::send(connection, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            // The proxy closes the connection.
            recv(connection, request.data(), request.size(), 0);
            close(connection);
        });
    }
    ~RawBackend()
    {
        shutdown(listener_, SHUT_RDWR);
        thread_.join();
        close(listener_);
    }
    RawBackend(const RawBackend &) = delete;
    RawBackend &operator=(const RawBackend &) = delete;

    const Endpoint &endpoint() const { return endpoint_; }

private:
    const Endpoint endpoint_;
    const int listener_;
    std::thread thread_;
};

struct MalformedRequest
{
    std::string request;
    std::string reason;
};

const std::string customerLine = "Cornelhead-Customer: wellington\r\n";

} // namespace

BOOST_FIXTURE_TEST_SUITE(hostile, ProxyFixture)

BOOST_AUTO_TEST_CASE(malformedRequestsGetAReasonAndCountAsRefusals)
{
    const TestBackend backend("s1", echo);
    publish({backend.endpoint()});
    const std::string post = "POST /bookings/list HTTP/1.1\r\n" + customerLine;
    const std::string getLine = "GET /bookings/";
    const std::string end = " HTTP/1.1\r\n" + customerLine + "\r\n";
    const std::vector<MalformedRequest> all = {
            {"no request line at all\r\n\r\n", "bad-request"},
            {"GET\r\n\r\n", "bad-request"},
            {post + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
             "bad-request"},
            {post + "Content-Length: 1\r\nContent-Length: 1\r\n\r\nx", "bad-request"},
            {post + "Content-Length: -1\r\n\r\n", "bad-request"},
            {post + "Content-Length : 0\r\n\r\n", "bad-request"},
            {post + "Transfer-Encoding: chunked, chunked\r\n\r\n0\r\n\r\n", "bad-request"},
            // evhttp treats an invalid chunk size as one over the limit.
            {post + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", "too-large"},
            {post + "Content-Length: 999999999\r\n\r\n", "too-large"},
            {getLine + "list HTTP/1.1\r\nX: " + std::string(40'000, 'x'), "bad-request"},
            {getLine + "%zz" + end, "bad-request"},
            {getLine + "%2e%2e/doorlist" + end, "bad-request"},
            {getLine + "list HTTP/1.1\r\nCornelhead-Deadline-Ms: soon\r\n\r\n", "bad-request"},
            {getLine + "list HTTP/1.1\r\nCornelhead-Depth: 99\r\n\r\n", "too-deep"},
            {getLine + "list HTTP/1.1\r\nIdempotency-Key: " + std::string(500, 'k') + "\r\n\r\n",
             "bad-request"},
    };
    for (const MalformedRequest &malformed : all) {
        const std::uint64_t before
                = refusals(malformed.reason, "not-run") + refusals(malformed.reason, "unknown");
        const RawCaller caller(address);
        caller.send(malformed.request);
        const std::string response = caller.read();
        BOOST_TEST(response.find("Cornelhead-Reason: " + malformed.reason) != std::string::npos,
                   malformed.request.substr(0, 100) << " -> " << response);
        BOOST_TEST(refusals(malformed.reason, "not-run") + refusals(malformed.reason, "unknown")
                   == before + 1);
    }
    BOOST_TEST(backend.runs == 0);
    BOOST_TEST(get("/bookings/list").status == 200);
}

// Only the first Connection header was read.
BOOST_AUTO_TEST_CASE(headersListedByAnyConnectionHeaderAreNotForwarded)
{
    std::atomic<bool> wasForwarded = false;
    const TestBackend backend("s1", [&](const HttpRequest &request, const Responder &responder) {
        wasForwarded = request.headers.contains("X-Hop") || request.headers.contains("X-Other");
        echo(request, responder);
    });
    publish({backend.endpoint()});
    const RawCaller caller(address);
    caller.send("GET /bookings/list HTTP/1.1\r\nConnection: x-other\r\nConnection: close, X-Hop\r\n"
                "X-Hop: 1\r\nX-Other: 1\r\n"
                + customerLine + "\r\n");
    BOOST_TEST(caller.read().substr(0, 12) == "HTTP/1.1 200");
    BOOST_TEST(backend.runs == 1);
    BOOST_TEST(!wasForwarded);
}

BOOST_AUTO_TEST_CASE(answersPipelinedRequestsInOrder)
{
    const TestBackend backend("s1", echo);
    publish({backend.endpoint()});
    const RawCaller caller(address);
    std::string requests;
    for (const char *path : {"/one", "/two", "/three"})
        requests += std::string("GET /bookings") + path + " HTTP/1.1\r\n" + customerLine + "\r\n";
    caller.send(requests);
    const std::string responses = caller.read("/three");
    BOOST_TEST(responses.find("/one") < responses.find("/two"));
    BOOST_TEST(responses.find("/two") < responses.find("/three"));
    BOOST_TEST(responses.find("/three") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(slowAndAbandonedRequestsDoNotBlockOthers)
{
    const TestBackend backend("s1", echo);
    publish({backend.endpoint()});
    std::vector<std::unique_ptr<RawCaller>> slow;
    for (int i = 0; i < 200; ++i) {
        slow.push_back(std::make_unique<RawCaller>(address));
        slow.back()->send("POST /bookings/list HTTP/1.1\r\nContent-Length: 10\r\n\r\nx");
    }
    BOOST_TEST(get("/bookings/list").status == 200);
    slow.clear();
    BOOST_TEST(get("/bookings/list").status == 200);
    BOOST_TEST(metrics.gauge("cornelhead_calls_in_flight").value() == 0);
}

BOOST_AUTO_TEST_CASE(truncatesTheResponseWhenTheServerDoes)
{
    const Endpoint endpoint = TestBackend("s1", echo).endpoint();
    const int listener = listenOn(endpoint.address.port);
    std::thread server([&] {
        const int connection = accept(listener, nullptr, nullptr);
        std::array<char, 4096> bytes{};
        recv(connection, bytes.data(), bytes.size(), 0);
        const std::string head = "HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n";
        ::send(connection, head.data(), head.size(), 0);
        const std::string part(200'000, 'x');
        ::send(connection, part.data(), part.size(), 0);
        close(connection);
    });
    publish({endpoint});
    const auto response = callBlocking(address,
                                       HttpRequest{HttpMethod::Get,
                                                   "/bookings/list",
                                                   {},
                                                   {{"Cornelhead-Customer", "wellington"}},
                                                   ""},
                                       Milliseconds(5000));
    server.join();
    close(listener);
    BOOST_TEST(!response.has_value());
    BOOST_TEST(metrics.counter("cornelhead_answers_cut_total").value() == 1);
}

// Memory: interim responses were read without limit until the deadline.
BOOST_AUTO_TEST_CASE(responseWithInterimResponsesWithoutEndIsRefused)
{
    int servers = 0;
    for (const EndlessBytes &bytes : endlessInterimResponses()) {
        BOOST_TEST_CONTEXT(bytes.name)
        {
            EventLoop loop;
            EndlessServer server(loop, bytes.start, bytes.filler);
            std::thread thread([&loop] { loop.run(); });
            Endpoint endpoint = TestBackend("s" + std::to_string(++servers), echo).endpoint();
            endpoint.address = server.address;
            publish({endpoint});
            const HttpResponse response = get("/bookings/list");
            loop.stop();
            thread.join();
            BOOST_TEST(response.status == 502);
            BOOST_TEST(response.headers.at("Cornelhead-Reason") == "invalid-answer");
            BOOST_TEST(server.bytesSent < bytes.maxBytes);
        }
    }
}

// MIXED: callers of a node got invalid heads of a server, and a part of a body as a whole answer.
BOOST_AUTO_TEST_CASE(responseWithAnInvalidHeadIsNotForwarded)
{
    const std::string ok = "HTTP/1.1 200 OK\r\n";
    const std::string body = "Content-Length: 5\r\n\r\nwhole";
    for (const std::string &bytes :
         {"HTTP/1.1 20 OK\r\n" + body, "HTTP/1.1 000 X\r\n" + body, "HTTP/1.1 0200 OK\r\n" + body,
          "HTTP/1.1 200x OK\r\n" + body, ok + "X\x01 Y: z\r\n" + body,
          ok + "Content-Length: 2\r\n" + body, ok + "Transfer-Encoding: gzip\r\n\r\nwhole"}) {
        const RawBackend backend(bytes);
        publish({backend.endpoint()});
        const HttpResponse response = book(bytes);
        BOOST_TEST(response.status == 502);
        BOOST_TEST(response.headers.at("Cornelhead-Reason") == "invalid-answer");
        BOOST_TEST(response.headers.at("Cornelhead-Run") == "unknown");
    }
}

// The second of two headers reached the server, after the first one had been checked.
BOOST_AUTO_TEST_CASE(requestThatNamesTwoCustomersOrKeysIsRefused)
{
    const TestBackend backend("s1", echo);
    publish({backend.endpoint()});
    for (const std::string &second :
         {customerLine, std::string("Idempotency-Key: b\r\n"), std::string("Host: b\r\n")}) {
        const RawCaller caller(address);
        caller.send("GET /bookings/list HTTP/1.1\r\nHost: a\r\nIdempotency-Key: a\r\n"
                    + customerLine + second + "\r\n");
        BOOST_TEST(caller.read().find("Cornelhead-Reason: bad-request") != std::string::npos);
    }
    BOOST_TEST(backend.runs == 0);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace cornelhead
