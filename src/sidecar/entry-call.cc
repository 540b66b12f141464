// Implements a caller's call.
#include "cornelhead/sidecar/entry-call.h"

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
constexpr Milliseconds leastPatience(200);
/// Patience with a host: this many times the time that the call is expected to take there.
constexpr int patienceFactor = 3;
/// A host that could not be reached may hold the call's outcome; it is asked again this often.
constexpr Milliseconds resumePause(300);
constexpr std::uint32_t mostResumes = 6;
/// Hosts that may refuse a call before the caller is told to come back.
constexpr std::uint32_t mostRefusals = 3;
/// A call with less time left is not worth sending.
constexpr Milliseconds leastTime(5);
/// A stopping process takes only calls that would end in time even if they took this many
/// objectives.
constexpr int stoppingMargin = 2;
/// Callers without a deadline wait as long as the route allows.
constexpr Milliseconds noDeadline(0);
/// Callers come back no sooner, so that a refused crowd does not return as one.
constexpr double leastRetryAfter = 0.05;
constexpr double retryAfterJitter = 0.1;

constexpr int statusNotFound = 404;
constexpr int statusBadRequest = 400;
constexpr int statusUnavailable = 503;
constexpr int statusBadGateway = 502;
constexpr int statusGatewayTimeout = 504;

int statusOf(EntryRefusal refusal)
{
    switch (refusal) {
    case EntryRefusal::NoRoute:
        return statusNotFound;
    case EntryRefusal::BadRequest:
        return statusBadRequest;
    case EntryRefusal::Unknown:
    case EntryRefusal::Attempts:
    case EntryRefusal::Budget:
        return statusBadGateway;
    case EntryRefusal::Timeout:
        return statusGatewayTimeout;
    case EntryRefusal::NotReady:
    case EntryRefusal::NoServer:
    case EntryRefusal::Overload:
    case EntryRefusal::Poison:
    case EntryRefusal::Stopping:
        return statusUnavailable;
    }
    return statusUnavailable;
}

} // namespace

EntryCall::EntryCall(EntrySide &side, evhttp_request *request)
    : side_(side), exchange_(side.loop_, request), table_(side.table_),
      arrivedAt_(now(SteadyClock()))
{
    exchange_.leaveOut(hopAnswerHeader);
    if (side_.endsAt_)
        exchange_.closeAfterAnswer();
}

EntryCall::~EntryCall() = default;

void EntryCall::start()
{
    exchange_.watch([self = weak_from_this()] {
        if (const auto call = self.lock())
            call->onCallerGone();
    });
    if (!readHead()) {
        refuse(EntryRefusal::BadRequest);
        return;
    }
    if (!table_) {
        refuse(EntryRefusal::NotReady);
        return;
    }
    if (!findRoute()) {
        refuse(EntryRefusal::NoRoute);
        return;
    }
    if (side_.poison_.hasSuspects()
        && side_.poison_.isRefused(requestFingerprint(exchange_.request()), arrivedAt_)) {
        refuse(EntryRefusal::Poison);
        return;
    }
    if (side_.endsAt_ && arrivedAt_ + route_->objective * stoppingMargin > *side_.endsAt_) {
        refuse(EntryRefusal::Stopping);
        return;
    }
    const Milliseconds limit
            = deadline_ == noDeadline ? route_->timeout : std::min(deadline_, route_->timeout);
    finishBy_ = arrivedAt_ + limit;
    if (deadline_ != noDeadline && !isServerCall_)
        elapsed_ = side_.elapsedOf(route_->id, deadline_);
    finishTimer_ = side_.loop_.after(limit, [this] { onFinishDue(); });
    question_.service = side_.chooseService(*route_);
    question_.objective = route_->objective;
    question_.bytes = side_.bytes_[route_->id];
    maySwitchVersion_ = side_.chooseVersion(question_);
    place();
}

bool EntryCall::readHead()
{
    const evkeyvalq *headers = evhttp_request_get_input_headers(exchange_.request());
    const CallHeaderNames &names = side_.dialect_.headers;
    id_ = findHeader(headers, names.requestId.c_str());
    const std::string_view text = findHeader(headers, names.deadline.c_str());
    std::int64_t deadline = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), deadline);
    if (!text.empty() && (error != std::errc() || end != text.data() + text.size() || deadline < 0))
        return false;
    deadline_ = Milliseconds(deadline);
    // A server that makes a call for another one extends that one's id.
    const std::size_t dot = id_.rfind('.');
    isServerCall_ = dot != std::string::npos && side_.handlers_.runsHere(id_.substr(0, dot));
    return !id_.empty();
}

bool EntryCall::findRoute()
{
    const evkeyvalq *headers = evhttp_request_get_input_headers(exchange_.request());
    const evhttp_uri *uri = evhttp_request_get_evhttp_uri(exchange_.request());
    const char *path = uri ? evhttp_uri_get_path(uri) : nullptr;
    if (!path)
        return false;
    route_ = table_->match(findHeader(headers, "Host"), path);
    return route_ != nullptr;
}

Milliseconds EntryCall::timeLeft() const
{
    if (finishBy_ == TimePoint())
        return deadline_;
    return std::chrono::duration_cast<Milliseconds>(finishBy_ - now(SteadyClock()));
}

void EntryCall::place()
{
    if (silent_)
        silent_->cancel();
    retire(silent_);
    const TimePoint time = now(SteadyClock());
    if (timeLeft() < leastTime) {
        refuse(EntryRefusal::Overload);
        return;
    }
    host_ = side_.placement_.choose(question_, time, side_.random_);
    if (!host_ && std::exchange(maySwitchVersion_, false)) {
        question_.isVersionExcluded = !question_.isVersionExcluded;
        host_ = side_.placement_.choose(question_, time, side_.random_);
    }
    if (!host_) {
        refuse(refusals_ > 0 ? EntryRefusal::Overload : EntryRefusal::NoServer);
        return;
    }
    const HostedServer &server = *host_->entry.server;
    hop_.run = host_->entry.run;
    hop_.server = server.id;
    hop_.service = question_.service;
    hop_.callerService = side_.settings_.callerService;
    hop_.rank = isServerCall_ ? 0 : 1 + route_->priority;
    hop_.isIdempotent = route_->isIdempotent;
    hop_.objective = route_->objective;
    const auto spent = elapsed_ + std::chrono::duration_cast<Milliseconds>(time - arrivedAt_);
    hop_.objectiveLeft = std::max(Milliseconds(0), route_->objective - spent);
    hop_.route = route_->id;
    resumes_ = 0;
    send(false);
}

void EntryCall::send(bool isResumed)
{
    Placement::begin(*host_);
    AttemptHandlers handlers;
    handlers.onHead = [](evhttp_request *) { return false; };
    // Attempts outlive their place in the call only until the loop's next turn.
    const auto which = std::make_shared<Attempt *>(nullptr);
    handlers.onEnd = [this, which](const AttemptEnd &end) {
        if (*which == attempt_.get())
            onEnd(end);
        else if (*which == silent_.get())
            onSilentEnd(end);
    };
    ConnectionNeed need{host_->entry.node, {}, {}};
    if (isResumed)
        need.idleSince = TimePoint::max();
    retire(attempt_);
    attempt_ = std::make_unique<Attempt>(side_.loop_, side_.pool_, need, std::move(handlers));
    *which = attempt_.get();
    copyRequest(exchange_.request(), *attempt_);
    fillHeaders(isResumed);
    armProgressTimer();
    attempt_->send(evhttp_request_get_command(exchange_.request()),
                   evhttp_request_get_uri(exchange_.request()));
}

void EntryCall::fillHeaders(bool isResumed)
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

void EntryCall::armProgressTimer()
{
    progressTimer_ = side_.loop_.after(connectTimeout, [this] {
        if (!attempt_->wasSent()) {
            attempt_->cancel();
            onFailure(AttemptFailure::NotSent);
            return;
        }
        const Microseconds expected
                = side_.placement_.expectedTime(*host_, route_->objective, now(SteadyClock()));
        const Milliseconds patience = std::max(
                leastPatience, std::chrono::duration_cast<Milliseconds>(expected) * patienceFactor);
        progressTimer_ = side_.loop_.after(patience, [this] { onProgressDue(); });
    });
}

// The connection may have gone silent: the host is asked again on another one.
void EntryCall::onProgressDue()
{
    if (resumes_ >= mostResumes)
        return;
    ++resumes_;
    side_.resumes_.add();
    releaseHost();
    side_.pool_.dropIdle(host_->entry.node, now(SteadyClock()) - leastPatience);
    if (silent_)
        silent_->cancel();
    retire(silent_);
    silent_ = std::move(attempt_);
    send(true);
}

// An attempt must not be freed inside its own callbacks.
void EntryCall::retire(std::unique_ptr<Attempt> &attempt)
{
    if (attempt)
        side_.loop_.post([kept = std::shared_ptr<Attempt>(std::move(attempt))] {});
}

void EntryCall::cancelAttempts()
{
    if (silent_)
        silent_->cancel();
    retire(silent_);
    progressTimer_ = Timer();
    if (!attempt_)
        return;
    attempt_->cancel();
    releaseHost();
    retire(attempt_);
}

void EntryCall::onSilentEnd(const AttemptEnd &end)
{
    const auto keep = shared_from_this();
    const auto *answer = std::get_if<WholeAnswer>(&end);
    const bool isSound = answer
            && decodeHopAnswer(findHeader(evhttp_request_get_input_headers(answer->raw),
                                          hopAnswerHeader));
    if (isOver_ || !isSound) {
        retire(silent_);
        return;
    }
    if (attempt_)
        attempt_->cancel();
    else
        Placement::begin(*host_); // The pause before another attempt had released it.
    retire(attempt_);
    attempt_ = std::move(silent_);
    onHostAnswer(answer->raw);
}

void EntryCall::releaseHost()
{
    progressTimer_ = Timer();
    Placement::end(*host_);
}

void EntryCall::onEnd(const AttemptEnd &end)
{
    struct Visitor
    {
        EntryCall &call;
        void operator()(const WholeAnswer &answer) const { call.onHostAnswer(answer.raw); }
        void operator()(const UnboundedAnswer &) const { call.onFailure(AttemptFailure::Broken); }
        void operator()(const StreamEnd &) const { call.onFailure(AttemptFailure::Broken); }
        void operator()(AttemptFailure failure) const { call.onFailure(failure); }
    };
    const auto keep = shared_from_this();
    std::visit(Visitor{*this}, end);
}

void EntryCall::onHostAnswer(evhttp_request *raw)
{
    const std::string_view text
            = findHeader(evhttp_request_get_input_headers(raw), hopAnswerHeader);
    const Result<HopAnswer> answer = decodeHopAnswer(text);
    if (!answer) {
        onFailure(AttemptFailure::Broken);
        return;
    }
    releaseHost();
    side_.noteReport(*host_, *answer);
    shortestWait_ = shortestWait_ == Microseconds(0) ? answer->report.wait
                                                     : std::min(shortestWait_, answer->report.wait);
    if (answer->result == HopResult::NotRun) {
        onRefused(answer->reason);
        return;
    }
    // The server has seen it.
    if (!std::exchange(isSentToServer_, true))
        side_.budget_.noteFirst(question_.service, now(SteadyClock()));
    ++serversReached_;
    if (answer->result == HopResult::Answered) {
        isOver_ = true;
        side_.served_.add();
        const int status = evhttp_request_get_response_code(raw);
        side_.duration_.record(now(SteadyClock()) - arrivedAt_);
        logEnd("answered", status);
        side_.noteBytes(route_->id,
                        evbuffer_get_length(evhttp_request_get_input_buffer(raw))
                                + evbuffer_get_length(
                                        evhttp_request_get_input_buffer(exchange_.request())));
        exchange_.pass(raw);
        side_.end(*this);
    } else if (answer->result == HopResult::Shed) {
        tryElsewhere(EntryRefusal::Overload);
    } else {
        onUnknown(answer->reason);
    }
}

void EntryCall::onRefused(HopReason reason)
{
    ++refusals_;
    if (reason == HopReason::Poison) {
        refuse(EntryRefusal::Poison);
        return;
    }
    const bool isClosed = reason == HopReason::Stopping || reason == HopReason::ServerGone
            || reason == HopReason::OtherServer;
    if (isClosed)
        Placement::noteClosed(*host_, now(SteadyClock()));
    question_.tried.insert(host_->entry.node);
    if (refusals_ >= mostRefusals)
        refuse(EntryRefusal::Overload);
    else
        place();
}

void EntryCall::onUnknown(HopReason reason)
{
    if (!route_->isIdempotent) {
        refuse(reason == HopReason::Timeout ? EntryRefusal::Timeout : EntryRefusal::Unknown);
        return;
    }
    tryElsewhere(EntryRefusal::Budget);
}

// Sends the call to another server, which counts against the fleet's budget.
void EntryCall::tryElsewhere(EntryRefusal otherwise)
{
    question_.tried.insert(host_->entry.node);
    if (serversReached_ >= route_->attempts) {
        refuse(otherwise == EntryRefusal::Overload ? otherwise : EntryRefusal::Attempts);
        return;
    }
    if (timeLeft() < leastTime || !side_.budget_.take(question_.service, now(SteadyClock()))) {
        refuse(otherwise);
        return;
    }
    side_.retries_.add();
    place();
}

void EntryCall::onFailure(AttemptFailure failure)
{
    releaseHost();
    if (provesNotRun(failure) && resumes_ == 0) {
        onUnreachable();
        return;
    }
    if (provesNotRun(failure))
        Placement::noteUnreachable(*host_, now(SteadyClock()));
    if (resumes_ >= mostResumes || timeLeft() < leastTime) {
        onUnknown(HopReason::BrokenAnswer);
        return;
    }
    ++resumes_;
    side_.resumes_.add();
    retire(attempt_);
    if (!provesNotRun(failure)) {
        progressTimer_ = side_.loop_.after(Milliseconds(0), [this] { send(true); });
        return;
    }
    // The host is down or cut off; a call that may run twice need not wait for it.
    if (route_->isIdempotent) {
        if (!std::exchange(isSentToServer_, true))
            side_.budget_.noteFirst(question_.service, now(SteadyClock()));
        ++serversReached_;
        tryElsewhere(EntryRefusal::Budget);
        return;
    }
    progressTimer_ = side_.loop_.after(resumePause, [this] { send(true); });
}

void EntryCall::onUnreachable()
{
    Placement::noteUnreachable(*host_, now(SteadyClock()));
    side_.pool_.dropIdle(host_->entry.node, TimePoint::max());
    side_.log_.write(EventKind::Failure, entryPart, "host-unreachable",
                     {{"id", id_},
                      {"node", host_->entry.node.toString()},
                      {"failuresInRow", host_->failuresInRow}});
    question_.tried.insert(host_->entry.node);
    retire(attempt_);
    progressTimer_ = side_.loop_.after(Milliseconds(0), [this] { place(); });
}

void EntryCall::onFinishDue()
{
    if (isOver_)
        return;
    cancelAttempts();
    refuse(EntryRefusal::Timeout);
}

void EntryCall::onCallerGone()
{
    if (isOver_)
        return;
    isOver_ = true;
    cancelAttempts();
    logEnd("caller-gone", 0);
    exchange_.abandon();
    side_.end(*this);
}

double EntryCall::retryAfterSeconds() const
{
    const double wait = static_cast<double>(shortestWait_.count()) / 1e6;
    return std::max(leastRetryAfter, wait / 2) + retryAfterJitter * side_.random_.unit();
}

void EntryCall::refuse(EntryRefusal refusal)
{
    isOver_ = true;
    const int status = statusOf(refusal);
    side_.refusals_[static_cast<std::size_t>(refusal)]->add();
    logEnd(entryRefusalName(refusal), status);
    OwnAnswer answer{status, {}, std::string(entryRefusalName(refusal)) + "\n"};
    if (status == statusUnavailable && refusal != EntryRefusal::Poison) {
        answer.headers.emplace_back(side_.dialect_.headers.retryAfter,
                                    std::to_string(retryAfterSeconds()));
    }
    exchange_.send(answer);
    side_.end(*this);
}

void EntryCall::logEnd(std::string_view outcome, int status)
{
    const bool isServed = outcome == "answered" && status < statusBadRequest;
    const EventKind kind = isServed ? EventKind::Success : EventKind::Failure;
    if (!side_.log_.hasBudget(kind))
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
                      {"ofServer", isServerCall_},
                      {"leftMs", timeLeft().count()},
                      {"tookMs", (time - arrivedAt_).count() / 1000}});
}

} // namespace cornelhead::detail
