// Connects a simulated backend server to HTTP, its node and the ledger.
#include "cornelhead/standin/backend-server.h"

#include <algorithm>
#include <charconv>
#include <deque>
#include <list>
#include <set>

#include <nlohmann/json.hpp>

#include "cornelhead/base/log.h"
#include "cornelhead/standin/control.h"
#include "cornelhead/standin/ledger.h"
#include "cornelhead/standin/response-body.h"

namespace cornelhead {
namespace detail {

using nlohmann::json;

constexpr Milliseconds announcePeriod(500);
constexpr Milliseconds announceTimeout(1000);
constexpr Milliseconds tickPeriod(20);
constexpr Milliseconds nestedCallTimeout(10'000);
constexpr std::size_t maxBodyBytes = 64 * 1024 * 1024;
constexpr std::size_t maxHeaderBytes = 64 * 1024;
constexpr int poisonedExitCode = 70;
constexpr const char *deadlineHeader = "Cornelhead-Deadline-Ms";
constexpr const char *depthHeader = "Cornelhead-Depth";
constexpr const char *customerHeader = "Cornelhead-Customer";
constexpr const char *keyHeader = "Idempotency-Key";

std::string headerOf(const Headers &headers, std::string_view name)
{
    const auto found = headers.find(name);
    return found == headers.end() ? std::string() : found->second;
}

std::optional<std::uint64_t> numberOf(const Headers &headers, std::string_view name)
{
    const std::string text = headerOf(headers, name);
    std::uint64_t number = 0;
    const char *end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, number);
    if (text.empty() || error != std::errc() || stop != end)
        return std::nullopt;
    return number;
}

bool isPoisoned(const HttpRequest &request)
{
    return request.headers.contains(poisonHeader)
            || request.path.find("/poison") != std::string::npos;
}

HttpResponse refusal(std::string_view reason)
{
    const json body = {{"error",
                        {{"reason", reason},
                         {"run", "not-run"},
                         {"message", "the backend server did not run the call"},
                         {"remedy", "send it to another server"}}}};
    HttpResponse response = jsonResponse(503, body.dump());
    response.headers["Cornelhead-Run"] = "not-run";
    response.headers["Cornelhead-Reason"] = std::string(reason);
    return response;
}

/// One step of a call chain and the steps after it.
struct ChainStep
{
    std::string path;
    std::string rest;
};

ChainStep splitChain(const std::string &chain)
{
    const std::size_t comma = chain.find(',');
    if (comma == std::string::npos)
        return ChainStep{"/" + chain, {}};
    return ChainStep{"/" + chain.substr(0, comma), chain.substr(comma + 1)};
}

} // namespace detail

struct BackendServer::Impl
{
    struct Call
    {
        HttpRequest request;
        Responder responder;
        std::optional<TimePoint> deadline;
        RunPlan plan;
        Timer timer;
    };
    using RunningCall = std::list<Call>::iterator;
    /// Load and state at one point in time.
    struct HealthSample
    {
        TimePoint time;
        double load = 0;
        BackendState state = BackendState::Starting;
    };

    EventLoop *loop;
    Metrics *metrics;
    BackendServerSettings settings;
    Clock clock = SteadyClock();
    BackendBehaviour behaviour;
    Random random;
    Address address;
    HttpServer server;
    HttpClient nodeClient;
    HttpClient proxyClient;
    std::unique_ptr<LedgerSender> ledger;
    ControlTable control;
    std::deque<Call> queue;
    std::list<Call> running;
    // Connections that stay open without responses; their responders are kept and never used.
    std::set<std::uint64_t> hungConnections;
    std::vector<Responder> hungResponders;
    std::deque<HealthSample> healthSamples;
    std::function<void()> drainCallback;
    std::function<void()> poisonHandler = [] { std::_Exit(detail::poisonedExitCode); };
    BackendState announcedState = BackendState::Starting;
    Timer tickTimer;
    Timer announceTimer;

    Impl(EventLoop &eventLoop, BackendServerSettings serverSettings, Metrics &registry)
        : loop(&eventLoop), metrics(&registry), settings(std::move(serverSettings)),
          behaviour(settings.behaviour, clock, settings.seed), random(settings.seed),
          server(eventLoop, {detail::maxHeaderBytes, detail::maxBodyBytes}), nodeClient(eventLoop),
          proxyClient(eventLoop)
    {
        if (settings.ledger)
            ledger = std::make_unique<LedgerSender>(*settings.ledger);
        server.setHandler([this](const HttpRequest &request, const Responder &responder) {
            serve(request, responder);
        });
        addCommands();
    }

    void countRefusal(std::string_view reason)
    {
        metrics->counter("cornelhead_backend_refusals_total", {{"reason", std::string(reason)}})
                .add();
    }

    void refuse(const Responder &responder, std::string_view reason)
    {
        countRefusal(reason);
        respond(responder, detail::refusal(reason));
    }

    /// Sends the response, unless the connection hangs.
    void respond(const Responder &responder, const HttpResponse &response)
    {
        if (hungConnections.contains(responder.connection()))
            hungResponders.push_back(responder);
        else
            responder.send(response);
    }

    void serve(const HttpRequest &request, const Responder &responder)
    {
        if (isControlPath(request.path)) {
            responder.send(control.run(request));
        } else if (request.path == "/metrics") {
            responder.send(HttpResponse{200, {{"Content-Type", "text/plain"}}, metrics->render()});
        } else if (request.path == "/health") {
            respond(responder, healthResponse());
        } else if (hungConnections.contains(responder.connection())) {
            metrics->counter("cornelhead_backend_silenced_total").add();
            hungResponders.push_back(responder);
        } else if (server.connections() > settings.maxConnections) {
            refuse(responder, "shed");
        } else {
            admit(request, responder);
        }
    }

    void admit(const HttpRequest &request, const Responder &responder)
    {
        const Admission admission = behaviour.admit();
        if (const auto *refusal = std::get_if<RefuseCall>(&admission)) {
            refuse(responder, refusal->reason);
            return;
        }
        Call call{request, responder, std::nullopt, {}, {}};
        if (const auto remaining = detail::numberOf(request.headers, detail::deadlineHeader))
            call.deadline
                    = now(clock) + Milliseconds(std::min<std::uint64_t>(*remaining, 3'600'000));
        if (std::holds_alternative<RunNow>(admission)) {
            start(std::move(call));
            return;
        }
        behaviour.enqueue();
        queue.push_back(std::move(call));
    }

    bool isCancelled(const Call &call) const
    {
        return call.responder.isDisconnected() || (call.deadline && *call.deadline <= now(clock));
    }

    /// Starts queued calls while slots are free; refuses calls whose caller is gone or whose
    /// deadline has passed.
    void startQueuedCalls()
    {
        while (!queue.empty() && behaviour.hasFreeSlot()) {
            Call call = std::move(queue.front());
            queue.pop_front();
            behaviour.dequeue();
            if (isCancelled(call))
                refuse(call.responder, "cancelled");
            else
                start(std::move(call));
        }
    }

    void start(Call call)
    {
        const std::string key = detail::headerOf(call.request.headers, detail::keyHeader);
        if (ledger && !key.empty()) {
            ledger->send(RunRecord{key, settings.server.value(),
                                   detail::headerOf(call.request.headers, requestIdHeader)});
        }
        if (detail::isPoisoned(call.request)) {
            poisonHandler();
            return;
        }
        metrics->counter("cornelhead_backend_runs_total").add();
        call.plan = behaviour.start(call.request.path);
        running.push_front(std::move(call));
        const RunningCall current = running.begin();
        if (current->plan.duration == Milliseconds())
            onRunFinished(current);
        else
            current->timer = loop->after(current->plan.duration,
                                         [this, current] { onRunFinished(current); });
    }

    void onRunFinished(RunningCall call)
    {
        const std::string chain = detail::headerOf(call->request.headers, callChainHeader);
        if (call->plan.fails)
            finish(call, jsonResponse(500, R"({"error":{"reason":"failed"}})"));
        else if (!chain.empty() && settings.nodeProxy)
            callNext(call, chain);
        else
            finish(call, successResponse(call->request, {}));
    }

    void callNext(RunningCall call, const std::string &chain)
    {
        const detail::ChainStep step = detail::splitChain(chain);
        HttpRequest request{HttpMethod::Get, step.path, {}, {}, {}};
        for (const char *name : {detail::customerHeader, detail::depthHeader, requestIdHeader}) {
            const std::string value = detail::headerOf(call->request.headers, name);
            if (!value.empty())
                request.headers[name] = value;
        }
        if (!step.rest.empty())
            request.headers[callChainHeader] = step.rest;
        Milliseconds timeout = detail::nestedCallTimeout;
        if (call->deadline) {
            const auto remaining
                    = std::chrono::duration_cast<Milliseconds>(*call->deadline - now(clock));
            timeout = std::max(remaining, Milliseconds(1));
            request.headers[detail::deadlineHeader] = std::to_string(timeout.count());
        }
        proxyClient.send(
                *settings.nodeProxy, request, timeout, [this, call](Result<HttpResponse> next) {
                    if (next && next->status == 200)
                        finish(call, successResponse(call->request, next->body));
                    else
                        finish(call,
                               jsonResponse(502, R"({"error":{"reason":"next-call-failed"}})"));
                });
    }

    HttpResponse successResponse(const HttpRequest &request, std::string next) const
    {
        const std::size_t bytes = std::min<std::size_t>(
                detail::numberOf(request.headers, responseBytesHeader).value_or(0),
                detail::maxBodyBytes);
        const ResponseBody body{settings.service.value(),
                                settings.version.value(),
                                settings.server.value(),
                                request.path,
                                detail::headerOf(request.headers, detail::customerHeader),
                                detail::headerOf(request.headers, detail::keyHeader),
                                detail::headerOf(request.headers, requestIdHeader),
                                std::move(next)};
        HttpResponse response = jsonResponse(200, encodeResponseBody(body, bytes));
        response.headers[requestIdHeader] = body.requestId;
        return response;
    }

    void finish(RunningCall call, HttpResponse response)
    {
        response.headers["Cornelhead-Server"] = settings.server.value();
        response.headers["Cornelhead-Version"] = settings.version.value();
        behaviour.finish();
        respond(call->responder, response);
        running.erase(call);
        startQueuedCalls();
    }

    HttpResponse healthResponse() const
    {
        const detail::json body = {{"state", backendStateName(healthSamples.front().state)},
                                   {"load", healthSamples.front().load}};
        return jsonResponse(200, body.dump());
    }

    void sampleHealth()
    {
        const TimePoint time = now(clock);
        healthSamples.push_back(HealthSample{time, behaviour.load(), behaviour.state()});
        while (healthSamples.size() > 1 && time - healthSamples[1].time >= settings.healthLag)
            healthSamples.pop_front();
    }

    void onTick()
    {
        sampleHealth();
        if (behaviour.state() != announcedState)
            announce();
        metrics->gauge("cornelhead_backend_running").set(static_cast<std::int64_t>(running.size()));
        metrics->gauge("cornelhead_backend_connections")
                .set(static_cast<std::int64_t>(server.connections()));
        if (drainCallback && behaviour.isDrained())
            withdraw(std::exchange(drainCallback, nullptr));
    }

    void announce()
    {
        if (!settings.nodeAdmin)
            return;
        announcedState = behaviour.state();
        const detail::json body = {{"server", settings.server.value()},
                                   {"service", settings.service.value()},
                                   {"version", settings.version.value()},
                                   {"address", address.toString()},
                                   {"slots", behaviour.settings().slots},
                                   {"connections", settings.maxConnections},
                                   {"state", backendStateName(announcedState)}};
        postToNode("/v1/announce", body.dump(), [] {});
    }

    void withdraw(const std::function<void()> &done)
    {
        announceTimer = Timer();
        if (settings.nodeAdmin)
            postToNode("/v1/withdraw", detail::json{{"server", settings.server.value()}}.dump(),
                       done);
        else
            done();
    }

    void postToNode(const std::string &path, const std::string &body,
                    const std::function<void()> &done)
    {
        const HttpRequest request{
                HttpMethod::Post, path, {}, {{"Content-Type", "application/json"}}, body};
        nodeClient.send(*settings.nodeAdmin, request, detail::announceTimeout,
                        [this, done](Result<HttpResponse> result) {
                            const bool isOk = result && result->status == 200;
                            metrics->counter("cornelhead_backend_announcements_total",
                                             {{"result", isOk ? "ok" : "failed"}})
                                    .add();
                            done();
                        });
    }

    /// Makes a random share of all connections so far hang permanently.
    void hangConnections(double share)
    {
        for (std::uint64_t number = 1; number <= server.lastConnectionNumber(); ++number) {
            if (random.chance(share))
                hungConnections.insert(number);
        }
    }

    void addCommands()
    {
        control.add("silence", [this](ControlParameters &p) {
            const double share = p.has("share") ? p.real("share", 1) : 1.0;
            return [this, share] { hangConnections(share); };
        });
        control.add("latency", [this](ControlParameters &p) {
            const Milliseconds median = p.duration("base");
            const double spread = p.has("spread") ? p.real("spread", 5) : settings.behaviour.spread;
            return [this, median, spread] {
                behaviour.settings().medianLatency = median;
                behaviour.settings().spread = spread;
            };
        });
        control.add("fault", [this](ControlParameters &p) { return readFault(p); });
        control.add("slots", [this](ControlParameters &p) {
            const auto slots = static_cast<std::uint32_t>(p.integer("count", 100'000));
            if (slots == 0)
                p.addFault("count", "give at least 1");
            return [this, slots] { behaviour.settings().slots = slots; };
        });
        control.add("queue", [this](ControlParameters &p) {
            const auto length = static_cast<std::uint32_t>(p.integer("length", 100'000));
            return [this, length] { behaviour.settings().queueLength = length; };
        });
        control.add("health", [this](ControlParameters &p) {
            const Milliseconds lag = p.duration("lag");
            return [this, lag] { settings.healthLag = lag; };
        });
    }

    std::function<void()> readFault(ControlParameters &p)
    {
        BackendSettings changed = behaviour.settings();
        if (p.has("rate"))
            changed.failRate = p.real("rate", 1);
        if (p.has("slow-factor"))
            changed.slowFactor = p.real("slow-factor", 1000);
        if (p.has("after"))
            changed.conditions.minUptime = p.duration("after");
        if (p.has("route"))
            changed.conditions.pathPrefix = p.text("route");
        if (p.has("above-load"))
            changed.conditions.minLoad = p.real("above-load", 1);
        return [this, changed] { behaviour.settings() = changed; };
    }
};

BackendServer::BackendServer(EventLoop &loop, BackendServerSettings settings, Metrics &metrics)
    : impl_(std::make_unique<Impl>(loop, std::move(settings), metrics))
{ }

BackendServer::~BackendServer() = default;

Result<void> BackendServer::listen(const Address &address)
{
    impl_->address = address;
    if (Result<void> listening = impl_->server.listen(address); !listening)
        return listening;
    impl_->sampleHealth();
    impl_->announce();
    impl_->tickTimer = impl_->loop->every(detail::tickPeriod, [this] { impl_->onTick(); });
    impl_->announceTimer
            = impl_->loop->every(detail::announcePeriod, [this] { impl_->announce(); });
    return {};
}

void BackendServer::drain(std::function<void()> done)
{
    impl_->drainCallback = std::move(done);
    impl_->behaviour.drain();
    impl_->announce();
}

void BackendServer::onPoison(std::function<void()> handler)
{
    impl_->poisonHandler = std::move(handler);
}

} // namespace cornelhead
