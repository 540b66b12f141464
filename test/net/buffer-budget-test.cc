// Tests the budget of buffered bytes, and that connections of a server stay within it.
#include <sys/socket.h>

#include <algorithm>
#include <deque>
#include <filesystem>
#include <iterator>

#include <boost/test/unit_test.hpp>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

#include "cornelhead/net/http.h"
#include "support/free-address.h"
#include "support/property.h"

namespace cornelhead {

BOOST_AUTO_TEST_SUITE(buffer_budget)

BOOST_AUTO_TEST_CASE(largestHolderIsEvicted)
{
    BufferBudget budget;
    budget.setLimit(100);
    std::string evicted;
    HeldBytes small(budget, BufferUse::Call, [&] { evicted += "small"; });
    HeldBytes large(budget, BufferUse::Call, [&] { evicted += "large"; });
    HeldBytes control(budget, BufferUse::Control, [&] { evicted += "control"; });
    small.set(10);
    large.set(30);
    control.set(60);
    BOOST_TEST(evicted.empty());
    BOOST_TEST(budget.held() == 100U);
    small.set(11);
    BOOST_TEST(evicted == "large");
    BOOST_TEST(budget.held() == 71U);
    // Evicted bytes are counted no longer, however many there are until they are freed.
    large.set(1000);
    BOOST_TEST(budget.held() == 71U);
    control.set(90);
    BOOST_TEST(evicted == "largesmall");
    control.set(101);
    BOOST_TEST(evicted == "largesmallcontrol");
    BOOST_TEST(budget.evictions() == 3U);
}

BOOST_AUTO_TEST_CASE(heldBytesNeverExceedTheLimit)
{
    checkProperty(7, 100, [] {
        BufferBudget budget;
        budget.setLimit(10'000);
        std::deque<std::unique_ptr<HeldBytes>> holders;
        for (int i = 0; i < 300; ++i) {
            const auto action = *rc::gen::inRange(0, 4);
            if (action == 0 || holders.empty()) {
                const auto use = *rc::gen::element(BufferUse::Call, BufferUse::Control);
                holders.push_back(std::make_unique<HeldBytes>(budget, use, [] {}));
            } else if (action == 1) {
                holders.erase(holders.begin()
                              + *rc::gen::inRange<std::ptrdiff_t>(
                                      0, static_cast<std::ptrdiff_t>(holders.size())));
            } else {
                const auto chosen = *rc::gen::inRange<std::size_t>(0, holders.size());
                holders[chosen]->set(*rc::gen::inRange<std::size_t>(0, 12'000));
            }
            RC_ASSERT(budget.held() <= budget.limit());
        }
        holders.clear();
        RC_ASSERT(budget.held() == 0U);
    });
}

namespace {

/// A client that sends `filler` whenever its socket takes it, and reads responses only on request.
class Sender
{
public:
    Sender(EventLoop &loop, const Address &to, const std::string &start, std::string filler,
           bool readsResponses)
        : filler_(std::move(filler)),
          connection_(bufferevent_socket_new(loop.base(), -1, BEV_OPT_CLOSE_ON_FREE))
    {
        const auto onRead = [](bufferevent *from, void *arg) {
            evbuffer *input = bufferevent_get_input(from);
            static_cast<Sender *>(arg)->bytesRead += evbuffer_get_length(input);
            evbuffer_drain(input, evbuffer_get_length(input));
        };
        const auto onWritten = [](bufferevent *to, void *arg) {
            auto *sender = static_cast<Sender *>(arg);
            if (sender->isClosed || sender->filler_.empty())
                return;
            sender->bytesSent += sender->filler_.size();
            bufferevent_write(to, sender->filler_.data(), sender->filler_.size());
        };
        const auto onEvent = [](bufferevent *, short what, void *arg) {
            static_cast<Sender *>(arg)->isClosed |= (what & BEV_EVENT_CONNECTED) == 0;
        };
        bufferevent_setcb(connection_, onRead, onWritten, onEvent, this);
        bufferevent_enable(connection_, readsResponses ? EV_READ | EV_WRITE : EV_WRITE);
        sockaddr_storage address{};
        int size = sizeof address;
        evutil_parse_sockaddr_port(to.toString().c_str(), reinterpret_cast<sockaddr *>(&address),
                                   &size);
        bufferevent_socket_connect(connection_, reinterpret_cast<sockaddr *>(&address), size);
        bufferevent_write(connection_, start.data(), start.size());
    }
    ~Sender() { bufferevent_free(connection_); }
    Sender(const Sender &) = delete;
    Sender &operator=(const Sender &) = delete;

    std::size_t bytesSent = 0;
    std::size_t bytesRead = 0;
    bool isClosed = false;

private:
    const std::string filler_;
    bufferevent *connection_;
};

struct ServerFixture
{
    static constexpr std::size_t limit = 4 * 1024 * 1024;

    ServerFixture()
    {
        loop.buffers().setLimit(limit);
        server.setHandler([](const HttpRequest &request, const Responder &responder) {
            const bool isLong = request.path == "/long";
            responder.send(HttpResponse{200, {}, std::string(isLong ? 1024 * 1024 : 2, 'x')});
        });
        address = listenOnFreePort(
                [this](const Address &free) { return server.listen(free).has_value(); });
    }
    Sender &send(const std::string &start, const std::string &filler, bool readsResponses = true)
    {
        return senders.emplace_back(loop, address, start, filler, readsResponses);
    }
    /// Runs the loop while sound requests are answered and the budget holds.
    void run(int rounds)
    {
        for (int i = 0; i < rounds; ++i) {
            loop.runFor(Milliseconds(10));
            BOOST_REQUIRE(loop.buffers().held() <= limit);
        }
        std::optional<int> status;
        HttpClient sound(loop);
        sound.send(address, HttpRequest{HttpMethod::Get, "/sound", {}, {}, {}}, Milliseconds(8000),
                   [&](const Result<HttpResponse> &response) {
                       status = response ? response->status : 0;
                   });
        for (int i = 0; i < 1000 && !status; ++i)
            loop.runFor(Milliseconds(10));
        BOOST_TEST(status.value_or(0) == 200);
    }

    EventLoop loop;
    HttpServer server{loop, HttpServerLimits{16 * 1024, 1024 * 1024, std::chrono::seconds(60)}};
    Address address;
    std::deque<Sender> senders;
};

std::string repeatedRequests(const std::string &request)
{
    std::string all;
    while (all.size() < 64 * 1024)
        all += request;
    return all;
}

const std::string chunkedHead = "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n";

} // namespace

// Memory: requests that a client sent ahead were read without limit, faster than they were
// answered.
BOOST_FIXTURE_TEST_CASE(requestsSentAheadWaitInTheirSocket, ServerFixture)
{
    const std::string requests = repeatedRequests("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    const Sender &sender = send(requests, requests);
    run(100);
    BOOST_TEST(!sender.isClosed);
    BOOST_TEST(sender.bytesRead > 0U);
    BOOST_TEST(loop.buffers().evictions() == 0U);
}

// Memory: a chunk size without end filled it, as evhttp waits for the end of the line.
BOOST_FIXTURE_TEST_CASE(requestWithAChunkSizeWithoutEndIsClosed, ServerFixture)
{
    const Sender &sender = send(chunkedHead + "1;", std::string(16 * 1024, 'x'));
    for (int i = 0; i < 1000 && !sender.isClosed; ++i)
        run(1);
    BOOST_TEST(sender.isClosed);
    run(10);
    BOOST_TEST(loop.buffers().held() < 64U * 1024);
}

// Memory: connections that read ahead no further stayed when they were evicted, as evhttp didn't
// notice that their sockets were closed.
BOOST_FIXTURE_TEST_CASE(evictedConnectionIsFreedThoughItReadsNoFurther, ServerFixture)
{
    const auto openSockets = [] {
        const std::filesystem::directory_iterator all("/proc/self/fd");
        return std::distance(begin(all), end(all));
    };
    const auto before = openSockets();
    for (int i = 0; i < 12; ++i)
        send(chunkedHead + "1;", std::string(16 * 1024, 'x'));
    const auto isClosed = [](const Sender &sender) { return sender.isClosed; };
    for (int i = 0; i < 1000 && !std::all_of(senders.begin(), senders.end(), isClosed); ++i)
        run(1);
    BOOST_TEST(std::all_of(senders.begin(), senders.end(), isClosed));
    BOOST_TEST(loop.buffers().evictions() > 0U);
    senders.clear();
    run(150);
    // The connection of the last sound request may wait for the next sweep.
    BOOST_TEST(openSockets() <= before + 2);
}

// Memory: many connections that stay below the limits of one exceeded those of the process.
BOOST_FIXTURE_TEST_CASE(manyLargeRequestsStayWithinTheBudget, ServerFixture)
{
    const std::string body = std::string(900 * 1024, 'x');
    for (int i = 0; i < 20; ++i)
        send("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1000000\r\n\r\n" + body, "");
    for (int i = 0; i < 20; ++i)
        send(chunkedHead, "1\r\nx\r\n");
    run(200);
    BOOST_TEST(loop.buffers().evictions() > 0U);
    const auto closed = std::count_if(senders.begin(), senders.end(),
                                      [](const Sender &sender) { return sender.isClosed; });
    BOOST_TEST(closed >= 15);
}

// Memory: responses that clients don't read were held without a common limit.
BOOST_FIXTURE_TEST_CASE(unreadResponsesStayWithinTheBudget, ServerFixture)
{
    const std::string requests = "GET /long HTTP/1.1\r\nHost: x\r\n\r\n";
    for (int i = 0; i < 40; ++i)
        send(repeatedRequests(requests), "", false);
    run(200);
    BOOST_TEST(loop.buffers().evictions() > 0U);
}

// What a client has sent and got is forgotten once it is answered.
BOOST_FIXTURE_TEST_CASE(answeredRequestsHoldNothing, ServerFixture)
{
    const std::string body(100 * 1024, 'x');
    for (int i = 0; i < 30; ++i)
        send("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: " + std::to_string(body.size())
                     + "\r\n\r\n" + body,
             "");
    run(300);
    BOOST_TEST(loop.buffers().evictions() == 0U);
    BOOST_TEST(loop.buffers().held() < 64U * 1024);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace cornelhead
