// A proxy and backend servers in one process, for tests.
#pragma once

#include <netinet/in.h>
#include <sys/socket.h>

#include <array>
#include <atomic>
#include <cstdio>
#include <future>
#include <thread>

#include <boost/test/unit_test.hpp>

#include "config/sample.h"
#include "cornelhead/net/http.h"
#include "cornelhead/proxy/proxy.h"

namespace cornelhead {

/// Returns a port that was free when probed.
inline std::uint16_t freePort()
{
    static std::atomic<std::uint16_t> next = 23100;
    for (;;) {
        const std::uint16_t port = next++;
        EventLoop loop;
        HttpServer probe(loop, {});
        if (probe.listen(Address{"127.0.0.1", port}))
            return port;
    }
}

/// Returns a socket that listens on loopback.
inline int listenOn(std::uint16_t port)
{
    const int listener = socket(AF_INET, SOCK_STREAM, 0);
    const int on = 1;
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    BOOST_REQUIRE(bind(listener, reinterpret_cast<const sockaddr *>(&address), sizeof address)
                  == 0);
    BOOST_REQUIRE(listen(listener, 16) == 0);
    return listener;
}

/// A backend server on its own thread.
class TestBackend
{
public:
    TestBackend(std::string id, HttpHandler handler, VersionId version = VersionId("v1"))
        : endpoint_(makeEndpoint(std::move(id), std::move(version)))
    {
        server_.setHandler([this, handler = std::move(handler)](const HttpRequest &request,
                                                                const Responder &responder) {
            ++runs;
            handler(request, responder);
        });
        BOOST_REQUIRE(server_.listen(endpoint_.address).has_value());
        thread_ = std::thread([this] { loop_.run(); });
    }
    ~TestBackend()
    {
        loop_.stop();
        thread_.join();
    }

    const Endpoint &endpoint() const { return endpoint_; }
    EventLoop &loop() { return loop_; }

    std::atomic<int> runs = 0;

private:
    static Endpoint makeEndpoint(std::string id, VersionId version)
    {
        Endpoint endpoint;
        endpoint.id = ServerId(std::move(id));
        endpoint.service = ServiceId("bookings");
        endpoint.version = std::move(version);
        endpoint.dataCentre = DataCentreId("akl-a");
        endpoint.address = Address{"127.0.0.1", freePort()};
        endpoint.slots = 10;
        endpoint.connections = 100;
        endpoint.state = ServerState::Serving;
        return endpoint;
    }

    const Endpoint endpoint_;
    EventLoop loop_;
    HttpServer server_{loop_, {}};
    std::thread thread_;
};

/// Responds with the path and body of the request.
inline void echo(const HttpRequest &request, const Responder &responder)
{
    responder.send(HttpResponse{200, {{"Cornelhead-Server", "echo"}}, request.path + request.body});
}

/// Responds like a server that refuses a request without running it.
inline void shed(const HttpRequest &, const Responder &responder)
{
    responder.send(HttpResponse{
            503, {{"Cornelhead-Run", "not-run"}, {"Cornelhead-Reason", "shed"}}, "shed"});
}

/// A proxy in data centre akl-a with the sample declarations.
class ProxyFixture
{
public:
    explicit ProxyFixture(const std::string &node = "node-1",
                          OwnershipLimits ownership = immediateOwnership())
        : self(makeSelf(node)), address(self.proxy), proxy(makeSettings(self, ownership), metrics)
    {
        keys().clear();
        BOOST_REQUIRE(proxy.start().has_value());
    }

    void publish(const std::vector<Endpoint> &servers, const std::vector<NodeInfo> &others = {},
                 MoveTable moves = {})
    {
        auto endpoints = std::make_shared<EndpointTable>();
        for (const Endpoint &server : servers)
            endpoints->servers[server.service].push_back(server);
        endpoints->nodes.emplace(self.id, self);
        for (const NodeInfo &node : others)
            endpoints->nodes.emplace(node.id, node);
        proxy.setView(std::make_shared<RoutingView>(
                RoutingView{Snapshot::build(Revision(1), sampleDeclarations()).value(),
                            std::make_shared<MoveTable>(std::move(moves)), std::move(endpoints)}));
        becomeHome();
    }

    HttpResponse call(const HttpRequest &request) const
    {
        return callBlocking(address, request, Milliseconds(10'000)).value();
    }
    HttpResponse get(const std::string &path,
                     Headers headers = {{"Cornelhead-Customer", "wellington"}}) const
    {
        return call(HttpRequest{HttpMethod::Get, path, {}, std::move(headers), ""});
    }
    // Returns the UUIDv7 for `name`, with the time of its first use as timestamp.
    std::string keyOf(const std::string &name) const
    {
        std::string &key = keys()[name];
        if (!key.empty())
            return key;
        const auto timestampMs = static_cast<unsigned long long>(wallClockMs());
        std::array<char, 64> text{};
        std::snprintf(text.data(), text.size(), "%08llx-%04llx-7000-8000-%012zx", timestampMs >> 16,
                      timestampMs & 0xffff, ++serial());
        return key = text.data();
    }
    HttpResponse book(const std::string &key, const std::string &seat = "seat 4",
                      const std::string &deadlineMs = "5000") const
    {
        return call(HttpRequest{HttpMethod::Post,
                                "/bookings/book",
                                {},
                                {{"Cornelhead-Customer", "wellington"},
                                 {"Idempotency-Key", keyOf(key)},
                                 {"Cornelhead-Deadline-Ms", deadlineMs}},
                                seat});
    }
    std::uint64_t refusals(const std::string &reason, const std::string &run)
    {
        return metrics.counter("cornelhead_refusals_total", {{"reason", reason}, {"run", run}})
                .value();
    }

    const NodeInfo self;
    const Address address;
    Metrics metrics;
    Proxy proxy;

private:
    // Keys by name; shared by the proxies of a test case.
    static std::map<std::string, std::string> &keys()
    {
        static std::map<std::string, std::string> all;
        return all;
    }
    static std::size_t &serial()
    {
        static std::size_t last = 0;
        return last;
    }
    // Makes the proxy the home of keys created from now on: its ownership begins with the first
    // keyed call, which is refused here.
    void becomeHome() const
    {
        call(HttpRequest{HttpMethod::Post,
                         "/bookings/book",
                         {},
                         {{"Cornelhead-Customer", "nobody"},
                          {"Cornelhead-Home", self.id.value()},
                          {"Idempotency-Key", "first"}},
                         ""});
        std::this_thread::sleep_for(Milliseconds(2));
    }
    // Limits with which the proxy runs every key created after `publish`, however long the machine
    // stalls.
    static OwnershipLimits immediateOwnership()
    {
        OwnershipLimits limits;
        limits.maxDisagreement = Milliseconds(0);
        limits.maxClockSkew = Milliseconds(0);
        limits.maxPause = Milliseconds(3'600'000);
        return limits;
    }
    static NodeInfo makeSelf(const std::string &node)
    {
        NodeInfo self;
        self.id = NodeId(node);
        self.dataCentre = DataCentreId("akl-a");
        self.proxy = Address{"127.0.0.1", freePort()};
        self.startedAtMs = wallClockMs();
        return self;
    }
    static ProxySettings makeSettings(const NodeInfo &self, const OwnershipLimits &ownership)
    {
        ProxySettings settings;
        settings.ownership = ownership;
        settings.self = self;
        settings.listen = self.proxy;
        return settings;
    }
};

} // namespace cornelhead
