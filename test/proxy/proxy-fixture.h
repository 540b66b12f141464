// A proxy and backend servers in one process, for tests of the call path.
#pragma once

#include <atomic>
#include <future>
#include <thread>

#include <boost/test/unit_test.hpp>

#include "config/sample.h"
#include "cornelhead/net/http.h"
#include "cornelhead/proxy/proxy.h"

namespace cornelhead {

/// Returns a port that was free a moment ago.
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

/// Answers with the path and body that arrived.
inline void echo(const HttpRequest &request, const Responder &responder)
{
    responder.send(HttpResponse{200, {{"Cornelhead-Server", "echo"}}, request.path + request.body});
}

/// Answers as a server that refuses before running.
inline void shed(const HttpRequest &, const Responder &responder)
{
    responder.send(HttpResponse{
            503, {{"Cornelhead-Run", "not-run"}, {"Cornelhead-Reason", "shed"}}, "shed"});
}

/// A proxy of data centre akl-a with the sample declarations.
class ProxyFixture
{
public:
    explicit ProxyFixture(const std::string &node = "node-1", std::int64_t startedAtMs = 0)
        : self(makeSelf(node, startedAtMs)), address(self.proxy), proxy(makeSettings(self), metrics)
    {
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
    HttpResponse book(const std::string &key, const std::string &seat = "seat 4",
                      const std::string &deadlineMs = "5000") const
    {
        return call(HttpRequest{HttpMethod::Post,
                                "/bookings/book",
                                {},
                                {{"Cornelhead-Customer", "wellington"},
                                 {"Idempotency-Key", key},
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
    static NodeInfo makeSelf(const std::string &node, std::int64_t startedAtMs)
    {
        NodeInfo self;
        self.id = NodeId(node);
        self.dataCentre = DataCentreId("akl-a");
        self.proxy = Address{"127.0.0.1", freePort()};
        self.startedAtMs = startedAtMs;
        return self;
    }
    static ProxySettings makeSettings(const NodeInfo &self)
    {
        ProxySettings settings;
        settings.self = self;
        settings.listen = self.proxy;
        return settings;
    }
};

} // namespace cornelhead
