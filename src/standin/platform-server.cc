// Connects the store and the fault injection to HTTP.
#include "cornelhead/standin/platform-server.h"

#include <array>
#include <list>

#include "cornelhead/base/log.h"
#include "cornelhead/platform/wire.h"
#include "cornelhead/standin/control.h"
#include "cornelhead/standin/platform-faults.h"
#include "cornelhead/standin/rate-limiter.h"

namespace cornelhead {
namespace detail {

using nlohmann::json;

/// The maximum delay of lease expiry and of the end of an outage.
constexpr Milliseconds tickPeriod(10);
constexpr Milliseconds maxWatchTime(60'000);
constexpr Milliseconds maxDelay(60'000);
constexpr double maxCallsPerSecond = 1e6;

enum class Operation { Get, List, Watch, Put, Remove, Grant, KeepAlive, Revoke };

struct OperationEntry
{
    Operation operation;
    const char *path;
    const char *name;
    bool isWrite;
};

constexpr std::array<OperationEntry, 8> operations = {{
        {Operation::Get, "/v1/get", "get", false},
        {Operation::List, "/v1/list", "list", false},
        {Operation::Watch, "/v1/watch", "watch", false},
        {Operation::Put, "/v1/put", "put", true},
        {Operation::Remove, "/v1/remove", "remove", true},
        {Operation::Grant, "/v1/lease/grant", "grant", true},
        {Operation::KeepAlive, "/v1/lease/keep-alive", "keep-alive", true},
        {Operation::Revoke, "/v1/lease/revoke", "revoke", true},
}};

const OperationEntry *findOperation(const HttpRequest &request)
{
    for (const OperationEntry &entry : operations) {
        const HttpMethod method = entry.isWrite ? HttpMethod::Post : HttpMethod::Get;
        if (request.path == entry.path && request.method == method)
            return &entry;
    }
    return nullptr;
}

DataCentreId callerOf(const HttpRequest &request)
{
    const auto header = request.headers.find(dataCentreHeader);
    return DataCentreId(header == request.headers.end() ? "" : header->second);
}

HttpResponse toResponse(const Result<void> &result)
{
    return result ? jsonResponse(200, "{}") : errorResponse(result.error());
}

ExpectedRevision expectCurrent(KeyValueStore &store, const std::string &key)
{
    const std::optional<KeyValue> current = store.get(key);
    return current ? ExpectedRevision{current->modRevision} : ExpectedRevision{};
}

/// Runs a write whose parameters are in the body; throws json::exception for an invalid body.
HttpResponse runWrite(KeyValueStore &store, Operation operation, const json &body)
{
    const auto lease = [&] { return LeaseId(body.at("lease").get<std::string>()); };
    const auto expected = [&] {
        return ExpectedRevision{ModRevision(body.at("expected").get<std::uint64_t>())};
    };
    const auto key = [&] { return body.at("key").get<std::string>(); };
    if (operation == Operation::Remove)
        return toResponse(store.remove(key(), expected()));
    if (operation == Operation::KeepAlive)
        return toResponse(store.keepAlive(lease()));
    if (operation == Operation::Revoke)
        return toResponse(store.revoke(lease()));
    if (operation == Operation::Grant) {
        const auto granted = store.grant(Milliseconds(body.at("ttlMs").get<std::int64_t>()));
        return granted ? jsonResponse(200, json{{"lease", granted->value()}}.dump())
                       : errorResponse(granted.error());
    }
    const std::optional<LeaseId> leaseId
            = body.contains("lease") ? std::optional(lease()) : std::nullopt;
    // Without an expected revision the write is unconditional.
    const ExpectedRevision precondition
            = body.contains("expected") ? expected() : expectCurrent(store, key());
    const auto written
            = store.put(key(), body.at("value").get<std::string>(), precondition, leaseId);
    return written ? jsonResponse(200, json{{"modRevision", written->value()}}.dump())
                   : errorResponse(written.error());
}

HttpResponse runRead(KeyValueStore &store, Operation operation, ControlParameters &parameters)
{
    if (operation == Operation::List)
        return jsonResponse(200, toJson(store.list(parameters.text("prefix"))).dump());
    const std::optional<KeyValue> found = store.get(parameters.text("key"));
    json body = found ? toJson(*found) : json::object();
    body["found"] = found.has_value();
    return jsonResponse(200, body.dump());
}

HttpResponse runCall(KeyValueStore &store, const OperationEntry &entry, const HttpRequest &request)
{
    if (!entry.isWrite) {
        ControlParameters parameters(request.query);
        HttpResponse response = runRead(store, entry.operation, parameters);
        return parameters.fault() ? errorResponse(*parameters.fault()) : response;
    }
    try {
        return runWrite(store, entry.operation, json::parse(request.body));
    } catch (const json::exception &error) {
        return errorResponse(Error{ErrorKind::InvalidMessage, "the request body is invalid",
                                   std::string("send the JSON body that the operation requires: ")
                                           + error.what()});
    }
}

} // namespace detail

struct PlatformServer::Impl
{
    // A watch without changes to report so far.
    struct WaitingWatch
    {
        DataCentreId caller;
        std::string prefix;
        ModRevision after;
        TimePoint deadline;
        Responder responder;
    };
    struct HungCall
    {
        DataCentreId caller;
        Responder responder;
    };
    // A call that waits for the added delay.
    struct DelayedCall
    {
        Timer timer;
        bool isDone = false;
    };

    EventLoop *loop;
    Metrics *metrics;
    Clock clock = SteadyClock();
    KeyValueStore store;
    RateLimiter readLimiter;
    RateLimiter writeLimiter;
    PlatformFaults faults;
    // The state that /control/restore returns to.
    std::shared_ptr<const KeyValueStore::Copy> copy;
    ControlTable control;
    HttpServer callServer;
    HttpServer controlServer;
    Address address;
    std::list<WaitingWatch> waitingWatches;
    std::list<DelayedCall> delayedCalls;
    // Calls whose connections stay open without a response; they were not run.
    std::list<HungCall> hungCalls;
    bool isListening = false;
    std::function<void()> drainCallback;
    std::map<std::string, std::uint64_t> callCounts;
    Timer tickTimer;

    Impl(EventLoop &eventLoop, const PlatformServerSettings &settings, Metrics &registry)
        : loop(&eventLoop), metrics(&registry), store(settings.limits, clock, settings.seed),
          readLimiter(settings.readsPerSecond, clock),
          writeLimiter(settings.writesPerSecond, clock), faults(clock, settings.seed),
          callServer(eventLoop, {}), controlServer(eventLoop, {})
    {
        const auto handler = [this](const HttpRequest &request, const Responder &responder) {
            serve(request, responder);
        };
        callServer.setHandler(handler);
        controlServer.setHandler([this](const HttpRequest &request, const Responder &responder) {
            responder.send(serveControl(request));
        });
        addCommands();
        tickTimer = loop->every(detail::tickPeriod, [this] { onTick(); });
    }

    void serve(const HttpRequest &request, const Responder &responder)
    {
        const detail::OperationEntry *operation = detail::findOperation(request);
        if (!operation) {
            responder.send(serveControl(request));
            return;
        }
        const FaultDecision decision = faults.decide(detail::callerOf(request), operation->isWrite);
        if (const auto *serveCall = std::get_if<ServeCall>(&decision))
            admit(*operation, *serveCall, request, responder);
        else
            fail(decision, detail::callerOf(request), responder);
    }

    void fail(const FaultDecision &decision, const DataCentreId &caller, const Responder &responder)
    {
        const bool isHanging = std::holds_alternative<HangCall>(decision);
        metrics->counter("cornelhead_platform_faults_total",
                         {{"fault", isHanging ? "hang" : "drop"}})
                .add();
        if (isHanging)
            hungCalls.push_back(HungCall{caller, responder});
        else
            responder.closeConnection();
    }

    void count(const std::string &operation, const std::string &result)
    {
        metrics->counter("cornelhead_platform_served_total",
                         {{"operation", operation}, {"result", result}})
                .add();
        ++callCounts[operation];
        if (result == "rate-limited")
            ++callCounts["rate-limited"];
    }

    void admit(const detail::OperationEntry &operation, const ServeCall &decision,
               const HttpRequest &request, const Responder &responder)
    {
        RateLimiter &limiter = operation.isWrite ? writeLimiter : readLimiter;
        if (!limiter.admit()) {
            count(operation.name, "rate-limited");
            send(responder,
                 detail::errorResponse(Error{ErrorKind::RateLimited,
                                             "the call rate exceeds the platform's limit",
                                             "reduce the call rate and retry with back-off"}));
            return;
        }
        count(operation.name, "admitted");
        if (decision.delay == Milliseconds()) {
            run(operation, decision, request, responder);
            return;
        }
        DelayedCall &call = delayedCalls.emplace_back();
        call.timer = loop->after(decision.delay,
                                 [this, &call, &operation, decision, request, responder] {
                                     call.isDone = true;
                                     run(operation, decision, request, responder);
                                 });
    }

    void send(const Responder &responder, HttpResponse response) const
    {
        response.headers[detail::storeEraHeader] = std::to_string(store.era().value());
        responder.send(response);
    }

    void run(const detail::OperationEntry &operation, const ServeCall &decision,
             const HttpRequest &request, const Responder &responder)
    {
        if (operation.operation == detail::Operation::Watch) {
            watch(request, responder);
            return;
        }
        const HttpResponse response = detail::runCall(store, operation, request);
        if (decision.losesResponse) {
            metrics->counter("cornelhead_platform_faults_total", {{"fault", "lost-answer"}}).add();
            responder.closeConnection();
        } else {
            send(responder, response);
        }
        answerWatches();
    }

    void watch(const HttpRequest &request, const Responder &responder)
    {
        ControlParameters parameters(request.query);
        const std::string prefix = parameters.text("prefix");
        const ModRevision after(parameters.integer("after", UINT64_MAX));
        const Milliseconds wait(parameters.integer(
                "wait", static_cast<std::uint64_t>(detail::maxWatchTime.count())));
        if (parameters.fault()) {
            send(responder, detail::errorResponse(*parameters.fault()));
            return;
        }
        const WaitingWatch entry{detail::callerOf(request), prefix, after, now(clock) + wait,
                                 responder};
        if (!tryAnswerWatch(entry))
            waitingWatches.push_back(entry);
    }

    /// Answers or fails a watch that has changes, an error, a timeout or a partitioned caller;
    /// returns whether it did.
    bool tryAnswerWatch(const WaitingWatch &watch)
    {
        const FaultDecision decision = faults.decide(watch.caller, false);
        if (!std::holds_alternative<ServeCall>(decision)) {
            fail(decision, watch.caller, watch.responder);
            return true;
        }
        const Result<WatchResponse> answer = store.changes(watch.prefix, watch.after);
        if (!answer) {
            send(watch.responder, detail::errorResponse(answer.error()));
            return true;
        }
        const bool isEmpty = answer->changed.empty() && answer->removed.empty();
        if (isEmpty && now(clock) < watch.deadline && !drainCallback)
            return false;
        send(watch.responder, jsonResponse(200, detail::toJson(*answer).dump()));
        return true;
    }

    void answerWatches()
    {
        waitingWatches.remove_if(
                [this](const WaitingWatch &watch) { return tryAnswerWatch(watch); });
    }

    void onTick()
    {
        store.expireLeases();
        delayedCalls.remove_if([](const DelayedCall &call) { return call.isDone; });
        applyOutage();
        waitingWatches.remove_if([this](const WaitingWatch &watch) {
            return watch.responder.isDisconnected() || tryAnswerWatch(watch);
        });
        metrics->gauge("cornelhead_platform_keys").set(static_cast<std::int64_t>(store.size()));
        metrics->gauge("cornelhead_platform_leases")
                .set(static_cast<std::int64_t>(store.leaseCount()));
        metrics->gauge("cornelhead_platform_waiting_watches")
                .set(static_cast<std::int64_t>(waitingWatches.size()));
        if (drainCallback && callServer.pendingRequests() == 0 && delayedCalls.empty())
            std::exchange(drainCallback, nullptr)();
    }

    /// Opens or closes the listener according to the outage, and drops hung calls when it ends.
    void applyOutage()
    {
        const std::optional<OutageMode> outage = faults.outage();
        const bool wantsListener = outage != OutageMode::Refuse && !drainCallback;
        if (isListening && !wantsListener) {
            callServer.stopListening();
            isListening = false;
        } else if (!isListening && wantsListener) {
            isListening = callServer.listen(address).has_value();
        }
        hungCalls.remove_if([this](const HungCall &call) {
            const FaultDecision decision = faults.decide(call.caller, false);
            const bool hasEnded = !std::holds_alternative<HangCall>(decision) || drainCallback;
            if (hasEnded)
                call.responder.closeConnection();
            return hasEnded;
        });
    }

    HttpResponse serveControl(const HttpRequest &request)
    {
        if (isControlPath(request.path) && request.method == HttpMethod::Post)
            return control.run(request);
        if (request.path == "/metrics")
            return HttpResponse{200, {{"Content-Type", "text/plain"}}, metrics->render()};
        if (request.path == "/status")
            return jsonResponse(200, status().dump());
        return detail::errorResponse(
                Error{ErrorKind::NotFound, "unknown path", "see docs/operators/stand-ins.md"});
    }

    detail::json status() const
    {
        detail::json counts = detail::json::object();
        for (const auto &[operation, count] : callCounts)
            counts[operation] = count;
        return {{"revision", store.revision().value()},
                {"era", store.era().value()},
                {"keys", store.size()},
                {"leases", store.leaseCount()},
                {"waitingWatches", waitingWatches.size()},
                {"isOut", faults.outage().has_value()},
                {"calls", counts}};
    }

    static OutageMode readMode(ControlParameters &parameters)
    {
        const std::string mode = parameters.has("mode") ? parameters.text("mode") : "refuse";
        if (mode == "hang")
            return OutageMode::Hang;
        if (mode != "refuse")
            parameters.addFault("mode", "give refuse or hang");
        return OutageMode::Refuse;
    }

    std::function<void()> readOutage(ControlParameters &parameters)
    {
        if (parameters.has("mode") && parameters.text("mode") == "off")
            return [this] { faults.endOutage(); };
        const OutageMode mode = readMode(parameters);
        std::optional<Milliseconds> duration;
        if (parameters.has("for"))
            duration = parameters.duration("for");
        return [this, mode, duration] { faults.startOutage(mode, duration); };
    }

    std::function<void()> readLostAnswers(ControlParameters &parameters)
    {
        if (parameters.has("next")) {
            const std::uint64_t count = parameters.integer("next", 1'000'000);
            return [this, count] { faults.loseNextResponses(count); };
        }
        const double probability = parameters.real("probability", 1);
        const std::uint64_t seed
                = parameters.has("seed") ? parameters.integer("seed", UINT64_MAX) : 1;
        return [this, probability, seed] { faults.setResponseLoss(probability, seed); };
    }

    std::function<void()> readPartition(ControlParameters &parameters)
    {
        std::set<DataCentreId> dataCentres;
        for (const std::string &name : parameters.list("data-centres"))
            dataCentres.insert(DataCentreId(name));
        const OutageMode mode = readMode(parameters);
        return [this, dataCentres, mode] { faults.setPartition(dataCentres, mode); };
    }

    void addCommands()
    {
        control.add("outage", [this](ControlParameters &p) { return readOutage(p); });
        control.add("lost-answers", [this](ControlParameters &p) { return readLostAnswers(p); });
        control.add("partition", [this](ControlParameters &p) { return readPartition(p); });
        control.add("slowness", [this](ControlParameters &p) {
            const Milliseconds added = p.duration("added");
            if (added > detail::maxDelay)
                p.addFault("added", "give at most a minute");
            return [this, added] { faults.setDelay(added); };
        });
        control.add("limits", [this](ControlParameters &p) {
            const double readRate = p.real("reads", detail::maxCallsPerSecond);
            const double writeRate = p.real("writes", detail::maxCallsPerSecond);
            return [this, readRate, writeRate] {
                readLimiter = RateLimiter(readRate, clock);
                writeLimiter = RateLimiter(writeRate, clock);
            };
        });
        control.add("copy",
                    [this](ControlParameters &) { return [this] { copy = store.copy(); }; });
        control.add("restore", [this](ControlParameters &p) {
            if (!copy)
                p.addFault("restore", "take a copy first, with /control/copy");
            return [this] {
                store.restore(*copy);
                answerWatches();
            };
        });
        control.add("reset-counters",
                    [this](ControlParameters &) { return [this] { callCounts.clear(); }; });
    }
};

PlatformServer::PlatformServer(EventLoop &loop, PlatformServerSettings settings, Metrics &metrics)
    : impl_(std::make_unique<Impl>(loop, settings, metrics))
{ }

PlatformServer::~PlatformServer() = default;

Result<void> PlatformServer::listen(const Address &address)
{
    impl_->address = address;
    Result<void> listening = impl_->callServer.listen(address);
    impl_->isListening = listening.has_value();
    return listening;
}

Result<void> PlatformServer::listenControl(const Address &address)
{
    return impl_->controlServer.listen(address);
}

void PlatformServer::drain(std::function<void()> done)
{
    impl_->drainCallback = std::move(done);
}

} // namespace cornelhead
