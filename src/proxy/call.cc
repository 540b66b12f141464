// Implements the life of a call.
#include "cornelhead/proxy/call.h"

#include <algorithm>
#include <string>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include "cornelhead/base/check.h"
#include "cornelhead/routing/version-choice.h"

namespace cornelhead::detail {

namespace {

// A longer answer is passed on while it is read.
constexpr std::size_t maxBufferedAnswer = 64 * 1024;
// A caller that reads slower than the server answers makes the proxy hold at most this, plus one
// chunk.
constexpr std::size_t maxUnsentAnswer = 256 * 1024;
constexpr int firstServerError = 500;
constexpr int shedStatus = 503;

const Move *findMove(const MoveTable &table, const ServiceId &service)
{
    const auto found = table.moves.find(service);
    return found == table.moves.end() ? nullptr : &found->second;
}

bool isRefusalBeforeRun(evhttp_request *answer)
{
    if (evhttp_request_get_response_code(answer) != shedStatus)
        return false;
    const evkeyvalq *headers = evhttp_request_get_input_headers(answer);
    return findHeader(headers, runHeader) == runProofName(RunProof::NotRun);
}

std::size_t statedLength(evhttp_request *answer)
{
    const evkeyvalq *headers = evhttp_request_get_input_headers(answer);
    const std::string length(findHeader(headers, "Content-Length"));
    return length.empty() ? 0 : std::strtoull(length.c_str(), nullptr, 10);
}

bool isError(evhttp_request *answer)
{
    return evhttp_request_get_response_code(answer) >= firstServerError;
}

template <typename... Handlers>
struct Overloaded : Handlers...
{
    using Handlers::operator()...;
};
template <typename... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

} // namespace

Call::Call(WorkerState &worker, Origin origin) : worker_(worker), origin_(std::move(origin)) { }

Call::~Call() = default;

Milliseconds Call::remaining() const
{
    return std::chrono::duration_cast<Milliseconds>(deadline_ - now(SteadyClock()));
}

RunProof Call::runProof() const
{
    return mayHaveRun_ ? RunProof::Unknown : RunProof::NotRun;
}

void Call::start()
{
    worker_.node.counters.inFlight.add(1);
    const Milliseconds timeout = origin_.admission.route->timeout;
    const Milliseconds allowed = std::min(timeout, origin_.head.deadline.value_or(timeout));
    deadline_ = origin_.arrived + allowed;
    worker_.retries.addCall(origin_.head.depth);
    if (allowed <= Milliseconds(0)) {
        refuse(RefusalReason::Deadline);
        return;
    }
    startDeadline(allowed);
    watchCaller();
    attempt();
}

void Call::startDeadline(Milliseconds allowed)
{
    deadlineTimer_ = worker_.loop.after(allowed, [this] { onDeadline(); });
}

void Call::watchCaller()
{
    evhttp_connection *connection = evhttp_request_get_connection(origin_.caller);
    const int fd = bufferevent_getfd(evhttp_connection_get_bufferevent(connection));
    const auto gone
            = [](evutil_socket_t, short, void *arg) { static_cast<Call *>(arg)->onCallerGone(); };
    callerGone_.reset(event_new(worker_.loop.base(), fd, EV_CLOSED, gone, this));
    event_add(callerGone_.get(), nullptr);
}

void Call::watchStreamedCaller()
{
    // While evhttp writes, it may find the connection closed and free it before our event fires.
    const auto closed = [](evhttp_connection *, void *arg) {
        auto *call = static_cast<Call *>(arg);
        call->callerGone_.reset();
        call->onCallerGone();
    };
    evhttp_connection *connection = evhttp_request_get_connection(origin_.caller);
    evhttp_connection_set_closecb(connection, closed, this);
}

evhttp_request *Call::takeCaller()
{
    callerGone_.reset();
    evhttp_request *caller = std::exchange(origin_.caller, nullptr);
    evhttp_connection *connection = evhttp_request_get_connection(caller);
    if (isStreaming_ && connection)
        evhttp_connection_set_closecb(connection, nullptr, nullptr);
    return caller;
}

ServerBook::Record Call::chooseServer()
{
    const Admission &admission = origin_.admission;
    const ServiceId &service = admission.service->id;
    const Move *move = findMove(*origin_.view->moves, service);
    const VersionChoice choice = chooseVersion(*admission.service, move, worker_.random.unit());
    const TimePoint time = now(SteadyClock());
    for (const VersionId *version : {choice.first, choice.second}) {
        if (!version)
            continue;
        ServerBook::Record found
                = worker_.servers.choose(service, *version, tried_, time, worker_.random);
        if (found)
            return found;
    }
    return nullptr;
}

void Call::attempt()
{
    const ServerBook::Record server = chooseServer();
    if (server)
        send(server);
    else if (lastFailure_)
        refuseAfter(*lastFailure_);
    else
        refuse(RefusalReason::NoServer);
}

void Call::send(const ServerBook::Record &server)
{
    server_ = server;
    attemptStarted_ = now(SteadyClock());
    ServerBook::begin(*server);
    attempts_.push_back(std::make_unique<Attempt>(worker_.loop, worker_.pool,
                                                  server->endpoint.address, handlers()));
    Attempt &attempt = *attempts_.back();
    fillRequest(attempt);
    std::string uri(splitPath(origin_.head.path).rest);
    if (origin_.head.query)
        uri.append("?").append(origin_.head.query);
    // May end the attempt, and the call, before it returns.
    attempt.send(evhttp_request_get_command(origin_.caller), uri.c_str());
}

void Call::fillRequest(Attempt &attempt) const
{
    evkeyvalq *headers = attempt.headers();
    copyEndToEndHeaders(evhttp_request_get_input_headers(origin_.caller), headers);
    const auto left = std::max(Milliseconds(1), remaining());
    evhttp_add_header(headers, deadlineHeader, std::to_string(left.count()).c_str());
    evhttp_add_header(headers, depthHeader, std::to_string(origin_.head.depth + 1).c_str());
    evbuffer *body = evhttp_request_get_input_buffer(origin_.caller);
    const std::size_t size = evbuffer_get_length(body);
    if (size == 0)
        return;
    // evhttp states no length for a body of GET or DELETE.
    evhttp_add_header(headers, "Content-Length", std::to_string(size).c_str());
    evbuffer_add_buffer_reference(attempt.body(), body);
}

AttemptHandlers Call::handlers()
{
    AttemptHandlers handlers;
    handlers.onHead = [this](evhttp_request *answer) { return isStreamed(answer); };
    handlers.onChunk = [this](evbuffer *chunk) { onChunk(chunk); };
    handlers.onEnd = [this](const AttemptEnd &end) { onEnd(end); };
    return handlers;
}

bool Call::isStreamed(evhttp_request *answer)
{
    const evkeyvalq *headers = evhttp_request_get_input_headers(answer);
    const bool isChunked = evhttp_find_header(headers, "Transfer-Encoding") != nullptr;
    if (isRefusalBeforeRun(answer) || (!isChunked && statedLength(answer) <= maxBufferedAnswer))
        return false;
    isStreaming_ = true;
    watchStreamedCaller();
    startAnswer(origin_.caller, answer, worker_.afterAnswer());
    recordOutcome(isError(answer) ? OutcomeKind::Failed : OutcomeKind::Answered);
    return true;
}

void Call::onChunk(evbuffer *chunk)
{
    // Each chunk is progress, so a long answer may take longer than the call's deadline.
    startDeadline(origin_.admission.route->timeout);
    const auto drained = [](evhttp_connection *, void *arg) {
        if (Attempt *attempt = static_cast<Call *>(arg)->current())
            attempt->resume();
    };
    evhttp_send_reply_chunk_with_cb(origin_.caller, chunk, drained, this);
    evhttp_connection *caller = evhttp_request_get_connection(origin_.caller);
    evbuffer *unsent = bufferevent_get_output(evhttp_connection_get_bufferevent(caller));
    if (evbuffer_get_length(unsent) > maxUnsentAnswer)
        current()->pause();
}

void Call::onEnd(const AttemptEnd &end)
{
    const Overloaded visitor{[this](const WholeAnswer &whole) { onWhole(whole.raw); },
                             [this](const StreamEnd &) { onStreamEnd(); },
                             [this](const UnboundedAnswer &) { onUnbounded(); },
                             [this](AttemptFailure failure) { onFailure(failure); }};
    std::visit(visitor, end);
}

void Call::onWhole(evhttp_request *answer)
{
    if (isRefusalBeforeRun(answer)) {
        onFailure(AttemptFailure::RefusedNotRun);
        return;
    }
    const bool hasFailed = isError(answer);
    recordOutcome(hasFailed ? OutcomeKind::Failed : OutcomeKind::Answered);
    endAttempt(hasFailed ? ServerResult::Failed : ServerResult::Answered);
    worker_.node.counters.answers.add();
    sendAnswer(takeCaller(), answer, worker_.afterAnswer());
    finish();
}

void Call::onStreamEnd()
{
    endAttempt(ServerResult::Answered);
    worker_.node.counters.answers.add();
    evhttp_send_reply_end(takeCaller());
    finish();
}

void Call::onUnbounded()
{
    mayHaveRun_ = true;
    recordOutcome(OutcomeKind::Failed);
    endAttempt(ServerResult::Failed);
    refuse(RefusalReason::UnboundedAnswer);
}

void Call::onFailure(AttemptFailure failure)
{
    lastFailure_ = failure;
    mayHaveRun_ = mayHaveRun_ || !provesNotRun(failure);
    const bool isShed = failure == AttemptFailure::RefusedNotRun;
    if (isShed)
        recordOutcome(OutcomeKind::Shed);
    else if (failure != AttemptFailure::NotSent && !isStreaming_)
        recordOutcome(OutcomeKind::Failed);
    tried_.push_back(server_);
    endAttempt(isShed ? ServerResult::Shed : ServerResult::Failed);
    if (isStreaming_)
        cutStream();
    else if (retryAfter(failure))
        attempt();
    else
        refuseAfter(failure);
}

bool Call::retryAfter(AttemptFailure failure)
{
    ProxyCounters &counters = worker_.node.counters;
    const auto attempts = static_cast<std::uint32_t>(attempts_.size());
    const RetryDecision decision = decideRetry(
            RetryQuestion{origin_.admission.route->idempotency, failure, attempts, remaining()});
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

void Call::cutStream()
{
    worker_.node.counters.cutAnswers.add();
    cutAnswer(takeCaller());
    finish();
}

void Call::refuseAfter(AttemptFailure failure)
{
    switch (failure) {
    case AttemptFailure::NotSent:
        refuse(RefusalReason::ConnectFailed);
        return;
    case AttemptFailure::RefusedNotRun:
        refuse(RefusalReason::Shed);
        return;
    case AttemptFailure::Broken:
        refuse(RefusalReason::BrokenConnection);
        return;
    case AttemptFailure::Silent:
        refuse(RefusalReason::Timeout);
        return;
    }
}

void Call::onDeadline()
{
    if (!server_) {
        refuse(RefusalReason::Deadline);
        return;
    }
    const bool wasSent = current()->wasSent();
    mayHaveRun_ = mayHaveRun_ || wasSent;
    current()->cancel();
    if (!isStreaming_)
        recordOutcome(OutcomeKind::Failed);
    endAttempt(ServerResult::Silent);
    if (isStreaming_)
        cutStream();
    else
        refuse(wasSent ? RefusalReason::Timeout : RefusalReason::ConnectFailed);
}

void Call::onCallerGone()
{
    worker_.node.counters.callersGone.add();
    if (server_) {
        mayHaveRun_ = mayHaveRun_ || current()->wasSent();
        current()->cancel();
        endAttempt(ServerResult::Neutral);
    }
    if (isStreaming_)
        cutStream();
    else
        refuse(RefusalReason::Cancelled);
}

void Call::recordOutcome(OutcomeKind kind)
{
    const auto latency = now(SteadyClock()) - attemptStarted_;
    worker_.outcomes.add(OutcomeSample{server_->endpoint.service, server_->endpoint.version,
                                       origin_.admission.route->id, kind,
                                       server_->endpoint.state == ServerState::Starting, latency});
}

void Call::endAttempt(ServerResult result)
{
    const TimePoint time = now(SteadyClock());
    if (worker_.servers.finish(*server_, result, time - attemptStarted_, time))
        worker_.node.counters.ejections.add();
    server_ = nullptr;
}

void Call::refuse(RefusalReason reason)
{
    const Refusal refusal{reason, runProof()};
    worker_.node.counters.refusal(refusal.reason, refusal.run).add();
    sendRefusal(takeCaller(), refusal, worker_.node.refusalBodies, worker_.afterAnswer());
    finish();
}

void Call::finish()
{
    CORNELHEAD_CHECK(!isOver_ && !server_ && !origin_.caller);
    isOver_ = true;
    deadlineTimer_ = Timer();
    callerGone_.reset();
    const TimePoint time = now(SteadyClock());
    worker_.node.counters.inFlight.add(-1);
    worker_.node.counters.duration.record(time - origin_.arrived);
    {
        const std::lock_guard lock(worker_.node.limitsMutex);
        worker_.node.limits.release(origin_.admission.customer->id);
    }
    worker_.endCall(this);
}

} // namespace cornelhead::detail
