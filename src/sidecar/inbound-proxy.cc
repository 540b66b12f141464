// Implements the inbound proxy of a node.
#include "cornelhead/sidecar/inbound-proxy.h"

#include <algorithm>
#include <charconv>

#include <event2/buffer.h>
#include <event2/http.h>

#include "cornelhead/proxy/request-head.h"
#include "cornelhead/proxy/response.h"
#include "cornelhead/routing/call-rank.h"
#include "cornelhead/routing/return-schedule.h"
#include "cornelhead/sidecar/inbound-call.h"

namespace cornelhead::detail {

namespace {

constexpr const char *inboundPart = "serving";
/// Idle connections are closed well before servers close them, which takes many seconds; a limit in
/// a Keep-Alive header is ignored.
constexpr Milliseconds defaultMaxReuseAge(3500);
constexpr Milliseconds healthTimeout(500);
/// Timeout of calls without a valid deadline header.
constexpr Milliseconds defaultTimeout(10000);
/// Connections that broke within this time before the server was found down are attributed to its
/// crash.
constexpr Milliseconds deathWindow(1000);
/// Interval of log lines about the calls that a limited server gets.
constexpr Milliseconds limitedCallsInterval(4000);
/// Share of the remaining objective by which a call must end at the server; the rest covers the
/// network and errors of the estimates.
constexpr double objectiveShare = 0.85;
/// Calls that will miss their objective queue behind all priorities.
constexpr std::uint32_t lateRankOffset = maxCallRank;
/// Such a call must end within this many objectives.
constexpr int lateWaitObjectives = 1;

Milliseconds timeoutOf(const evkeyvalq *headers, const std::string &name)
{
    const std::string_view text = findHeader(headers, name.c_str());
    std::int64_t timeoutMs = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), timeoutMs);
    if (error != std::errc() || timeoutMs < 0)
        return defaultTimeout;
    return Milliseconds(timeoutMs);
}

struct KeptResponse
{
    KeptResponse(StoredResponse copy, BufferBudget &buffers)
        : response(std::move(copy)), held(buffers, BufferUse::Control, [] {})
    { }

    const StoredResponse response;
    HeldBytes held;
};

/// The rank of a call in the queue, and until when it is worth running.
struct QueuePosition
{
    std::uint32_t rank = 0;
    TimePoint usefulBy{};
    /// A retry of its caller that can still meet its objective.
    bool isReturning = false;
};

// Time passes within one try as well, on the way and at hosts that hand the call back.
bool isRetryOfCaller(const HopRequest &hop)
{
    return hop.objective - hop.objectiveLeft >= ReturnSchedule::minReturnTime;
}

QueuePosition queuePositionOf(const HopRequest &hop, Microseconds work, TimePoint time,
                              TimePoint deadline)
{
    // The calling server holds a slot while it waits, so the call may use its whole deadline.
    if (hop.rank == 0)
        return QueuePosition{0, deadline};
    const auto usefulTime = Microseconds(static_cast<std::int64_t>(
            static_cast<double>(Microseconds(hop.objectiveLeft).count()) * objectiveShare));
    if (work < usefulTime)
        return QueuePosition{hop.rank, std::min(deadline, time + usefulTime), isRetryOfCaller(hop)};
    // The call misses its objective anyway, so it runs only when no other call needs the slot.
    const Microseconds lateTime = hop.objective * lateWaitObjectives;
    return QueuePosition{hop.rank + lateRankOffset, std::min(deadline, time + lateTime)};
}

} // namespace

InboundProxy::InboundProxy(EventLoop &loop, const Dialect &dialect, const NodeId &run,
                           const Address &server, LocalServer &local, PoisonTracker &poison,
                           Metrics &metrics, EventLog &log, InboundHandlers handlers)
    : loop_(loop), dialect_(dialect), run_(run), server_(server), local_(local), poison_(poison),
      log_(log), handlers_(std::move(handlers)),
      refusals_(metrics.counter("cornelhead_serving_refusals_total")),
      serverCalls_(metrics.counter("cornelhead_server_calls_total")),
      returningCalls_(metrics.counter("cornelhead_serving_returning_total")),
      refusedReturns_(metrics.counter("cornelhead_serving_returning_refused_total")),
      serverLimit_(metrics.gauge("cornelhead_server_limit_per_1000_s")),
      roomsHeld_(metrics.counter("cornelhead_serving_rooms_held_total")),
      roomsExpired_(metrics.counter("cornelhead_serving_rooms_expired_total")),
      inboundBytes_(metrics.gauge("cornelhead_serving_inbound_bytes")),
      pool_(loop.base(), metrics.counter("cornelhead_server_connections_total")),
      healthClient_(loop), maxReuseAge_(defaultMaxReuseAge)
{
    for (std::size_t i = 0; i < headFaultCount; ++i) {
        invalidHeads_[i] = &metrics.counter(
                "cornelhead_server_invalid_heads_total",
                {{"fault", std::string(headFaultName(static_cast<HeadFault>(i)))}});
    }
    for (std::size_t i = 0; i < receiveFaultCount; ++i) {
        longResponses_[i] = &metrics.counter(
                "cornelhead_server_long_answers_total",
                {{"fault", std::string(receiveFaultName(static_cast<ReceiveFault>(i)))}});
    }
}

InboundProxy::~InboundProxy() = default;

HopResponse InboundProxy::hopResponse(HopResult result, HopReason reason) const
{
    const GateLoad load = gate_.load(now(SteadyClock()));
    HopResponse response{result, reason, run_, {}, handlers_.configurationRevision()};
    response.report.running = load.running;
    response.report.waiting = load.waiting;
    response.report.slots = load.slots;
    response.report.wait = load.wait;
    response.report.relativeWork = work_.relativeWork();
    response.report.failureShare = work_.failureShare();
    response.report.counters = samples_.counters();
    response.report.notice = local_.notice();
    response.report.notice.limit = load.limit;
    response.report.demand = load.limit ? load.demand : CallRate();
    response.report.serverStartedAtMs = local_.startedAtMs();
    response.report.link = rooms_.load();
    return response;
}

void InboundProxy::refuse(evhttp_request *request, HopResult result, HopReason reason)
{
    refusals_.add();
    Exchange exchange(loop_, request);
    exchange.addHeader(hopResponseHeader, encodeHopResponse(hopResponse(result, reason)));
    constexpr int statusUnavailable = 503;
    exchange.send(LocalResponse{statusUnavailable, {}, {}});
}

void InboundProxy::serve(evhttp_request *request)
{
    const evkeyvalq *headers = evhttp_request_get_input_headers(request);
    const Result<HopRequest> hop = decodeHopRequest(findHeader(headers, hopRequestHeader));
    const std::string id(findHeader(headers, dialect_.headers.requestId.c_str()));
    if (!hop || id.empty() || findRequestFault(headers, {dialect_.headers.requestId.c_str()})) {
        refuse(request, HopResult::NotRun, HopReason::BadMessage);
        return;
    }
    const TimePoint time = now(SteadyClock());
    pauses_.observe(time);
    struct Visitor
    {
        InboundProxy &proxy;
        evhttp_request *request;
        const std::string &id;
        const HopRequest &hop;
        void operator()(const StartCall &) const { proxy.admit(request, id, hop); }
        void operator()(const AttachToCall &call) const
        {
            proxy.calls_.at(call.ticket)->attachTo(request);
        }
        void operator()(const RepeatOutcome &known) const
        {
            proxy.repeatOutcome(request, known.outcome);
        }
    };
    const CallArrival arrival{id, hop->isResumed, hop->run == run_, hop->isIdempotent};
    std::visit(Visitor{*this, request, id, *hop}, records_.decide(arrival, time));
}

void InboundProxy::admit(evhttp_request *request, const std::string &id, const HopRequest &hop)
{
    expireRooms(now(SteadyClock()));
    const bool wasHeld = rooms_.take(id);
    inboundBytes_.set(static_cast<std::int64_t>(rooms_.load().bytes));
    const HopReason reason = refusalFor(hop, request);
    if (reason != HopReason::None) {
        refuse(request, HopResult::NotRun, reason);
        return;
    }
    applyKnownLimit(hop);
    // Not earlier than the limit that was just set.
    const TimePoint time = now(SteadyClock());
    if (!wasHeld)
        gate_.recordArrival(time);
    if (!wasHeld && hop.mayHandBack && !gate_.isOpen(time))
        refuse(request, HopResult::NotRun, HopReason::Busy);
    else
        start(request, id, hop, wasHeld);
}

void InboundProxy::applyKnownLimit(const HopRequest &hop)
{
    if (hop.knownLimit
        && local_.applyKnownLimit(*hop.knownLimit) == LocalServer::UpdateResult::Changed)
        onNoticeChanged();
}

void InboundProxy::serveOffer(evhttp_request *request)
{
    const evkeyvalq *headers = evhttp_request_get_input_headers(request);
    const Result<OfferRequest> offer = decodeOffer(findHeader(headers, offerHeader));
    const std::string id(findHeader(headers, dialect_.headers.requestId.c_str()));
    if (!offer || id.empty() || findRequestFault(headers, {dialect_.headers.requestId.c_str()})) {
        refuse(request, HopResult::NotRun, HopReason::BadMessage);
        return;
    }
    const HopReason reason = holdRoom(request, id, *offer);
    if (reason != HopReason::None) {
        refuse(request, HopResult::NotRun, reason);
        return;
    }
    roomsHeld_.add();
    Exchange exchange(loop_, request);
    exchange.addHeader(hopResponseHeader,
                       encodeHopResponse(hopResponse(HopResult::NotRun, HopReason::None)));
    constexpr int statusOk = 200;
    exchange.send(LocalResponse{statusOk, {}, {}});
}

HopReason InboundProxy::holdRoom(evhttp_request *request, const std::string &id,
                                 const OfferRequest &offer)
{
    const HopRequest &hop = offer.hop;
    if (const HopReason reason = serverRefusalFor(hop); reason != HopReason::None)
        return reason;
    applyKnownLimit(hop);
    const TimePoint time = now(SteadyClock());
    pauses_.observe(time);
    const CallArrival arrival{id, false, hop.run == run_, hop.isIdempotent};
    // A call that came before gets its outcome, for which it needs no room.
    if (!std::holds_alternative<StartCall>(records_.decide(arrival, time)))
        return HopReason::None;
    expireRooms(time);
    gate_.recordArrival(time);
    rooms_.take(id);
    const Milliseconds timeout
            = timeoutOf(evhttp_request_get_input_headers(request), dialect_.headers.deadline);
    const Microseconds work = work_.expected(hop.route, hop.objective);
    const Microseconds bodyTime = rooms_.arrivalTime(offer.bodyBytes);
    const QueuePosition position = queuePositionOf(hop, work + bodyTime, time,
                                                   time + timeout - pauses_.maxInputAge(time));
    lastTicket_ = lastTicket_.next();
    const GateRequest place{lastTicket_,       position.rank, work,
                            position.usefulBy, hop.customer,  false};
    const ServerGate::Verdict verdict = gate_.judgeRoom(place, bodyTime, time);
    const bool isLinkFull = rooms_.isLinkFull(offer.bodyBytes);
    if (hop.mayHandBack && (isLinkFull || verdict != ServerGate::Verdict::Start))
        return HopReason::Busy;
    if (isLinkFull || verdict == ServerGate::Verdict::Refuse)
        return HopReason::Overload;
    rooms_.hold(id, place, offer.bodyBytes, time);
    inboundBytes_.set(static_cast<std::int64_t>(rooms_.load().bytes));
    return HopReason::None;
}

void InboundProxy::expireRooms(TimePoint time)
{
    const std::size_t expired = rooms_.removeExpired(time);
    inboundBytes_.set(static_cast<std::int64_t>(rooms_.load().bytes));
    if (expired == 0)
        return;
    roomsExpired_.add(expired);
    log_.write(EventKind::Failure, inboundPart, "rooms-expired",
               {{"rooms", expired}, {"roomsLeft", rooms_.size()}});
}

HopReason InboundProxy::serverRefusalFor(const HopRequest &hop) const
{
    if (isStopping_)
        return HopReason::Stopping;
    const HostedServer *server = local_.usable();
    if (!server)
        return HopReason::ServerGone;
    if (server->service != hop.service || server->id != hop.server)
        return HopReason::WrongServer;
    return HopReason::None;
}

HopReason InboundProxy::refusalFor(const HopRequest &hop, evhttp_request *request) const
{
    if (const HopReason reason = serverRefusalFor(hop); reason != HopReason::None)
        return reason;
    const bool isPoison = poison_.hasSuspects()
            && poison_.isRefused(hostRequestFingerprint(request), now(SteadyClock()));
    return isPoison ? HopReason::Poison : HopReason::None;
}

void InboundProxy::repeatOutcome(evhttp_request *request, const CallOutcome &outcome)
{
    if (!outcome.response) {
        refuse(request, outcome.result == HopResult::Answered ? HopResult::Unknown : outcome.result,
               outcome.reason);
        return;
    }
    Exchange exchange(loop_, request);
    exchange.addHeader(hopResponseHeader,
                       encodeHopResponse(hopResponse(HopResult::Answered, HopReason::None)));
    exchange.forward(*outcome.response);
}

void InboundProxy::start(evhttp_request *request, const std::string &id, const HopRequest &hop,
                         bool wasHeld)
{
    const TimePoint time = now(SteadyClock());
    const Milliseconds timeout
            = timeoutOf(evhttp_request_get_input_headers(request), dialect_.headers.deadline);
    // The request may have waited unread while this process stood still, and its caller may have
    // given up.
    const Microseconds timeLeft = timeout - pauses_.maxInputAge(time);
    if (timeLeft <= Microseconds(0)) {
        refuse(request, HopResult::NotRun, HopReason::Timeout);
        return;
    }
    const TimePoint deadline = time + timeLeft;
    lastTicket_ = lastTicket_.next();
    const auto call = std::make_shared<InboundCall>(*this, request, id, hop, lastTicket_, deadline);
    call->watchConnection();
    calls_.emplace(lastTicket_, call);
    records_.start(id, lastTicket_, time + timeout);

    const Microseconds work = work_.expected(hop.route, hop.objective);
    const QueuePosition position = queuePositionOf(hop, work, time, deadline);
    std::vector<GateTicket> tooLate;
    const bool isReturning = position.isReturning && (isReturningFirst_ || !hop.customer.empty());
    const GateRequest place{lastTicket_,       position.rank, work,
                            position.usefulBy, hop.customer,  isReturning};
    const ServerGate::Verdict verdict
            = wasHeld ? gate_.admitHeld(place, time, tooLate) : gate_.offer(place, time, tooLate);
    if (isReturning) {
        returningCalls_.add();
        if (verdict == ServerGate::Verdict::Refuse)
            refusedReturns_.add();
    }
    refuseAll(tooLate, HopReason::Overload);
    if (verdict == ServerGate::Verdict::Start)
        call->run();
    else if (verdict == ServerGate::Verdict::Refuse)
        call->refuse(HopReason::Overload);
    else
        scheduleWaitingCalls();
}

void InboundProxy::refuseAll(const std::vector<GateTicket> &tickets, HopReason reason)
{
    for (const GateTicket ticket : tickets) {
        const auto call = calls_.find(ticket);
        if (call != calls_.end())
            std::shared_ptr<InboundCall>(call->second)->refuse(reason);
    }
}

void InboundProxy::startWaitingCalls()
{
    std::vector<GateTicket> tooLate;
    while (const auto ticket = gate_.startNext(now(SteadyClock()), tooLate)) {
        const auto call = calls_.find(*ticket);
        if (call != calls_.end())
            std::shared_ptr<InboundCall>(call->second)->run();
        else
            gate_.remove(*ticket);
    }
    refuseAll(tooLate, HopReason::Overload);
    if (const auto wait = gate_.limitWait(now(SteadyClock()))) {
        paceTimer_ = loop_.after(std::chrono::ceil<Milliseconds>(*wait),
                                 [this] { startWaitingCalls(); });
    }
}

void InboundProxy::onCallEnd(InboundCall &call)
{
    records_.finish(call.id(), CallOutcome{call.result(), call.reason(), call.storedResponse()});
    if (call.reason() == HopReason::Overload)
        samples_.recordRefusal();
    const bool isFailure = call.result() != HopResult::Answered;
    const EventKind kind = isFailure ? EventKind::Failure : EventKind::Success;
    if (isFailure)
        refusals_.add();
    if (log_.hasBudget(kind)) {
        const GateLoad load = gate_.load(now(SteadyClock()));
        log_.write(kind, inboundPart, "call-ended",
                   {{"id", call.id()},
                    {"route", call.hop().route.value()},
                    {"customer", call.hop().customer.value()},
                    {"objectiveLeftMs", call.hop().objectiveLeft.count()},
                    {"result", static_cast<int>(call.result())},
                    {"reason", hopReasonName(call.reason())},
                    {"sample", callSampleName(call.sample())},
                    {"workMs", call.workTime().count()},
                    {"running", load.running},
                    {"waiting", load.waiting},
                    {"slots", load.slots},
                    {"limitPerSecond", load.limit ? load.limit->perSecond() : 0.0},
                    {"demandPerSecond", load.demand.perSecond()},
                    {"relativeWork", work_.relativeWork()}});
    }
    // The call must not be freed inside its own callbacks.
    const auto owned = calls_.find(call.ticket());
    if (owned != calls_.end()) {
        loop_.post([kept = owned->second] {});
        calls_.erase(owned);
    }
    scheduleWaitingCalls();
}

// Starts them outside of the callback that freed a slot.  A start that is due already is not put
// off: in a flood of refusals every turn of the loop ends calls.
void InboundProxy::scheduleWaitingCalls()
{
    if (std::exchange(isStartScheduled_, true))
        return;
    startTimer_ = loop_.after(Milliseconds(0), [this] {
        isStartScheduled_ = false;
        startWaitingCalls();
    });
}

CallSample InboundProxy::recordEnd(const InboundCall &call, CallEnd end)
{
    const TimePoint time = now(SteadyClock());
    pauses_.observe(time);
    const Microseconds objective = call.hop().objective;
    const Microseconds duration = time - call.startedAt() - pauses_.pausedSince(call.startedAt());
    work_.record(call.hop().route, duration, objective, end);
    return samples_.record(EndedCall{end, call.wasServerWarm(), duration, objective});
}

void InboundProxy::recordBrokenCall(const InboundCall &call)
{
    const TimePoint time = now(SteadyClock());
    const HostedServer *server = local_.usable();
    if (!server)
        return;
    brokenCalls_.emplace_back(SuspectedDeath{call.fingerprint(), server->id,
                                             time - call.startedAt(), Microseconds(0)},
                              time);
}

void InboundProxy::recordResponse(const InboundCall &call)
{
    if (poison_.recordResponse(call.fingerprint(), now(SteadyClock())))
        handlers_.onSuspicionCleared(call.fingerprint());
}

void InboundProxy::recordInvalidHead(const InboundCall &call, HeadFault fault)
{
    invalidHeads_[static_cast<std::size_t>(fault)]->add();
    log_.write(EventKind::Failure, inboundPart, "answer-invalid",
               {{"id", call.id()}, {"fault", headFaultName(fault)}});
}

void InboundProxy::recordLongResponse(const InboundCall &call, ReceiveFault fault)
{
    longResponses_[static_cast<std::size_t>(fault)]->add();
    log_.write(EventKind::Failure, inboundPart, "answer-too-long",
               {{"id", call.id()}, {"fault", receiveFaultName(fault)}});
}

std::shared_ptr<const StoredResponse> InboundProxy::keepResponse(const InboundCall &call,
                                                                 evhttp_request *response)
{
    const std::size_t size = evbuffer_get_length(evhttp_request_get_input_buffer(response));
    BufferBudget &buffers = loop_.buffers();
    // Kept responses cannot be evicted, so they leave room for calls that can.
    if (buffers.held() + size > buffers.limit() / 2) {
        log_.write(EventKind::Failure, inboundPart, "answer-not-kept",
                   {{"id", call.id()}, {"bytes", size}, {"held", buffers.held()}});
        return nullptr;
    }
    const auto kept = std::make_shared<KeptResponse>(copyResponse(response), buffers);
    kept->held.set(size);
    return {kept, &kept->response};
}

void InboundProxy::observeNotice(std::string_view limit, std::string_view leaving)
{
    const Result<ServerNotice> notice = readServerNotice(limit, leaving);
    if (!notice) {
        log_.write(EventKind::Failure, inboundPart, "server-notice-refused",
                   {{"why", notice.error().describe()}});
        return;
    }
    if (local_.apply(*notice) == LocalServer::UpdateResult::Changed)
        onNoticeChanged();
}

void InboundProxy::onNoticeChanged()
{
    const ServerNotice &notice = local_.notice();
    logLimitedCalls();
    const double perSecond = notice.limit ? notice.limit->perSecond() : 0.0;
    serverLimit_.set(static_cast<std::int64_t>(perSecond * 1000.0));
    log_.write(EventKind::StateChange, inboundPart, "server-notice",
               {{"isLimited", notice.limit.has_value()},
                {"limitPerSecond", perSecond},
                {"isLeaving", notice.isLeaving}});
    refresh();
    if (notice.isLeaving)
        handlers_.onServerChanged();
}

void InboundProxy::countServerCall()
{
    serverCalls_.add();
    ++limitedCalls_;
}

// Logs how many calls the limited server got since the last such line.
void InboundProxy::logLimitedCalls()
{
    const TimePoint time = now(SteadyClock());
    const auto since = limitedSince_;
    const std::optional<CallRate> limit = local_.notice().limit;
    limitedSince_ = limit ? std::optional(time) : std::nullopt;
    const std::uint64_t calls = std::exchange(limitedCalls_, 0);
    if (!since)
        return;
    log_.write(EventKind::StateChange, inboundPart, "limited-server-calls",
               {{"calls", calls},
                {"overMs", std::chrono::duration_cast<Milliseconds>(time - *since).count()},
                {"limitPerSecond", limit ? limit->perSecond() : 0.0}});
}

void InboundProxy::onConnectFailed()
{
    pool_.dropIdle(server_, TimePoint::max());
    if (!local_.markDown())
        return;
    // It may come back as another run, before that run's first heartbeat.
    warmUp_.reset();
    const TimePoint time = now(SteadyClock());
    std::vector<SuspectedDeath> deaths;
    for (auto &[death, brokenAt] : brokenCalls_) {
        if (time - brokenAt > deathWindow)
            continue;
        death.brokeAgo = time - brokenAt;
        death.startedAgo += time - brokenAt;
        deaths.push_back(death);
    }
    brokenCalls_.clear();
    log_.write(EventKind::StateChange, inboundPart, "server-down",
               {{"server", server_.toString()}, {"callsCut", deaths.size()}});
    refuseAll(gate_.removeWaiting(), HopReason::ServerGone);
    if (!deaths.empty())
        handlers_.onDeaths(deaths);
    handlers_.onServerChanged();
}

void InboundProxy::observeHeartbeat(const ServerAnnouncement &announcement)
{
    warmUp_.observe(announcement, now(SteadyClock()));
}

void InboundProxy::refresh()
{
    if (const HostedServer *server = local_.usable()) {
        gate_.setSlots(server->slots);
        gate_.setLimit(local_.notice().limit, now(SteadyClock()));
        scheduleWaitingCalls();
    } else {
        refuseAll(gate_.removeWaiting(), HopReason::ServerGone);
    }
}

void InboundProxy::stop()
{
    isStopping_ = true;
    rooms_.clear();
    refuseAll(gate_.removeWaiting(), HopReason::Stopping);
}

bool InboundProxy::isRunning(const std::string &id) const
{
    const std::optional<GateTicket> ticket = records_.findActive(id);
    return ticket && !gate_.isWaiting(*ticket);
}

std::size_t InboundProxy::active() const
{
    return calls_.size();
}

void InboundProxy::sweep()
{
    const TimePoint time = now(SteadyClock());
    pauses_.observe(time);
    records_.sweep(time);
    expireRooms(time);
    std::erase_if(brokenCalls_,
                  [&](const auto &entry) { return time - entry.second > deathWindow; });
    work_.decay(CallRecords::sweepPeriod);
    pool_.closeIdle(time - maxReuseAge_);
    if (limitedSince_ && time - *limitedSince_ >= limitedCallsInterval)
        logLimitedCalls();
    poison_.expire(time);
}

void InboundProxy::probe(const std::string &healthPath)
{
    if (isProbing_ || !local_.hasServer() || !local_.isDown())
        return;
    isProbing_ = true;
    const HttpRequest request{HttpMethod::Get, healthPath, {}, {}, {}};
    healthClient_.send(server_, request, healthTimeout,
                       [this](const Result<HttpResponse> &response) {
                           isProbing_ = false;
                           if (response)
                               onHealthResponse(*response);
                       });
}

void InboundProxy::onHealthResponse(const HttpResponse &response)
{
    const auto id = response.headers.find(dialect_.headers.serverId);
    constexpr int statusOk = 200;
    if (response.status != statusOk || id == response.headers.end())
        return;
    if (!local_.markHealthy(ServerId(id->second)))
        return;
    log_.write(EventKind::StateChange, inboundPart, "server-healthy", {{"server", id->second}});
    const auto header = [&response](const std::string &name) {
        const auto found = response.headers.find(name);
        return found == response.headers.end() ? std::string() : found->second;
    };
    observeNotice(header(dialect_.headers.serverLimit), header(dialect_.headers.serverLeaving));
    refresh();
    handlers_.onServerChanged();
}

} // namespace cornelhead::detail
