// Implements calls at the node that runs them.
#include "cornelhead/proxy/call.h"

#include <algorithm>

#include <event2/buffer.h>
#include <event2/http.h>

#include "cornelhead/base/check.h"
#include "cornelhead/proxy/overloaded.h"
#include "cornelhead/proxy/poison-notice.h"
#include "cornelhead/routing/version-choice.h"

namespace cornelhead::detail {

namespace {

// A longer response is streamed to the caller.
constexpr std::size_t maxBufferedResponseBytes = 64 * 1024;
// The response to a keyed call is buffered whole, so that the call can outlive its caller.
constexpr std::size_t maxKeyedResponseBytes = 4 * 1024 * 1024;
// How long a keyed call waits for a late response after its caller got a refusal with run=unknown.
constexpr Milliseconds lateResponseTimeout = Milliseconds(10'000);
// A queued call waits for a free server for at most this long and half of its remaining time.
constexpr Milliseconds maxQueueTime = Milliseconds(500);
constexpr int minServerErrorStatus = 500;
constexpr int shedStatus = 503;

const Move *findMove(const MoveTable &table, const ServiceId &service)
{
    const auto found = table.moves.find(service);
    return found == table.moves.end() ? nullptr : &found->second;
}

bool isNotRunRefusal(evhttp_request *response)
{
    if (evhttp_request_get_response_code(response) != shedStatus)
        return false;
    const evkeyvalq *headers = evhttp_request_get_input_headers(response);
    return findHeader(headers, runHeader) == runStatusName(RunStatus::NotRun);
}

bool isError(evhttp_request *response)
{
    return evhttp_request_get_response_code(response) >= minServerErrorStatus;
}

RefusalReason refusalReasonFor(AttemptFailure failure)
{
    switch (failure) {
    case AttemptFailure::NotSent:
        return RefusalReason::ConnectFailed;
    case AttemptFailure::RefusedNotRun:
        return RefusalReason::Shed;
    case AttemptFailure::Broken:
        return RefusalReason::BrokenConnection;
    case AttemptFailure::InvalidHead:
    case AttemptFailure::TooLong:
        return RefusalReason::InvalidAnswer;
    case AttemptFailure::Silent:
        break;
    }
    return RefusalReason::Timeout;
}

ServerResult serverResultOf(AttemptFailure failure)
{
    switch (failure) {
    case AttemptFailure::NotSent:
        return ServerResult::Unreachable;
    case AttemptFailure::RefusedNotRun:
        return ServerResult::Shed;
    case AttemptFailure::Broken:
    case AttemptFailure::Silent:
    case AttemptFailure::InvalidHead:
    case AttemptFailure::TooLong:
        break;
    }
    return ServerResult::Failed;
}

// Rounds up, so that no timer fires early.
Milliseconds timerDelay(Microseconds wait)
{
    return std::max(Milliseconds(0), std::chrono::ceil<Milliseconds>(wait));
}

} // namespace

Call::Call(WorkerState &worker, evhttp_request *caller, CallContext context)
    : worker_(worker), caller_(worker, caller), context_(std::move(context)),
      versionDraw_(worker.random.unit())
{
    worker_.node.counters.inFlight.add(1);
}

Call::~Call() = default;

Milliseconds Call::remaining() const
{
    return std::chrono::duration_cast<Milliseconds>(deadline_ - now(SteadyClock()));
}

RunStatus Call::runProof() const
{
    return mayHaveRun_ ? RunStatus::Unknown : RunStatus::NotRun;
}

Call::UpstreamRequest *Call::running() const
{
    for (const auto &upstream : upstreamRequests_) {
        if (upstream->isRunning)
            return upstream.get();
    }
    return nullptr;
}

bool Call::wasSent() const
{
    return std::any_of(upstreamRequests_.begin(), upstreamRequests_.end(),
                       [](const auto &upstream) {
                           return upstream->isRunning && upstream->attempt->wasSent();
                       });
}

void Call::start()
{
    const Milliseconds timeout = context_.admission.route->timeout;
    const Milliseconds allowed = std::min(timeout, context_.head.deadline.value_or(timeout));
    deadline_ = context_.arrivedAt + allowed;
    worker_.retries.addCall(context_.head.depth);
    if (allowed <= Milliseconds(0)) {
        refuse(RefusalReason::Deadline);
        return;
    }
    caller_.watchDisconnect([this] { onCallerDisconnect(); });
    makeAttempt();
}

ServerChoice Call::chooseServer() const
{
    const Admission &admission = context_.admission;
    const ServiceId &service = admission.service->id;
    const Move *move = findMove(*context_.view->moves, service);
    const VersionChoice versions = chooseVersion(*admission.service, move, versionDraw_);
    const TimePoint time = now(SteadyClock());
    ServerChoice best;
    for (const VersionId *version : {versions.first, versions.second}) {
        if (!version || best.server)
            continue;
        const bool wasWorthWaiting = best.isWorthWaiting;
        best = worker_.servers.choose(service, *version, triedServers_, time, worker_.random);
        best.isWorthWaiting = best.isWorthWaiting || wasWorthWaiting;
    }
    return best;
}

void Call::makeAttempt()
{
    const ServerChoice choice = chooseServer();
    if (choice.server)
        send(choice.server);
    else if (choice.isWorthWaiting && upstreamRequests_.empty())
        enqueue();
    else
        refuse(lastFailure_ ? refusalReasonFor(*lastFailure_) : RefusalReason::NoServer);
}

void Call::enqueue()
{
    isQueued_ = true;
    const Microseconds maxWait = std::min<Microseconds>(maxQueueTime, remaining() / 2);
    const TimePoint startBy = now(SteadyClock()) + maxWait;
    timer_ = worker_.loop.after(timerDelay(maxWait), [this] { refuseOverload(); });
    worker_.enqueue(context_.admission.service->id,
                    {this, context_.admission.route->priority, startBy});
}

bool Call::startFromQueue()
{
    const ServerChoice choice = chooseServer();
    if (!choice.server)
        return false;
    isQueued_ = false;
    send(choice.server);
    return true;
}

void Call::refuseOverload()
{
    refuse(RefusalReason::Overload);
}

void Call::send(const ServerPool::Record &server)
{
    upstreamRequests_.push_back(std::make_unique<UpstreamRequest>());
    UpstreamRequest &upstream = *upstreamRequests_.back();
    upstream.server = server;
    upstream.startedAt = now(SteadyClock());
    upstream.wasServerStarting = server->endpoint.state == ServerState::Starting;
    upstream.attempt = std::make_unique<Attempt>(
            worker_.loop, worker_.pool,
            connectionSpec(server->endpoint.address, context_.claim != nullptr),
            handlers(upstream));
    ServerPool::begin(*server);
    fillRequest(*upstream.attempt);
    const auto latency = Microseconds(static_cast<std::int64_t>(server->latencyUs));
    const AttemptTimeouts timeouts
            = attemptTimeouts(*context_.admission.route, latency, remaining());
    hedgeAt_.reset();
    giveUpAt_.reset();
    if (timeouts.hedgeAfter && upstreamRequests_.size() == 1)
        hedgeAt_ = upstream.startedAt + *timeouts.hedgeAfter;
    if (timeouts.giveUpAfter && server->endpoint.state == ServerState::Serving)
        giveUpAt_ = upstream.startedAt + *timeouts.giveUpAfter;
    setTimer();
    // May end the attempt and the call before it returns.
    upstream.attempt->send(evhttp_request_get_command(caller_.request()), targetUri().c_str());
}

std::string Call::targetUri() const
{
    std::string uri(splitPath(context_.head.path).rest);
    if (context_.head.query)
        uri.append("?").append(context_.head.query);
    return uri;
}

void Call::fillRequest(Attempt &attempt) const
{
    copyRequest(caller_.request(), attempt);
    evkeyvalq *headers = attempt.headers();
    const auto timeLeft = std::max(Milliseconds(1), remaining());
    evhttp_add_header(headers, deadlineHeader, std::to_string(timeLeft.count()).c_str());
    evhttp_add_header(headers, depthHeader, std::to_string(context_.head.depth + 1).c_str());
    attempt.limitResponseBody(context_.claim ? std::optional(maxKeyedResponseBytes) : std::nullopt);
}

AttemptHandlers Call::handlers(UpstreamRequest &upstream)
{
    AttemptHandlers handlers;
    handlers.onHead = [this, &upstream](evhttp_request *response) {
        return startStreamIfLong(upstream, response);
    };
    handlers.onChunk = [this, &upstream](evbuffer *chunk) { onChunk(upstream, chunk); };
    handlers.onEnd = [this, &upstream](const AttemptOutcome &outcome) { onEnd(upstream, outcome); };
    return handlers;
}

void Call::setTimer()
{
    TimePoint next = deadline_;
    for (const auto &time : {hedgeAt_, giveUpAt_})
        next = std::min(next, time.value_or(next));
    timer_ = worker_.loop.after(timerDelay(next - now(SteadyClock())), [this] { onTimer(); });
}

void Call::onTimer()
{
    const TimePoint time = now(SteadyClock());
    UpstreamRequest *upstream = running();
    if (time >= deadline_) {
        onDeadline();
    } else if (upstream && hedgeAt_ && time >= *hedgeAt_) {
        hedgeAt_.reset();
        hedge(*upstream);
    } else if (upstream && giveUpAt_ && time >= *giveUpAt_) {
        giveUpAt_.reset();
        giveUp(*upstream);
    } else {
        setTimer();
    }
}

ServerPool::Record Call::chooseOtherServer(const UpstreamRequest &upstream)
{
    triedServers_.push_back(upstream.server);
    const ServerChoice choice = chooseServer();
    triedServers_.pop_back();
    return choice.server;
}

void Call::hedge(const UpstreamRequest &first)
{
    const ServerPool::Record other = chooseOtherServer(first);
    if (!other || !worker_.retries.takeHedge()) {
        setTimer();
        return;
    }
    worker_.node.counters.hedges.add();
    send(other);
}

// Called when the attempt got no response for far longer than the typical latency of its server.
void Call::giveUp(UpstreamRequest &upstream)
{
    const ServerPool::Record other = chooseOtherServer(upstream);
    if (!other || !acquireRetry(AttemptFailure::Silent)) {
        setTimer();
        return;
    }
    lastFailure_ = AttemptFailure::Silent;
    recordOutcome(upstream, OutcomeKind::Failed);
    triedServers_.push_back(upstream.server);
    cancelUpstreams(ServerResult::Silent);
    send(other);
}

bool Call::startStreamIfLong(UpstreamRequest &upstream, evhttp_request *response)
{
    // The response to a keyed call may be stored, so it is read whole.
    if (context_.claim || isNotRunRefusal(response)
        || !isLongResponse(response, maxBufferedResponseBytes))
        return false;
    recordOutcome(upstream, isError(response) ? OutcomeKind::Failed : OutcomeKind::Answered);
    upstream.isRunning = false;
    cancelOvertaken();
    upstream.isRunning = true;
    hedgeAt_.reset();
    giveUpAt_.reset();
    caller_.startStream(response, [&upstream] { upstream.attempt->resume(); });
    return true;
}

void Call::onChunk(UpstreamRequest &upstream, evbuffer *chunk)
{
    // Each chunk extends the deadline, so that a long response may take longer than the timeout.
    deadline_ = now(SteadyClock()) + context_.admission.route->timeout;
    setTimer();
    if (caller_.sendChunk(chunk))
        upstream.attempt->pause();
}

void Call::onEnd(UpstreamRequest &upstream, const AttemptOutcome &outcome)
{
    const Overloaded visitor{
            [&](const CompleteResponse &complete) { onCompleteResponse(upstream, complete.raw); },
            [&](const StreamedResponseEnd &) { onStreamedResponseEnd(upstream); },
            [&](const CloseDelimitedResponse &) { onCloseDelimitedResponse(upstream); },
            [&](AttemptFailure failure) { onFailure(upstream, failure); }};
    std::visit(visitor, outcome);
}

void Call::onCompleteResponse(UpstreamRequest &upstream, evhttp_request *response)
{
    if (isNotRunRefusal(response)) {
        onFailure(upstream, AttemptFailure::RefusedNotRun);
        return;
    }
    const bool hasFailed = isError(response);
    recordOutcome(upstream, hasFailed ? OutcomeKind::Failed : OutcomeKind::Answered);
    endUpstream(upstream, hasFailed ? ServerResult::Failed : ServerResult::Answered);
    cancelOvertaken();
    clearSuspicion();
    if (context_.claim)
        context_.claim->settleAnswered(response);
    if (caller_.isAnswered())
        worker_.node.counters.lateResponsesKept.add();
    else
        caller_.respond(response);
    finish();
}

void Call::onStreamedResponseEnd(UpstreamRequest &upstream)
{
    endUpstream(upstream, ServerResult::Answered);
    clearSuspicion();
    caller_.endStream();
    finish();
}

void Call::onCloseDelimitedResponse(UpstreamRequest &upstream)
{
    mayHaveRun_ = true;
    recordOutcome(upstream, OutcomeKind::Failed);
    endUpstream(upstream, ServerResult::Failed);
    cancelUpstreams(ServerResult::Neutral);
    refuse(RefusalReason::UnboundedAnswer);
}

void Call::onFailure(UpstreamRequest &upstream, AttemptFailure failure)
{
    lastFailure_ = failure;
    mayHaveRun_ = mayHaveRun_ || !provesNotRun(failure);
    if (failure == AttemptFailure::RefusedNotRun)
        recordOutcome(upstream, OutcomeKind::Shed);
    else if (failure != AttemptFailure::NotSent)
        recordOutcome(upstream, OutcomeKind::Failed);
    triedServers_.push_back(upstream.server);
    endUpstream(upstream, serverResultOf(failure));
    if (caller_.isStreaming()) {
        caller_.abortStream();
        finish();
        return;
    }
    if (recordSuspectedDeath(upstream, failure)) {
        cancelUpstreams(ServerResult::Neutral);
        refuse(RefusalReason::Poison);
        return;
    }
    // A hedged attempt may still succeed.
    if (!running())
        retryOrRefuse(failure);
}

void Call::retryOrRefuse(AttemptFailure failure)
{
    if (acquireRetry(failure))
        makeAttempt();
    else
        refuse(refusalReasonFor(failure));
}

bool Call::acquireRetry(AttemptFailure failure)
{
    if (caller_.isAnswered())
        return false;
    ProxyCounters &counters = worker_.node.counters;
    const auto attempts = static_cast<std::uint32_t>(upstreamRequests_.size());
    const RetryDecision decision = decideRetry(
            FailedAttempt{context_.admission.route->idempotency, failure, attempts, remaining()});
    if (decision == RetryDecision::NotAllowed)
        counters.retriesNotAllowed.add();
    if (decision != RetryDecision::Retry)
        return false;
    if (!worker_.retries.take()) {
        counters.retriesOverBudget.add();
        return false;
    }
    counters.retry(failure).add();
    return true;
}

bool Call::recordSuspectedDeath(const UpstreamRequest &upstream, AttemptFailure failure)
{
    if (failure != AttemptFailure::Broken || caller_.isAnswered())
        return false;
    const TimePoint time = now(SteadyClock());
    const SuspectedDeath death{requestFingerprint(caller_.request()), upstream.server->endpoint.id,
                               time - upstream.startedAt, Microseconds(0)};
    sendPoisonNotices(worker_, context_.view->endpoints->nodes, death);
    return worker_.node.poison.recordDeath(death, time);
}

void Call::clearSuspicion()
{
    if (!worker_.node.poison.hasSuspects() || caller_.isAnswered())
        return;
    const Fingerprint request = requestFingerprint(caller_.request());
    if (worker_.node.poison.recordResponse(request, now(SteadyClock())))
        sendPoisonNotices(worker_, context_.view->endpoints->nodes, request);
}

bool Call::mayOutliveCaller() const
{
    return context_.claim && wasSent();
}

void Call::waitForLateResponse()
{
    mayHaveRun_ = true;
    timer_ = worker_.loop.after(lateResponseTimeout, [this] { onLateResponseTimeout(); });
}

void Call::onDeadline()
{
    UpstreamRequest *upstream = running();
    if (!upstream) {
        refuse(RefusalReason::Deadline);
        return;
    }
    recordOutcome(*upstream, OutcomeKind::Failed);
    if (mayOutliveCaller()) {
        waitForLateResponse();
        caller_.refuse(Refusal{RefusalReason::Timeout, RunStatus::Unknown});
        return;
    }
    const bool mayRun = wasSent();
    cancelUpstreams(ServerResult::Silent);
    if (caller_.isStreaming()) {
        caller_.abortStream();
        finish();
        return;
    }
    refuse(mayRun ? RefusalReason::Timeout : RefusalReason::ConnectFailed);
}

void Call::onCallerDisconnect()
{
    if (mayOutliveCaller()) {
        waitForLateResponse();
        caller_.refuse(Refusal{RefusalReason::Cancelled, RunStatus::Unknown});
        return;
    }
    cancelUpstreams(ServerResult::Neutral);
    if (caller_.isStreaming()) {
        caller_.abortStream();
        finish();
        return;
    }
    refuse(RefusalReason::Cancelled);
}

void Call::onLateResponseTimeout()
{
    cancelUpstreams(ServerResult::Silent);
    refuse(RefusalReason::Timeout);
}

void Call::cancelUpstream(UpstreamRequest &upstream, ServerResult result)
{
    mayHaveRun_ = mayHaveRun_ || upstream.attempt->wasSent();
    upstream.attempt->cancel();
    // Connections that became idle before this attempt may be dead as well.
    if (result == ServerResult::Silent)
        worker_.pool.dropIdle(upstream.server->endpoint.address, upstream.startedAt);
    endUpstream(upstream, result);
}

void Call::cancelUpstreams(ServerResult result)
{
    while (UpstreamRequest *upstream = running())
        cancelUpstream(*upstream, result);
}

void Call::cancelOvertaken()
{
    while (UpstreamRequest *upstream = running()) {
        recordOutcome(*upstream, OutcomeKind::Answered);
        cancelUpstream(*upstream, ServerResult::Neutral);
    }
}

void Call::recordOutcome(const UpstreamRequest &upstream, OutcomeKind kind)
{
    // A late response was recorded when its deadline passed, a streamed one when it began.
    if (caller_.isAnswered() || caller_.isStreaming())
        return;
    const Endpoint &endpoint = upstream.server->endpoint;
    const auto latency = now(SteadyClock()) - upstream.startedAt;
    worker_.outcomes.add(OutcomeSample{endpoint.service, endpoint.version,
                                       context_.admission.route->id, kind,
                                       upstream.wasServerStarting, latency});
}

void Call::endUpstream(UpstreamRequest &upstream, ServerResult result)
{
    upstream.isRunning = false;
    const TimePoint time = now(SteadyClock());
    if (worker_.servers.finish(*upstream.server, result, time - upstream.startedAt, time))
        worker_.node.counters.ejections.add();
    worker_.scheduleQueued(context_.admission.service->id);
}

void Call::refuse(RefusalReason reason)
{
    if (context_.claim)
        context_.claim->settle(runProof());
    if (!caller_.isAnswered())
        caller_.refuse(Refusal{reason, runProof()});
    finish();
}

void Call::finish()
{
    CORNELHEAD_CHECK(!running() && caller_.isAnswered());
    timer_ = Timer();
    if (isQueued_)
        worker_.removeFromQueue(context_.admission.service->id, this);
    context_.permit.release();
    worker_.node.counters.inFlight.add(-1);
    worker_.node.counters.duration.record(now(SteadyClock()) - context_.arrivedAt);
    worker_.endCall(this);
}

} // namespace cornelhead::detail
