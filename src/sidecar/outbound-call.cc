// Implements a caller's call.
#include "cornelhead/sidecar/outbound-call.h"

#include <algorithm>
#include <charconv>

#include <event2/buffer.h>
#include <event2/http.h>

#include "cornelhead/proxy/request-head.h"

namespace cornelhead::detail {

namespace {

constexpr const char *entryPart = "entry";
/// Another host accepts within two milliseconds unless it is down, cut off or frozen.
constexpr Milliseconds connectTimeout(250);
/// The least time before a host that has not answered is asked again on a new connection.
constexpr Milliseconds minResumeDelay(200);
/// Patience with a host: this many times the time that the call is expected to take there.
constexpr int resumeDelayFactor = 3;
/// A host that could not be reached may hold the call's outcome; it is asked again this often.
constexpr Milliseconds unreachableResumeDelay(300);
constexpr std::uint32_t maxResumes = 6;
/// Hosts that may refuse a call before the caller is told to come back.
constexpr std::uint32_t maxRefusals = 3;
/// A call with less time left is not worth sending.
constexpr Milliseconds minTimeLeft(5);
/// A stopping process takes only calls that would end in time even if they took this many
/// objectives.
constexpr int stoppingObjectives = 2;
/// Callers without a deadline wait as long as the route allows.
constexpr Milliseconds noDeadline(0);
/// Callers come back no sooner, so that a refused crowd does not return as one.
constexpr double minRetryAfterSeconds = 0.05;
constexpr double maxRetryAfterJitterSeconds = 0.1;

constexpr int statusNotFound = 404;
constexpr int statusBadRequest = 400;
constexpr int statusUnavailable = 503;
constexpr int statusBadGateway = 502;
constexpr int statusGatewayTimeout = 504;

int statusOf(OutboundRefusal refusal)
{
    switch (refusal) {
    case OutboundRefusal::NoRoute:
        return statusNotFound;
    case OutboundRefusal::BadRequest:
        return statusBadRequest;
    case OutboundRefusal::Unknown:
    case OutboundRefusal::Attempts:
    case OutboundRefusal::Budget:
        return statusBadGateway;
    case OutboundRefusal::Timeout:
        return statusGatewayTimeout;
    case OutboundRefusal::NotReady:
    case OutboundRefusal::NoServer:
    case OutboundRefusal::Overload:
    case OutboundRefusal::Poison:
    case OutboundRefusal::Stopping:
        return statusUnavailable;
    }
    return statusUnavailable;
}

} // namespace

OutboundCall::OutboundCall(OutboundProxy &side, evhttp_request *request)
    : side_(side), exchange_(side.loop_, request), table_(side.table_),
      arrivedAt_(now(SteadyClock()))
{
    exchange_.omitHeader(hopResponseHeader);
    if (side_.endsAt_)
        exchange_.closeAfterResponse();
}

OutboundCall::~OutboundCall() = default;

void OutboundCall::start()
{
    exchange_.watch([self = weak_from_this()] {
        if (const auto call = self.lock())
            call->onCallerGone();
    });
    if (!readHead()) {
        refuse(OutboundRefusal::BadRequest);
        return;
    }
    if (!table_) {
        refuse(OutboundRefusal::NotReady);
        return;
    }
    if (!findRoute()) {
        refuse(OutboundRefusal::NoRoute);
        return;
    }
    if (side_.poison_.hasSuspects()
        && side_.poison_.isRefused(requestFingerprint(exchange_.request()), arrivedAt_)) {
        refuse(OutboundRefusal::Poison);
        return;
    }
    if (side_.endsAt_ && arrivedAt_ + route_->objective * stoppingObjectives > *side_.endsAt_) {
        refuse(OutboundRefusal::Stopping);
        return;
    }
    const Milliseconds limit = callerTimeout_ == noDeadline
            ? route_->timeout
            : std::min(callerTimeout_, route_->timeout);
    deadline_ = arrivedAt_ + limit;
    if (callerTimeout_ != noDeadline && !isNestedCall_)
        elapsedBeforeArrival_ = side_.elapsedSinceFirstTry(route_->id, callerTimeout_);
    deadlineTimer_ = side_.loop_.after(limit, [this] { onDeadline(); });
    question_.service = side_.chooseService(*route_);
    question_.objective = route_->objective;
    question_.bytes = side_.meanCallBytes_[route_->id];
    maySwitchVersion_ = side_.chooseVersion(question_);
    place();
}

bool OutboundCall::readHead()
{
    const evkeyvalq *headers = evhttp_request_get_input_headers(exchange_.request());
    const CallHeaderNames &names = side_.dialect_.headers;
    id_ = findHeader(headers, names.requestId.c_str());
    const std::string_view text = findHeader(headers, names.deadline.c_str());
    std::int64_t deadline = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), deadline);
    if (!text.empty() && (error != std::errc() || end != text.data() + text.size() || deadline < 0))
        return false;
    callerTimeout_ = Milliseconds(deadline);
    // A server that makes a call for another one extends that one's id.
    const std::size_t dot = id_.rfind('.');
    isNestedCall_ = dot != std::string::npos && side_.handlers_.isRunningHere(id_.substr(0, dot));
    return !id_.empty();
}

bool OutboundCall::findRoute()
{
    const evkeyvalq *headers = evhttp_request_get_input_headers(exchange_.request());
    const evhttp_uri *uri = evhttp_request_get_evhttp_uri(exchange_.request());
    const char *path = uri ? evhttp_uri_get_path(uri) : nullptr;
    if (!path)
        return false;
    route_ = table_->match(findHeader(headers, "Host"), path);
    return route_ != nullptr;
}

Milliseconds OutboundCall::timeLeft() const
{
    if (deadline_ == TimePoint())
        return callerTimeout_;
    return std::chrono::duration_cast<Milliseconds>(deadline_ - now(SteadyClock()));
}

void OutboundCall::place()
{
    if (stalled_)
        stalled_->cancel();
    destroyLater(stalled_);
    const TimePoint time = now(SteadyClock());
    if (timeLeft() < minTimeLeft) {
        refuse(OutboundRefusal::Overload);
        return;
    }
    host_ = side_.placement_.choose(question_, time, side_.random_);
    if (!host_ && std::exchange(maySwitchVersion_, false)) {
        question_.isVersionExcluded = !question_.isVersionExcluded;
        host_ = side_.placement_.choose(question_, time, side_.random_);
    }
    if (!host_) {
        refuse(refusals_ > 0 ? OutboundRefusal::Overload : OutboundRefusal::NoServer);
        return;
    }
    const HostedServer &server = *host_->entry.server;
    hop_.run = host_->entry.run;
    hop_.server = server.id;
    hop_.service = question_.service;
    hop_.callerService = side_.settings_.callerService;
    hop_.rank = isNestedCall_ ? 0 : 1 + route_->priority;
    hop_.isIdempotent = route_->isIdempotent;
    hop_.objective = route_->objective;
    const auto spent
            = elapsedBeforeArrival_ + std::chrono::duration_cast<Milliseconds>(time - arrivedAt_);
    hop_.objectiveLeft = std::max(Milliseconds(0), route_->objective - spent);
    hop_.route = route_->id;
    resumes_ = 0;
    send(false);
}

void OutboundCall::send(bool isResumed)
{
    Placement::begin(*host_);
    AttemptHandlers handlers;
    handlers.onHead = [](evhttp_request *) { return false; };
    // Attempts outlive their place in the call only until the loop's next turn.
    const auto which = std::make_shared<Attempt *>(nullptr);
    handlers.onEnd = [this, which](const AttemptEnd &end) {
        if (*which == attempt_.get())
            onEnd(end);
        else if (*which == stalled_.get())
            onStalledAttemptEnd(end);
    };
    ConnectionNeed need{host_->entry.node, {}, {}};
    if (isResumed)
        need.idleSince = TimePoint::max();
    destroyLater(attempt_);
    attempt_ = std::make_unique<Attempt>(side_.loop_, side_.pool_, need, std::move(handlers));
    *which = attempt_.get();
    copyRequest(exchange_.request(), *attempt_);
    fillHeaders(isResumed);
    armProgressTimer();
    attempt_->send(evhttp_request_get_command(exchange_.request()),
                   evhttp_request_get_uri(exchange_.request()));
}

void OutboundCall::fillHeaders(bool isResumed)
{
    const CallHeaderNames &names = side_.dialect_.headers;
    evkeyvalq *headers = attempt_->headers();
    // Callers may not speak for nodes.
    evhttp_remove_header(headers, hopRequestHeader);
    evhttp_remove_header(headers, names.deadline.c_str());
    hop_.isResumed = isResumed;
    evhttp_add_header(headers, hopRequestHeader, encodeHopRequest(hop_).c_str());
    evhttp_add_header(headers, names.deadline.c_str(),
                      std::to_string(std::max<std::int64_t>(1, timeLeft().count())).c_str());
}

void OutboundCall::armProgressTimer()
{
    progressTimer_ = side_.loop_.after(connectTimeout, [this] {
        if (!attempt_->wasSent()) {
            attempt_->cancel();
            onFailure(AttemptFailure::NotSent);
            return;
        }
        const Microseconds expected
                = side_.placement_.expectedTime(*host_, route_->objective, now(SteadyClock()));
        const Milliseconds patience
                = std::max(minResumeDelay,
                           std::chrono::duration_cast<Milliseconds>(expected) * resumeDelayFactor);
        progressTimer_ = side_.loop_.after(patience, [this] { onStalled(); });
    });
}

// The connection may have gone silent: the host is asked again on another one.
void OutboundCall::onStalled()
{
    if (resumes_ >= maxResumes)
        return;
    ++resumes_;
    side_.resumes_.add();
    releaseHost();
    side_.pool_.dropIdle(host_->entry.node, now(SteadyClock()) - minResumeDelay);
    if (stalled_)
        stalled_->cancel();
    destroyLater(stalled_);
    stalled_ = std::move(attempt_);
    send(true);
}

// An attempt must not be freed inside its own callbacks.
void OutboundCall::destroyLater(std::unique_ptr<Attempt> &attempt)
{
    if (attempt)
        side_.loop_.post([kept = std::shared_ptr<Attempt>(std::move(attempt))] {});
}

void OutboundCall::cancelAttempts()
{
    if (stalled_)
        stalled_->cancel();
    destroyLater(stalled_);
    progressTimer_ = Timer();
    if (!attempt_)
        return;
    attempt_->cancel();
    releaseHost();
    destroyLater(attempt_);
}

void OutboundCall::onStalledAttemptEnd(const AttemptEnd &end)
{
    const auto keep = shared_from_this();
    const auto *answer = std::get_if<WholeAnswer>(&end);
    const bool isValidResponse = answer
            && decodeHopResponse(findHeader(evhttp_request_get_input_headers(answer->raw),
                                            hopResponseHeader));
    if (isDone_ || !isValidResponse) {
        destroyLater(stalled_);
        return;
    }
    if (attempt_)
        attempt_->cancel();
    else
        Placement::begin(*host_); // The pause before another attempt had released it.
    destroyLater(attempt_);
    attempt_ = std::move(stalled_);
    onHostResponse(answer->raw);
}

void OutboundCall::releaseHost()
{
    progressTimer_ = Timer();
    Placement::end(*host_);
}

void OutboundCall::onEnd(const AttemptEnd &end)
{
    struct Visitor
    {
        OutboundCall &call;
        void operator()(const WholeAnswer &answer) const { call.onHostResponse(answer.raw); }
        void operator()(const UnboundedAnswer &) const { call.onFailure(AttemptFailure::Broken); }
        void operator()(const StreamEnd &) const { call.onFailure(AttemptFailure::Broken); }
        void operator()(AttemptFailure failure) const { call.onFailure(failure); }
    };
    const auto keep = shared_from_this();
    std::visit(Visitor{*this}, end);
}

void OutboundCall::onHostResponse(evhttp_request *raw)
{
    const std::string_view text
            = findHeader(evhttp_request_get_input_headers(raw), hopResponseHeader);
    const Result<HopResponse> answer = decodeHopResponse(text);
    if (!answer) {
        onFailure(AttemptFailure::Broken);
        return;
    }
    releaseHost();
    side_.recordReport(*host_, *answer);
    minWait_ = minWait_ == Microseconds(0) ? answer->report.wait
                                           : std::min(minWait_, answer->report.wait);
    if (answer->result == HopResult::NotRun) {
        onHostRefused(answer->reason);
        return;
    }
    // The server has seen it.
    if (!std::exchange(reachedServer_, true))
        side_.budget_.noteFirst(question_.service, now(SteadyClock()));
    ++serversReached_;
    if (answer->result == HopResult::Answered) {
        isDone_ = true;
        side_.answers_.add();
        const int status = evhttp_request_get_response_code(raw);
        side_.duration_.record(now(SteadyClock()) - arrivedAt_);
        logEnd("answered", status);
        side_.recordCallBytes(route_->id,
                              evbuffer_get_length(evhttp_request_get_input_buffer(raw))
                                      + evbuffer_get_length(evhttp_request_get_input_buffer(
                                              exchange_.request())));
        exchange_.pass(raw);
        side_.end(*this);
    } else if (answer->result == HopResult::Shed) {
        retryOnOtherHost(OutboundRefusal::Overload);
    } else {
        onUnknownOutcome(answer->reason);
    }
}

void OutboundCall::onHostRefused(HopReason reason)
{
    ++refusals_;
    if (reason == HopReason::Poison) {
        refuse(OutboundRefusal::Poison);
        return;
    }
    const bool isClosed = reason == HopReason::Stopping || reason == HopReason::ServerGone
            || reason == HopReason::WrongServer;
    if (isClosed)
        Placement::noteClosed(*host_, now(SteadyClock()));
    question_.tried.insert(host_->entry.node);
    if (refusals_ >= maxRefusals)
        refuse(OutboundRefusal::Overload);
    else
        place();
}

void OutboundCall::onUnknownOutcome(HopReason reason)
{
    if (!route_->isIdempotent) {
        refuse(reason == HopReason::Timeout ? OutboundRefusal::Timeout : OutboundRefusal::Unknown);
        return;
    }
    retryOnOtherHost(OutboundRefusal::Budget);
}

// Sends the call to another server, which counts against the fleet's budget.
void OutboundCall::retryOnOtherHost(OutboundRefusal otherwise)
{
    question_.tried.insert(host_->entry.node);
    if (serversReached_ >= route_->attempts) {
        refuse(otherwise == OutboundRefusal::Overload ? otherwise : OutboundRefusal::Attempts);
        return;
    }
    if (timeLeft() < minTimeLeft || !side_.budget_.take(question_.service, now(SteadyClock()))) {
        refuse(otherwise);
        return;
    }
    side_.retries_.add();
    place();
}

void OutboundCall::onFailure(AttemptFailure failure)
{
    releaseHost();
    if (provesNotRun(failure) && resumes_ == 0) {
        onHostUnreachable();
        return;
    }
    if (provesNotRun(failure))
        Placement::noteUnreachable(*host_, now(SteadyClock()));
    if (resumes_ >= maxResumes || timeLeft() < minTimeLeft) {
        onUnknownOutcome(HopReason::BrokenResponse);
        return;
    }
    ++resumes_;
    side_.resumes_.add();
    destroyLater(attempt_);
    if (!provesNotRun(failure)) {
        progressTimer_ = side_.loop_.after(Milliseconds(0), [this] { send(true); });
        return;
    }
    // The host is down or cut off; a call that may run twice need not wait for it.
    if (route_->isIdempotent) {
        if (!std::exchange(reachedServer_, true))
            side_.budget_.noteFirst(question_.service, now(SteadyClock()));
        ++serversReached_;
        retryOnOtherHost(OutboundRefusal::Budget);
        return;
    }
    progressTimer_ = side_.loop_.after(unreachableResumeDelay, [this] { send(true); });
}

void OutboundCall::onHostUnreachable()
{
    Placement::noteUnreachable(*host_, now(SteadyClock()));
    side_.pool_.dropIdle(host_->entry.node, TimePoint::max());
    side_.log_.write(EventKind::Failure, entryPart, "host-unreachable",
                     {{"id", id_},
                      {"node", host_->entry.node.toString()},
                      {"failuresInRow", host_->failuresInRow}});
    question_.tried.insert(host_->entry.node);
    destroyLater(attempt_);
    progressTimer_ = side_.loop_.after(Milliseconds(0), [this] { place(); });
}

void OutboundCall::onDeadline()
{
    if (isDone_)
        return;
    cancelAttempts();
    refuse(OutboundRefusal::Timeout);
}

void OutboundCall::onCallerGone()
{
    if (isDone_)
        return;
    isDone_ = true;
    cancelAttempts();
    logEnd("caller-gone", 0);
    exchange_.abandon();
    side_.end(*this);
}

double OutboundCall::retryAfterSeconds() const
{
    const double wait = static_cast<double>(minWait_.count()) / 1e6;
    return std::max(minRetryAfterSeconds, wait / 2)
            + maxRetryAfterJitterSeconds * side_.random_.unit();
}

void OutboundCall::refuse(OutboundRefusal refusal)
{
    isDone_ = true;
    const int status = statusOf(refusal);
    side_.refusals_[static_cast<std::size_t>(refusal)]->add();
    logEnd(outboundRefusalName(refusal), status);
    LocalResponse answer{status, {}, std::string(outboundRefusalName(refusal)) + "\n"};
    if (status == statusUnavailable && refusal != OutboundRefusal::Poison) {
        answer.headers.emplace_back(side_.dialect_.headers.retryAfter,
                                    std::to_string(retryAfterSeconds()));
    }
    exchange_.send(answer);
    side_.end(*this);
}

void OutboundCall::logEnd(std::string_view outcome, int status)
{
    const bool isServed = outcome == "answered" && status < statusBadRequest;
    const EventKind kind = isServed ? EventKind::Success : EventKind::Failure;
    if (!side_.log_.hasRoom(kind))
        return;
    const TimePoint time = now(SteadyClock());
    if (!route_) {
        const evkeyvalq *headers = evhttp_request_get_input_headers(exchange_.request());
        side_.log_.write(kind, entryPart, "call-unrouted",
                         {{"id", id_},
                          {"revision", table_ ? table_->revision().value() : 0},
                          {"outcome", outcome},
                          {"status", status},
                          {"host", findHeader(headers, "Host")},
                          {"uri", evhttp_request_get_uri(exchange_.request())}});
        return;
    }
    side_.log_.write(kind, entryPart, "call-ended",
                     {{"id", id_},
                      {"route", route_->id.value()},
                      {"revision", table_->revision().value()},
                      {"outcome", outcome},
                      {"status", status},
                      {"service", question_.service.value()},
                      {"node", host_ ? host_->entry.node.toString() : ""},
                      {"reportAgeMs", host_ ? (time - host_->reportedAt).count() / 1000 : -1},
                      {"serversReached", serversReached_},
                      {"refusals", refusals_},
                      {"resumes", resumes_},
                      {"ofServer", isNestedCall_},
                      {"leftMs", timeLeft().count()},
                      {"tookMs", (time - arrivedAt_).count() / 1000}});
}

} // namespace cornelhead::detail
