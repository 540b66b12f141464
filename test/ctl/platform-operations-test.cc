// Tests that a blocking call is retried only if it was certainly not executed.
#include <boost/test/unit_test.hpp>

#include <atomic>
#include <functional>
#include <thread>

#include "cornelhead/ctl/platform-operations.h"
#include "cornelhead/net/event-loop.h"
#include "cornelhead/net/http.h"
#include "support/free-address.h"

namespace cornelhead {
namespace {

// An HTTP server on its own thread; `handler` gets the number of each request, starting at 1.
class FakeServer
{
public:
    explicit FakeServer(std::function<HttpResponse(int)> handler)
    {
        server_.setHandler([this, handler](const HttpRequest &, const Responder &responder) {
            responder.send(handler(++requests_));
        });
        address = listenOnFreePort(
                [&](const Address &at) { return server_.listen(at).has_value(); });
        thread_ = std::thread([this] { loop_.run(); });
    }

    ~FakeServer()
    {
        loop_.stop();
        thread_.join();
    }

    FakeServer(const FakeServer &) = delete;
    FakeServer &operator=(const FakeServer &) = delete;

    int requests() const { return requests_; }

    Address address;

private:
    EventLoop loop_;
    HttpServer server_{loop_, {}};
    std::atomic<int> requests_ = 0;
    std::thread thread_;
};

HttpResponse errorResponse(int status, const std::string &kind)
{
    return jsonResponse(status,
                        R"({"error":{"kind":")" + kind + R"(","message":"m","remedy":"r"}})");
}

constexpr Milliseconds retryTimeout = std::chrono::seconds(30);

} // namespace

BOOST_AUTO_TEST_SUITE(platformOperations)

BOOST_AUTO_TEST_CASE(retriesCallsThatWereNotExecuted)
{
    FakeServer server([](int request) {
        return request < 4 ? errorResponse(429, "rate-limited")
                           : jsonResponse(200, R"({"modRevision":7})");
    });
    PlatformSession session({server.address}, retryTimeout);
    const auto written = session.operations().put("k", "v", {});
    BOOST_TEST(written.value().value() == 7u);
    BOOST_TEST(server.requests() == 4);
}

BOOST_AUTO_TEST_CASE(neverRetriesAWriteWithUnknownOutcome)
{
    FakeServer server([](int) { return jsonResponse(200, "cut off"); });
    PlatformSession session({server.address}, retryTimeout);
    BOOST_TEST((session.operations().put("k", "v", {}).error().kind == ErrorKind::Unknown));
    BOOST_TEST(server.requests() == 1);
}

BOOST_AUTO_TEST_CASE(failsAfterTheRetryTimeout)
{
    Address closedAddress;
    {
        const FakeServer gone([](int) { return HttpResponse(); });
        closedAddress = gone.address;
    }
    PlatformSession session({closedAddress}, Milliseconds(100));
    BOOST_TEST((session.operations().get("k").error().kind == ErrorKind::Unavailable));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace cornelhead
