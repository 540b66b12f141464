// Implements the serving side of a node.
#include "cornelhead/sidecar/serving-side.h"

#include <algorithm>
#include <charconv>

#include <event2/http.h>

#include "cornelhead/proxy/request-head.h"
#include "cornelhead/sidecar/serving-call.h"

namespace cornelhead::detail {

namespace {

constexpr const char *servingPart = "serving";
/// Idle connections are closed well ahead of servers, which keep theirs for many seconds; a limit
/// told in Keep-Alive is not read.
constexpr Milliseconds defaultReuseLimit(3500);
constexpr Milliseconds healthTimeout(500);
/// Calls without a deadline are given up after it.
constexpr Milliseconds defaultDeadline(10000);
/// Ids are remembered a little longer than anyone can ask again.
constexpr Milliseconds rememberGrace(1000);
/// Connections that broke within this time before the server was found dead broke by its death.
constexpr Milliseconds deathWindow(1000);
/// A queue is worth waiting in as long as the answer may earn its whole credit; the rest of the
/// objective covers the network and what the estimates miss.
constexpr double waitPart = 0.85;
/// Calls that are late anyway come after all priorities, and wait for at most so many objectives.
constexpr std::uint32_t lateRanks = 100;
constexpr int lateObjectives = 1;
constexpr Milliseconds sweepPeriod(250);

Milliseconds deadlineOf(const evkeyvalq *headers, const std::string &name)
{
    const std::string_view text = findHeader(headers, name.c_str());
    std::int64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || value < 0)
        return defaultDeadline;
    return Milliseconds(value);
}

/// Where a call stands in the queue, and until when its answer is worth a slot.
struct Usefulness
{
    std::uint32_t rank = 0;
    TimePoint usefulBy{};
};

Usefulness usefulnessOf(const HopRequest &hop, Microseconds work, TimePoint time,
                        TimePoint finishBy)
{
    // A server that waits for the call holds a slot meanwhile, so it may use the whole deadline.
    if (hop.rank == 0)
        return Usefulness{0, finishBy};
    const auto usefulTime = Microseconds(static_cast<std::int64_t>(
            static_cast<double>(Microseconds(hop.objectiveLeft).count()) * waitPart));
    if (work < usefulTime)
        return Usefulness{hop.rank, std::min(finishBy, time + usefulTime)};
    // The answer will be late in any case: it fills what calls that may be in time leave over.
    const Microseconds lateTime = hop.objective * lateObjectives;
    return Usefulness{hop.rank + lateRanks, std::min(finishBy, time + lateTime)};
}

} // namespace

ServingSide::ServingSide(EventLoop &loop, const Dialect &dialect, const NodeId &run,
                         const Address &server, LocalServer &local, PoisonBook &poison,
                         Metrics &metrics, EventLog &log, ServingHandlers handlers)
    : loop_(loop), dialect_(dialect), run_(run), server_(server), local_(local), poison_(poison),
      log_(log), handlers_(std::move(handlers)),
      refusals_(metrics.counter("cornelhead_serving_refusals_total")),
      pool_(loop.base(), metrics.counter("cornelhead_server_connections_total")), health_(loop),
      reuseLimit_(defaultReuseLimit)
{ }

ServingSide::~ServingSide() = default;

HopAnswer ServingSide::hopAnswer(HopResult result, HopReason reason) const
{
    const GateLoad load = gate_.load(now(SteadyClock()));
    HopAnswer answer{result, reason, run_, {}, handlers_.configurationRevision()};
    answer.report.running = load.running;
    answer.report.waiting = load.waiting;
    answer.report.slots = load.slots;
    answer.report.wait = load.wait;
    answer.report.relativeWork = work_.relativeWork();
    answer.report.failureShare = work_.failureShare();
    answer.report.answers = answers_;
    answer.report.failures = failures_;
    answer.report.timedAnswers = timedAnswers_;
    answer.report.lateAnswers = lateAnswers_;
    answer.report.relativeWorkSum = relativeWorkSum_;
    return answer;
}

void ServingSide::refuse(evhttp_request *request, HopResult result, HopReason reason)
{
    refusals_.add();
    Exchange exchange(loop_, request);
    exchange.addHeader(hopAnswerHeader, encodeHopAnswer(hopAnswer(result, reason)));
    constexpr int refused = 503;
    exchange.send(OwnAnswer{refused, {}, {}});
}

void ServingSide::serve(evhttp_request *request)
{
    const evkeyvalq *headers = evhttp_request_get_input_headers(request);
    const Result<HopRequest> hop = decodeHopRequest(findHeader(headers, hopRequestHeader));
    const std::string id(findHeader(headers, dialect_.headers.requestId.c_str()));
    if (!hop || id.empty()) {
        refuse(request, HopResult::NotRun, HopReason::BadMessage);
        return;
    }
    if (resume(request, id, *hop))
        return;
    if (hop->isResumed && hop->run != run_) {
        refuse(request, HopResult::Unknown, HopReason::OtherRun);
        return;
    }
    const HopReason reason = refusalFor(*hop, request);
    if (reason != HopReason::None) {
        refuse(request, HopResult::NotRun, reason);
        return;
    }
    start(request, id, *hop);
}

HopReason ServingSide::refusalFor(const HopRequest &hop, evhttp_request *request) const
{
    if (isStopping_)
        return HopReason::Stopping;
    const HostedServer *server = local_.usable();
    if (!server)
        return HopReason::ServerGone;
    if (server->service != hop.service || server->id != hop.server)
        return HopReason::OtherServer;
    const bool isPoison = poison_.hasSuspects()
            && poison_.isRefused(requestFingerprint(request), now(SteadyClock()));
    return isPoison ? HopReason::Poison : HopReason::None;
}

bool ServingSide::resume(evhttp_request *request, const std::string &id, const HopRequest &hop)
{
    const auto found = byId_.find(id);
    if (found == byId_.end())
        return false;
    const Remembered &remembered = found->second;
    const bool mayRunAgain = remembered.result == HopResult::NotRun
            || remembered.result == HopResult::Shed || hop.isIdempotent;
    // A new try of a call that has ended here is one like any other.
    if (!remembered.call && !hop.isResumed && mayRunAgain)
        return false;
    if (remembered.call) {
        remembered.call->moveTo(request);
        return true;
    }
    if (!remembered.answer) {
        refuse(request,
               remembered.result == HopResult::Answered ? HopResult::Unknown : remembered.result,
               remembered.reason);
        return true;
    }
    Exchange exchange(loop_, request);
    exchange.addHeader(hopAnswerHeader,
                       encodeHopAnswer(hopAnswer(HopResult::Answered, HopReason::None)));
    exchange.pass(*remembered.answer);
    return true;
}

void ServingSide::start(evhttp_request *request, const std::string &id, const HopRequest &hop)
{
    const TimePoint time = now(SteadyClock());
    const Milliseconds deadline
            = deadlineOf(evhttp_request_get_input_headers(request), dialect_.headers.deadline);
    const TimePoint finishBy = time + deadline;
    lastTicket_ = lastTicket_.next();
    const auto call = std::make_shared<ServingCall>(*this, request, id, hop, lastTicket_, finishBy);
    call->watch();
    calls_.emplace(lastTicket_, call);
    byId_[id] = Remembered{call, {}, {}, nullptr, finishBy + rememberGrace};

    const Microseconds work = work_.expected(hop.route, hop.objective);
    const Usefulness use = usefulnessOf(hop, work, time, finishBy);
    std::vector<GateTicket> hopeless;
    const ServerGate::Verdict verdict
            = gate_.offer(GateOffer{lastTicket_, use.rank, work, use.usefulBy}, time, hopeless);
    refuseAll(hopeless, HopReason::Overload);
    if (verdict == ServerGate::Verdict::Start)
        call->run();
    else if (verdict == ServerGate::Verdict::Refuse)
        call->refuse(HopReason::Overload);
}

void ServingSide::refuseAll(const std::vector<GateTicket> &tickets, HopReason reason)
{
    for (const GateTicket ticket : tickets) {
        const auto call = calls_.find(ticket);
        if (call != calls_.end())
            std::shared_ptr<ServingCall>(call->second)->refuse(reason);
    }
}

void ServingSide::startWaiting()
{
    std::vector<GateTicket> hopeless;
    while (const auto ticket = gate_.startNext(now(SteadyClock()), hopeless)) {
        const auto call = calls_.find(*ticket);
        if (call != calls_.end())
            std::shared_ptr<ServingCall>(call->second)->run();
        else
            gate_.remove(*ticket);
    }
    refuseAll(hopeless, HopReason::Overload);
}

void ServingSide::end(ServingCall &call)
{
    const auto remembered = byId_.find(call.id());
    if (remembered != byId_.end()) {
        remembered->second.result = call.result();
        remembered->second.reason = call.reason();
        remembered->second.answer = call.remembered();
        remembered->second.call.reset();
    }
    const bool isFailure = call.result() != HopResult::Answered;
    const EventKind kind = isFailure ? EventKind::Failure : EventKind::Success;
    if (isFailure)
        refusals_.add();
    if (log_.hasBudget(kind)) {
        const GateLoad load = gate_.load(now(SteadyClock()));
        log_.write(kind, servingPart, "call-ended",
                   {{"id", call.id()},
                    {"route", call.hop().route.value()},
                    {"result", static_cast<int>(call.result())},
                    {"reason", hopReasonName(call.reason())},
                    {"running", load.running},
                    {"waiting", load.waiting},
                    {"slots", load.slots},
                    {"relativeWork", work_.relativeWork()}});
    }
    // Freed outside of its own callbacks.
    const auto owned = calls_.find(call.ticket());
    if (owned != calls_.end()) {
        loop_.post([kept = owned->second] {});
        calls_.erase(owned);
    }
    startSoon();
}

// Outside of the callback that made room.
void ServingSide::startSoon()
{
    startTimer_ = loop_.after(Milliseconds(0), [this] { startWaiting(); });
}

void ServingSide::noteAnswer(const ServingCall &call, bool isFailure, Microseconds duration)
{
    const Microseconds objective = call.hop().objective;
    work_.note(call.hop().route, duration, objective, isFailure);
    ++answers_;
    failures_ += isFailure ? 1 : 0;
    if (isFailure)
        return;
    poison_.noteAnswer(call.fingerprint());
    if (call.startedAt() >= coldUntil_) {
        ++timedAnswers_;
        lateAnswers_ += duration > objective ? 1 : 0;
        relativeWorkSum_ += static_cast<double>(duration.count())
                / static_cast<double>(std::max<std::int64_t>(1, objective.count()));
    }
}

void ServingSide::noteBroken(const ServingCall &call)
{
    const TimePoint time = now(SteadyClock());
    const HostedServer *server = local_.usable();
    if (!server)
        return;
    broken_.emplace_back(SuspectedDeath{call.fingerprint(), server->id, time - call.startedAt(),
                                        Microseconds(0)},
                         time);
}

void ServingSide::noteConnectFailed()
{
    pool_.dropIdle(server_, TimePoint::max());
    if (!local_.markDown())
        return;
    const TimePoint time = now(SteadyClock());
    std::vector<SuspectedDeath> deaths;
    for (auto &[death, at] : broken_) {
        if (time - at > deathWindow)
            continue;
        death.brokeAgo = time - at;
        death.startedAgo += time - at;
        deaths.push_back(death);
    }
    broken_.clear();
    log_.write(EventKind::StateChange, servingPart, "server-down",
               {{"server", server_.toString()}, {"callsCut", deaths.size()}});
    refuseAll(gate_.clearWaiting(), HopReason::ServerGone);
    if (!deaths.empty())
        handlers_.onDeaths(deaths);
    handlers_.onServerChanged();
}

void ServingSide::refresh()
{
    if (const HostedServer *server = local_.usable()) {
        gate_.setSlots(server->slots);
        startSoon();
    } else {
        refuseAll(gate_.clearWaiting(), HopReason::ServerGone);
    }
}

void ServingSide::stop()
{
    isStopping_ = true;
    refuseAll(gate_.clearWaiting(), HopReason::Stopping);
}

bool ServingSide::runs(const std::string &id) const
{
    const auto remembered = byId_.find(id);
    return remembered != byId_.end() && remembered->second.call
            && !gate_.isWaiting(remembered->second.call->ticket());
}

std::size_t ServingSide::active() const
{
    return calls_.size();
}

void ServingSide::sweep()
{
    const TimePoint time = now(SteadyClock());
    std::erase_if(byId_, [&](const auto &entry) {
        return !entry.second.call && entry.second.forgetAt < time;
    });
    std::erase_if(broken_, [&](const auto &entry) { return time - entry.second > deathWindow; });
    work_.decay(sweepPeriod);
    pool_.closeIdle(time - reuseLimit_);
    poison_.expire(time);
}

void ServingSide::probe(const std::string &healthPath)
{
    if (isProbing_ || !local_.isKnown() || !local_.isDown())
        return;
    isProbing_ = true;
    const HttpRequest request{HttpMethod::Get, healthPath, {}, {}, {}};
    health_.send(server_, request, healthTimeout, [this](const Result<HttpResponse> &answer) {
        isProbing_ = false;
        if (answer)
            takeHealth(*answer);
    });
}

void ServingSide::takeHealth(const HttpResponse &answer)
{
    const auto id = answer.headers.find(dialect_.headers.serverId);
    constexpr int healthy = 200;
    if (answer.status != healthy || id == answer.headers.end())
        return;
    if (!local_.markHealthy(ServerId(id->second)))
        return;
    log_.write(EventKind::StateChange, servingPart, "server-healthy", {{"server", id->second}});
    refresh();
    handlers_.onServerChanged();
}

} // namespace cornelhead::detail
