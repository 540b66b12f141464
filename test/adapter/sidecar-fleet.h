// A fleet of real sidecars with fake servers and a fake store, all on one event loop.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "cornelhead/proxy/evhttp-handles.h"
#include "cornelhead/sidecar/hop.h"
#include "cornelhead/sidecar/sidecar.h"
#include "platform/users-dialect.h"
#include "support/users-configuration.h"
#include "support/users-store.h"

namespace cornelhead {

/// A backend server that uses the users' header names; a test may replace its responses.
class FakeServer
{
public:
    FakeServer(EventLoop &loop, std::string serverId)
        : id(std::move(serverId)), loop_(loop), server_(loop, {})
    {
        server_.setHandler([this](const HttpRequest &request, const Responder &responder) {
            serve(request, responder);
        });
        address = listenOnFreePort(
                [this](const Address &free) { return server_.listen(free).has_value(); });
    }

    static std::string header(const HttpRequest &request, const char *name)
    {
        const auto found = request.headers.find(name);
        return found == request.headers.end() ? std::string() : found->second;
    }
    HttpResponse answerTo(const HttpRequest &request) const
    {
        HttpResponse response{200,
                              {{"Cornelhead-Request-Id", header(request, "Cornelhead-Request-Id")},
                               {"Cornelhead-Server-Seal", "seal-of-" + id}},
                              "ran at " + id};
        addNotice(response);
        return response;
    }
    /// Adds what the server reports about itself.
    void addNotice(HttpResponse &response) const
    {
        if (!limit.empty())
            response.headers["Server-Limit"] = limit;
        if (isLeaving)
            response.headers["Server-Leaving"] = "1";
    }

    /// Refuses connections from now on.
    void stopListening()
    {
        server_.stopListening();
        isListening_ = false;
    }
    void listenAgain()
    {
        if (!std::exchange(isListening_, true))
            BOOST_REQUIRE(server_.listen(address).has_value());
    }

    std::string id;
    Address address;
    /// Requests that the server started to run.
    std::vector<HttpRequest> runs;
    /// When it started them.
    std::vector<TimePoint> runTimes;
    /// Time after which it responds.
    Milliseconds work{};
    /// Calls per second that the server accepts, as text; empty for no limit.
    std::string limit;
    bool isLeaving = false;
    /// Replaces the default response if set.
    std::function<void(const HttpRequest &, const Responder &)> behaviour;

private:
    void serve(const HttpRequest &request, const Responder &responder)
    {
        if (request.path == "/healthz") {
            HttpResponse response{isLeaving ? 503 : 200, {{"Cornelhead-Instance-Id", id}}, {}};
            addNotice(response);
            responder.send(response);
            return;
        }
        if (header(request, "Cornelhead-Expect-Instance") != id) {
            responder.send(HttpResponse{421, {{"Cornelhead-Instance-Id", id}}, {}});
            return;
        }
        runs.push_back(request);
        runTimes.push_back(now(SteadyClock()));
        if (behaviour)
            behaviour(request, responder);
        else if (work == Milliseconds(0))
            responder.send(answerTo(request));
        else
            delayedResponses_.push_back(loop_.after(
                    work, [this, request, responder] { responder.send(answerTo(request)); }));
    }

    EventLoop &loop_;
    HttpServer server_;
    std::vector<Timer> delayedResponses_;
    bool isListening_ = true;
};

/// One host: a server and the sidecar beside it.
struct SidecarHost
{
    std::unique_ptr<FakeServer> server;
    SidecarSettings settings;
    std::unique_ptr<Sidecar> sidecar;
    std::uint64_t sequence = 0;
};

struct SidecarFleet
{
    EventLoop loop;
    UsersStore store{loop};
    HttpClient client{loop};
    std::deque<SidecarHost> hosts;
    std::uint64_t lastId = 0;

    /// Runs the loop until `isDone` returns true; fails the test after 30 s.
    void waitUntil(const std::function<bool()> &isDone)
    {
        constexpr int maxTurns = 3000;
        for (int i = 0; i < maxTurns && !isDone(); ++i)
            loop.runFor(Milliseconds(10));
        BOOST_REQUIRE(isDone());
    }

    /// Returns an unused address whose port is below the system's ephemeral port range.
    static Address freeAddress()
    {
        // Each test program has a range of its own, as they may run at the same time.
        constexpr int firstPort = CORNELHEAD_FIRST_TEST_PORT;
        constexpr int portCount = 4'500;
        static int next = static_cast<int>(::getpid() % 45) * 100;
        for (int tries = 0; tries < portCount; ++tries) {
            const Address address{"127.0.0.1",
                                  static_cast<std::uint16_t>(firstPort + next++ % portCount)};
            const int socket = detail::openListenSocket(address.toString().c_str(), false);
            if (socket < 0)
                continue;
            ::close(socket);
            return address;
        }
        throw std::runtime_error("no free port");
    }

    SidecarHost &add(const std::string &service, const std::string &serverId,
                     const std::string &dataCentre = "akl-a", const std::string &version = "v1")
    {
        SidecarHost &host = hosts.emplace_back();
        host.server = std::make_unique<FakeServer>(loop, serverId);
        host.settings.dataCentre = DataCentreId(dataCentre);
        host.settings.service = ServiceId(service);
        host.settings.server = host.server->address;
        host.settings.outbound = freeAddress();
        host.settings.inbound = freeAddress();
        host.settings.readiness = freeAddress();
        host.settings.control = freeAddress();
        host.settings.platform = store.address;
        host.settings.stopTimeout = Milliseconds(6000);
        host.settings.retryRatio = 0.2;
        host.settings.retryWindow = Milliseconds(10'000);
        host.settings.seed = 5;
        startSidecar(host);
        announce(host, version);
        return host;
    }
    void startSidecar(SidecarHost &host)
    {
        host.sidecar = std::make_unique<Sidecar>(loop, host.settings, adapter::usersDialect());
        const Result<void> started = host.sidecar->start();
        BOOST_REQUIRE_MESSAGE(started, (started ? "" : started.error().describe()));
    }

    HttpResponse call(const Address &to, HttpRequest request)
    {
        std::optional<Result<HttpResponse>> response;
        client.send(to, request, Milliseconds(8000),
                    [&](Result<HttpResponse> result) { response = std::move(result); });
        waitUntil([&] { return response.has_value(); });
        BOOST_REQUIRE_MESSAGE(*response, (*response ? "" : response->error().describe()));
        return **response;
    }
    /// Sends one heartbeat and waits for its acknowledgement.
    int announce(SidecarHost &host, const std::string &version = "v1",
                 const std::string &state = "ready", int born = 1, int coldLeftMs = 0)
    {
        const std::string body = R"({"address":"x","born":)" + std::to_string(born)
                + R"(,"server-info":{"service":")" + host.settings.service.value()
                + R"(","version":")" + version + R"(","zone":")" + host.settings.dataCentre.value()
                + R"(","slots":2},"status":{"state":")" + state + R"(","seq":)"
                + std::to_string(++host.sequence) + R"(,"cold-left":")" + std::to_string(coldLeftMs)
                + R"(ms"}})";
        return call(host.settings.control,
                    HttpRequest{HttpMethod::Put, "/instances/" + host.server->id, {}, {}, body})
                .status;
    }
    void configure(const std::string &version, const std::string &rows)
    {
        store.write("op/config", usersConfiguration(version, rows));
    }
    /// Configures one idempotent route of the bookings service, below "/NAME/".
    void configureRoute(const std::string &version, const std::string &name)
    {
        configure(version, usersRoute(name, "/" + name + "/", "idempotent", "bookings"));
    }
    /// Waits until every host, but `except`, serves a call of this path.
    void waitForRoute(const std::string &path, const SidecarHost *except = nullptr)
    {
        for (SidecarHost &host : hosts) {
            if (&host != except)
                waitUntil([&] {
                    return call(host.settings.outbound, requestTo(path)).status == 200;
                });
        }
    }
    bool isReady(const SidecarHost &host)
    {
        return call(host.settings.readiness, HttpRequest{HttpMethod::Get, "/readyz", {}, {}, {}})
                       .status
                == 200;
    }
    /// Waits until the store lists every server and every sidecar is ready.
    void settle()
    {
        waitUntil([this] {
            std::size_t listed = 0;
            for (const KeyValue &entry : store.store.list("cornelhead/hosts/").entries)
                listed += entry.value.find("\"server\"") != std::string::npos ? 1 : 0;
            return listed == hosts.size();
        });
        for (SidecarHost &host : hosts)
            waitUntil([&] { return isReady(host); });
        // Longer than the pause between two requests of a node to the store.
        loop.runFor(Milliseconds(1700));
    }
    HttpRequest requestTo(const std::string &path, HttpMethod method = HttpMethod::Get,
                          const std::string &body = {})
    {
        return HttpRequest{method,
                           path,
                           {},
                           {{"Host", "site.example"},
                            {"Cornelhead-Request-Id", "id" + std::to_string(++lastId)},
                            {"Cornelhead-Deadline-Ms", "1500"}},
                           body};
    }
    /// A call to the node beside a server, as another node sends it that need not be in the fleet.
    HttpRequest hopRequestTo(const SidecarHost &host, const std::string &id, bool isResumed,
                             const NodeId &toRun)
    {
        HopRequest hop;
        hop.run = toRun;
        hop.server = ServerId(host.server->id);
        hop.service = host.settings.service;
        hop.callerService = ServiceId("catalogue");
        hop.isResumed = isResumed;
        hop.objective = Milliseconds(500);
        hop.objectiveLeft = Milliseconds(500);
        hop.route = RouteId("book");
        HttpRequest request = requestTo("/book/1", HttpMethod::Post, "seat=4");
        request.headers["Cornelhead-Request-Id"] = id;
        request.headers[hopRequestHeader] = encodeHopRequest(hop);
        return request;
    }
    NodeId runOf(const SidecarHost &host)
    {
        const auto published = store.read("cornelhead/hosts/" + host.settings.inbound.toString());
        BOOST_REQUIRE(published);
        return decodeHostEntry(*published)->run;
    }
    std::size_t runs() const
    {
        std::size_t sum = 0;
        for (const SidecarHost &host : hosts)
            sum += host.server->runs.size();
        return sum;
    }
    std::string metricsOf(SidecarHost &host)
    {
        return call(host.settings.readiness, HttpRequest{HttpMethod::Get, "/metrics", {}, {}, {}})
                .body;
    }
};

} // namespace cornelhead
