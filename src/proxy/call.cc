// Implements the life of a call at the node that runs it.
#include "cornelhead/proxy/call.h"

#include <algorithm>

#include <event2/buffer.h>
#include <event2/http.h>

#include "cornelhead/base/check.h"
#include "cornelhead/proxy/overloaded.h"
#include "cornelhead/routing/version-choice.h"

namespace cornelhead::detail {

namespace {

// A longer answer is passed on while it is read.
constexpr std::size_t maxBufferedAnswer = 64 * 1024;
// An answer that is kept whole for its key may be this long.
constexpr std::size_t maxKeyedAnswer = 4 * 1024 * 1024;
// How long a keyed call waits for its answer after its caller was told that it is unknown.
constexpr Milliseconds lateAnswerLimit = Milliseconds(10'000);
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

bool isError(evhttp_request *answer)
{
    return evhttp_request_get_response_code(answer) >= firstServerError;
}

RefusalReason reasonAfter(AttemptFailure failure)
{
    switch (failure) {
    case AttemptFailure::NotSent:
        return RefusalReason::ConnectFailed;
    case AttemptFailure::RefusedNotRun:
        return RefusalReason::Shed;
    case AttemptFailure::Broken:
        return RefusalReason::BrokenConnection;
    case AttemptFailure::Silent:
        break;
    }
    return RefusalReason::Timeout;
}

} // namespace

Call::Call(WorkerState &worker, evhttp_request *caller, CallOrigin origin)
    : worker_(worker), caller_(worker, caller), origin_(std::move(origin))
{
    worker_.node.counters.inFlight.add(1);
}

Call::~Call()
{
    worker_.node.counters.inFlight.add(-1);
}

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
    const Milliseconds timeout = origin_.admission.route->timeout;
    const Milliseconds allowed = std::min(timeout, origin_.head.deadline.value_or(timeout));
    deadline_ = origin_.arrived + allowed;
    worker_.retries.addCall(origin_.head.depth);
    if (allowed <= Milliseconds(0)) {
        refuse(RefusalReason::Deadline);
        return;
    }
    startDeadline(allowed);
    caller_.watch([this] { onCallerGone(); });
    attempt();
}

void Call::startDeadline(Milliseconds allowed)
{
    timer_ = worker_.loop.after(allowed, [this] { onDeadline(); });
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
    else
        refuse(lastFailure_ ? reasonAfter(*lastFailure_) : RefusalReason::NoServer);
}

void Call::send(const ServerBook::Record &server)
{
    server_ = server;
    attemptStarted_ = now(SteadyClock());
    ServerBook::begin(*server);
    attempts_.push_back(std::make_unique<Attempt>(worker_.loop, worker_.pool,
                                                  server->endpoint.address, handlers()));
    Attempt &attempt = current();
    fillRequest(attempt);
    // May end the attempt, and the call, before it returns.
    attempt.send(evhttp_request_get_command(caller_.request()), targetUri().c_str());
}

std::string Call::targetUri() const
{
    std::string uri(splitPath(origin_.head.path).rest);
    if (origin_.head.query)
        uri.append("?").append(origin_.head.query);
    return uri;
}

void Call::fillRequest(Attempt &attempt) const
{
    copyRequest(caller_.request(), attempt);
    evkeyvalq *headers = attempt.headers();
    const auto left = std::max(Milliseconds(1), remaining());
    evhttp_add_header(headers, deadlineHeader, std::to_string(left.count()).c_str());
    evhttp_add_header(headers, depthHeader, std::to_string(origin_.head.depth + 1).c_str());
    attempt.limitBody(origin_.ticket ? std::optional(maxKeyedAnswer) : std::nullopt);
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
    // The answer to a keyed call is kept, so it is read whole.
    if (origin_.ticket || isRefusalBeforeRun(answer) || !isLongAnswer(answer, maxBufferedAnswer))
        return false;
    recordOutcome(isError(answer) ? OutcomeKind::Failed : OutcomeKind::Answered);
    caller_.startStream(answer, [this] { current().resume(); });
    return true;
}

void Call::onChunk(evbuffer *chunk)
{
    // Each chunk is progress, so a long answer may take longer than the call's deadline.
    startDeadline(origin_.admission.route->timeout);
    if (caller_.sendChunk(chunk))
        current().pause();
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
    if (origin_.ticket)
        origin_.ticket->settleAnswered(answer);
    if (caller_.isAnswered())
        worker_.node.counters.lateAnswersKept.add();
    else
        caller_.answer(answer);
    finish();
}

void Call::onStreamEnd()
{
    endAttempt(ServerResult::Answered);
    caller_.endStream();
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
    else if (failure != AttemptFailure::NotSent)
        recordOutcome(OutcomeKind::Failed);
    tried_.push_back(server_);
    endAttempt(isShed ? ServerResult::Shed : ServerResult::Failed);
    if (caller_.isStreaming()) {
        caller_.cutStream();
        finish();
    } else if (retryAfter(failure)) {
        attempt();
    } else {
        refuse(reasonAfter(failure));
    }
}

bool Call::retryAfter(AttemptFailure failure)
{
    if (caller_.isAnswered())
        return false;
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

bool Call::maySurviveCaller() const
{
    return origin_.ticket && server_ && current().wasSent();
}

void Call::waitForLateAnswer()
{
    mayHaveRun_ = true;
    timer_ = worker_.loop.after(lateAnswerLimit, [this] { onTooLate(); });
}

void Call::onDeadline()
{
    if (!server_) {
        refuse(RefusalReason::Deadline);
        return;
    }
    recordOutcome(OutcomeKind::Failed);
    if (maySurviveCaller()) {
        waitForLateAnswer();
        caller_.refuse(Refusal{RefusalReason::Timeout, RunProof::Unknown});
        return;
    }
    const bool wasSent = current().wasSent();
    cancelAttempt(ServerResult::Silent);
    if (caller_.isStreaming()) {
        caller_.cutStream();
        finish();
        return;
    }
    refuse(wasSent ? RefusalReason::Timeout : RefusalReason::ConnectFailed);
}

void Call::onCallerGone()
{
    if (maySurviveCaller()) {
        waitForLateAnswer();
        caller_.refuse(Refusal{RefusalReason::Cancelled, RunProof::Unknown});
        return;
    }
    if (server_)
        cancelAttempt(ServerResult::Neutral);
    if (caller_.isStreaming()) {
        caller_.cutStream();
        finish();
        return;
    }
    refuse(RefusalReason::Cancelled);
}

void Call::onTooLate()
{
    cancelAttempt(ServerResult::Silent);
    refuse(RefusalReason::Timeout);
}

void Call::cancelAttempt(ServerResult result)
{
    mayHaveRun_ = mayHaveRun_ || current().wasSent();
    current().cancel();
    endAttempt(result);
}

void Call::recordOutcome(OutcomeKind kind)
{
    // A late answer was counted when its deadline passed, a streamed one when it began.
    if (caller_.isAnswered() || caller_.isStreaming())
        return;
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
    if (origin_.ticket)
        origin_.ticket->settle(runProof());
    if (!caller_.isAnswered())
        caller_.refuse(Refusal{reason, runProof()});
    finish();
}

void Call::finish()
{
    CORNELHEAD_CHECK(!server_ && caller_.isAnswered());
    timer_ = Timer();
    origin_.limit.release();
    worker_.node.counters.duration.record(now(SteadyClock()) - origin_.arrived);
    worker_.endCall(this);
}

} // namespace cornelhead::detail
