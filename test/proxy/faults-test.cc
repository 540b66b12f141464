// Tests the proxy with backend servers that crash, do not respond, are slow or have no free slots.
#include <unistd.h>

#include "proxy/proxy-fixture.h"

namespace cornelhead {

namespace {

// Reads requests and closes each connection without a response, as a server that crashes does.
class CrashingBackend
{
public:
    explicit CrashingBackend(const std::string &id)
        : endpoint_(TestBackend(id, echo).endpoint()), listener_(listenOn(endpoint_.address.port))
    {
        thread_ = std::thread([this] { serve(); });
    }
    ~CrashingBackend()
    {
        shutdown(listener_, SHUT_RDWR);
        thread_.join();
        close(listener_);
    }

    const Endpoint &endpoint() const { return endpoint_; }

    std::atomic<int> runs = 0;

private:
    void serve()
    {
        for (;;) {
            const int connection = accept(listener_, nullptr, nullptr);
            if (connection < 0)
                return;
            std::array<char, 4096> bytes{};
            runs += recv(connection, bytes.data(), bytes.size(), 0) > 0 ? 1 : 0;
            close(connection);
        }
    }

    const Endpoint endpoint_;
    const int listener_;
    std::thread thread_;
};

// Accepts requests and sends no responses until destroyed.
class SilentBackend
{
public:
    explicit SilentBackend(const std::string &id)
        : backend_(id, [this](const HttpRequest &, const Responder &responder) {
              responders_.push_back(responder);
          })
    { }
    ~SilentBackend()
    {
        std::promise<void> cleared;
        backend_.loop().post([&] {
            responders_.clear();
            cleared.set_value();
        });
        cleared.get_future().wait();
    }

    const Endpoint &endpoint() const { return backend_.endpoint(); }
    int runs() const { return backend_.runs; }

private:
    std::vector<Responder> responders_;
    TestBackend backend_;
};

Endpoint withDoorlistService(Endpoint endpoint)
{
    endpoint.service = ServiceId("doorlist");
    return endpoint;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(faults, ProxyFixture)

BOOST_AUTO_TEST_CASE(refusesAPoisonRequestAfterTwoDeaths)
{
    const CrashingBackend one("s1");
    const CrashingBackend two("s2");
    const CrashingBackend three("s3");
    publish({one.endpoint(), two.endpoint(), three.endpoint()});
    const HttpResponse first = get("/bookings/crash");
    BOOST_TEST(first.headers.at("Cornelhead-Reason") == "poison");
    BOOST_TEST(first.headers.at("Cornelhead-Run") == "unknown");
    BOOST_TEST(get("/bookings/crash").status == 422);
    BOOST_TEST(one.runs + two.runs + three.runs == 2);
}

BOOST_AUTO_TEST_CASE(sharesDeathsWithNodesOfTheDataCentre)
{
    ProxyFixture neighbour("node-2");
    const CrashingBackend one("s1");
    const CrashingBackend two("s2");
    publish({one.endpoint(), two.endpoint()}, {neighbour.self});
    neighbour.publish({one.endpoint(), two.endpoint()}, {self});
    BOOST_TEST(get("/bookings/crash").status == 422);
    while (neighbour.metrics.counter("cornelhead_calls_total").value() < 2)
        std::this_thread::sleep_for(Milliseconds(1));
    BOOST_TEST(neighbour.get("/bookings/crash").status == 422);
    BOOST_TEST(one.runs + two.runs == 2);
    const HttpRequest forged{HttpMethod::Post, "/", {}, {{"Cornelhead-Death", "1 s1 5"}}, ""};
    BOOST_TEST(call(forged).status == 400);
}

// A node refused a request after two deaths, though other nodes got responses to it.
BOOST_AUTO_TEST_CASE(responseAtAnotherNodeClearsADeath)
{
    ProxyFixture neighbour("node-2");
    const CrashingBackend one("s1");
    const CrashingBackend two("s2");
    const TestBackend sound("s3", echo);
    publish({one.endpoint(), sound.endpoint()}, {neighbour.self});
    neighbour.publish({two.endpoint()}, {self});
    while (one.runs == 0)
        BOOST_TEST(get("/bookings/page").status == 200);
    // The notices of the death and of the response, after one keyed call.
    for (int i = 0; i < 5000 && neighbour.metrics.counter("cornelhead_calls_total").value() < 3;
         ++i)
        std::this_thread::sleep_for(Milliseconds(1));
    BOOST_TEST(neighbour.get("/bookings/page").headers.at("Cornelhead-Reason")
               == "broken-connection");
    BOOST_TEST(two.runs > 0);
}

BOOST_AUTO_TEST_CASE(doesNotRetryABookingOnABrokenConnection)
{
    const CrashingBackend dying("s1");
    publish({dying.endpoint()});
    const HttpResponse response = book("k");
    BOOST_TEST(response.headers.at("Cornelhead-Reason") == "broken-connection");
    BOOST_TEST(response.headers.at("Cornelhead-Run") == "unknown");
    BOOST_TEST(book("k").headers.at("Cornelhead-Reason") == "outcome-unknown");
    BOOST_TEST(dying.runs == 1);
}

BOOST_AUTO_TEST_CASE(retriesLookupsElsewhereWhenAServerIsSilent)
{
    const SilentBackend silent("s1");
    const TestBackend other("s2", echo);
    publish({silent.endpoint(), other.endpoint()});
    for (int i = 0; i < 6; ++i)
        BOOST_TEST(get("/bookings/list").status == 200);
    BOOST_TEST(silent.runs() > 0);
}

BOOST_AUTO_TEST_CASE(hedgesDoorLookups)
{
    const SilentBackend silent("s1");
    const TestBackend other("s2", echo);
    publish({withDoorlistService(silent.endpoint()), withDoorlistService(other.endpoint())});
    Counter &hedges = metrics.counter("cornelhead_hedges_total");
    std::uint64_t calls = 0;
    for (; calls < 50 && hedges.value() == 0; ++calls)
        BOOST_TEST(get("/doorlist/tickets/1").status == 200);
    BOOST_TEST(hedges.value() == 1);
    // The attempt that was overtaken counts as well; the slower version would lose such samples.
    std::uint64_t samples = 0;
    for (const auto &[key, sums] : proxy.takeOutcomes())
        samples += sums.calls;
    BOOST_TEST(samples == calls + 1);
}

// The longer a call takes, the likelier it ends after the start of its server.
BOOST_AUTO_TEST_CASE(callAtAStartingServerIsColdThoughItEndsLater)
{
    std::promise<void> isRunning;
    std::promise<void> mayEnd;
    const TestBackend starting("s1", [&](const HttpRequest &request, const Responder &responder) {
        isRunning.set_value();
        mayEnd.get_future().wait();
        echo(request, responder);
    });
    Endpoint endpoint = starting.endpoint();
    endpoint.state = ServerState::Starting;
    publish({endpoint});
    auto response = std::async(std::launch::async, [this] { return get("/bookings/list"); });
    isRunning.get_future().wait();
    endpoint.state = ServerState::Serving;
    publish({endpoint});
    mayEnd.set_value();
    BOOST_TEST(response.get().status == 200);
    for (const auto &[key, sums] : proxy.takeOutcomes()) {
        BOOST_TEST(sums.calls == 1U);
        BOOST_TEST(sums.cold == 1U);
    }
}

BOOST_AUTO_TEST_CASE(queuesCallsForAFreeServer)
{
    const TestBackend singleConnection("s1",
                                       [](const HttpRequest &request, const Responder &responder) {
                                           std::this_thread::sleep_for(Milliseconds(10));
                                           echo(request, responder);
                                       });
    Endpoint endpoint = singleConnection.endpoint();
    endpoint.connections = 1;
    publish({endpoint});
    std::vector<std::future<HttpResponse>> responses;
    for (int i = 0; i < 8; ++i)
        responses.push_back(std::async(std::launch::async, [&] { return get("/bookings/list"); }));
    for (auto &response : responses)
        BOOST_TEST(response.get().status == 200);
    BOOST_TEST(metrics.counter("cornelhead_upstream_connections_total").value() == 1);
}

BOOST_AUTO_TEST_CASE(cancelsALookupWhenTheCallerDisconnects)
{
    const SilentBackend silent("s1");
    publish({silent.endpoint()});
    const HttpRequest request{
            HttpMethod::Get, "/bookings/list", {}, {{"Cornelhead-Customer", "wellington"}}, ""};
    BOOST_TEST(!callBlocking(address, request, Milliseconds(100)).has_value());
    while (refusals("cancelled", "unknown") == 0)
        std::this_thread::sleep_for(Milliseconds(1));
    BOOST_TEST(metrics.gauge("cornelhead_calls_in_flight").value() >= 0);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace cornelhead
