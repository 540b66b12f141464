// Implements a call of a local caller.
#include "cornelhead/sidecar/outbound-call.h"

#include <algorithm>
#include <charconv>

#include <event2/buffer.h>
#include <event2/http.h>

#include "cornelhead/proxy/request-head.h"
#include "cornelhead/routing/call-rank.h"
#include "cornelhead/sidecar/customer-identity.h"

namespace cornelhead::detail {

namespace {

constexpr const char *outboundPart = "entry";
/// Another host accepts within two milliseconds unless it is down, unreachable or frozen.
constexpr Milliseconds connectTimeout(250);
/// A call whose host has not answered is resumed on a new connection after this many times the time
/// that the host is expected to take, but no sooner than `minResumeDelay`.
constexpr int resumeDelayFactor = 3;
constexpr Milliseconds minResumeDelay(200);
/// A body may take this many times the expected time, as its links are shared.
constexpr int bodyDelayFactor = 2;
/// Share of the objective by which a large body must have been sent; the rest is for its server.
constexpr double objectiveShare = 0.85;
/// A host that became unreachable may hold the call's outcome; the resume is retried at this
/// interval.
constexpr Milliseconds unreachableResumeDelay(300);
/// Maximum number of resumes of a call at one host.
constexpr std::uint32_t maxResumes = 6;
/// Refusals by hosts before the call is refused with a Retry-After header.
constexpr std::uint32_t maxRefusals = 3;
/// A call with less time left is not worth sending.
constexpr Milliseconds minTimeLeft(5);
/// A stopping process takes only calls that would end in time even if they took this many times
/// their objective.
constexpr int stoppingObjectives = 2;
/// Kept between the end of a call at its server and the end of this process, for the response.
constexpr Milliseconds stopAnswerTime(200);
/// Callers that name no deadline wait as long as the route allows.
constexpr Milliseconds noTimeout(0);
/// Lower bound of Retry-After, with jitter so that refused callers do not all return at once.
constexpr double minRetryAfterSeconds = 0.05;
constexpr double maxRetryAfterJitterSeconds = 0.1;
/// A caller that returns needs this many times the mean service time to be answered in time.
constexpr double reservedWork = 1.5;

constexpr int statusNotFound = 404;
constexpr int statusUnauthorized = 401;
constexpr int statusTooManyRequests = 429;
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
    case OutboundRefusal::MaxAttempts:
    case OutboundRefusal::RetryBudget:
        return statusBadGateway;
    case OutboundRefusal::Timeout:
        return statusGatewayTimeout;
    case OutboundRefusal::UnknownKey:
        return statusUnauthorized;
    case OutboundRefusal::Quota:
        return statusTooManyRequests;
    case OutboundRefusal::NotReady:
    case OutboundRefusal::NoServer:
    case OutboundRefusal::Overload:
    case OutboundRefusal::Poison:
    case OutboundRefusal::Stopping:
    case OutboundRefusal::UnknownParent:
        return statusUnavailable;
    }
    return statusUnavailable;
}

} // namespace

OutboundCall::OutboundCall(OutboundProxy &proxy, IncomingRequest request)
    : proxy_(proxy), exchange_(std::move(request)), table_(proxy.table_),
      arrivedAt_(now(SteadyClock()))
{
    exchange_.omitHeader(hopResponseHeader);
}

OutboundCall::~OutboundCall()
{
    releaseLink();
}

void OutboundCall::start()
{
    exchange_.watchConnection([self = weak_from_this()] {
        if (const auto call = self.lock())
            call->onCallerDisconnect();
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
    if (isOuterCallCancelled()) {
        refuse(OutboundRefusal::UnknownParent);
        return;
    }
    if (!identify())
        return;
    if (proxy_.poison_.hasSuspects()
        && proxy_.poison_.isRefused(hostRequestFingerprint(exchange_.request().view()),
                                    arrivedAt_)) {
        refuse(OutboundRefusal::Poison);
        return;
    }
    const Milliseconds limit = callerTimeout_ == noTimeout
            ? route_->timeout
            : std::min(callerTimeout_, route_->timeout);
    if (proxy_.stop_ && isRefusedByStop(limit)) {
        refuse(OutboundRefusal::Stopping);
        return;
    }
    deadline_ = arrivedAt_ + limit;
    serverDeadline_ = deadline_;
    if (proxy_.stop_ && deadline_ > proxy_.stop_->endsAt) {
        deadline_ = proxy_.stop_->endsAt;
        serverDeadline_ = deadline_ - stopAnswerTime;
    }
    if (callerTimeout_ != noTimeout && !isNestedCall_)
        elapsedBeforeArrival_ = proxy_.elapsedSinceFirstTry(route_->id, callerTimeout_);
    deadlineTimer_
            = proxy_.loop_.after(std::chrono::duration_cast<Milliseconds>(deadline_ - arrivedAt_),
                                 [this] { onDeadline(); });
    checkQuota();
}

void OutboundCall::checkQuota()
{
    if (!customer_) {
        onQuota({});
        return;
    }
    const auto decide = [self = weak_from_this(), &proxy = proxy_,
                         customer = customer_->id](std::optional<Milliseconds> retryAfter) {
        const auto call = self.lock();
        if (call && !call->isDone_)
            call->onQuota(retryAfter);
        else if (!retryAfter)
            proxy.handlers_.returnQuota(customer);
    };
    proxy_.handlers_.admit(*customer_, decide);
}

void OutboundCall::onQuota(std::optional<Milliseconds> retryAfter)
{
    if (retryAfter) {
        quotaWait_ = *retryAfter;
        refuse(OutboundRefusal::Quota);
        return;
    }
    isInQuota_ = customer_ && customer_->quota.isLimited();
    placementRequest_.service = proxy_.chooseService(*route_);
    placementRequest_.objective = route_->objective;
    placementRequest_.bytes = proxy_.meanCallBytes_[route_->id];
    placementRequest_.body = OutgoingBody{evbuffer_get_length(exchange_.request().body.get()),
                                          proxy_.settings_.link};
    maySwitchVersion_ = proxy_.chooseVersion(placementRequest_);
    selectHost();
}

bool OutboundCall::readHead()
{
    const evkeyvalq *headers = &exchange_.request().headers;
    const CallHeaderNames &names = proxy_.dialect_.headers;
    const char *requestId = names.requestId.c_str();
    const auto fault = table_ && table_->customers()
            ? findRequestFault(headers, {requestId, names.authorization.c_str()})
            : findRequestFault(headers, {requestId});
    if (fault) {
        // It is uncertain where the next request begins.
        exchange_.closeAfterResponse();
        return false;
    }
    if (!exchange_.request().isTargetValid())
        return false;
    id_ = findHeader(headers, names.requestId.c_str());
    const std::string_view text = findHeader(headers, names.deadline.c_str());
    std::int64_t timeoutMs = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), timeoutMs);
    if (!text.empty()
        && (error != std::errc() || end != text.data() + text.size() || timeoutMs < 0))
        return false;
    callerTimeout_ = Milliseconds(timeoutMs);
    // A server that makes a call while it runs another one appends a suffix to the other's id.
    const std::size_t dot = id_.rfind('.');
    hasNestedId_ = dot != std::string::npos;
    isNestedCall_ = hasNestedId_ && proxy_.handlers_.isRunningHere(id_.substr(0, dot));
    return !id_.empty();
}

bool OutboundCall::isOuterCallCancelled() const
{
    return hasNestedId_ && !isNestedCall_
            && proxy_.handlers_.isCancelledHere(id_.substr(0, id_.rfind('.')));
}

bool OutboundCall::isRefusedByStop(Milliseconds limit) const
{
    const StopSchedule &stop = *proxy_.stop_;
    if (arrivedAt_ + limit <= stop.endsAt)
        return false;
    // Callers that know of the stop reach another node at once; a call that may run only once
    // would end with an unknown outcome here.
    if (!route_->isIdempotent && arrivedAt_ >= stop.callersGoneAt)
        return true;
    return arrivedAt_ + route_->objective * stoppingObjectives + stopAnswerTime > stop.endsAt;
}

bool OutboundCall::findRoute()
{
    const ReceivedRequest &request = exchange_.request();
    route_ = table_->match(findHeader(&request.headers, "Host"), request.path());
    return route_ != nullptr;
}

bool OutboundCall::identify()
{
    const CallHeaderNames &names = proxy_.dialect_.headers;
    const evkeyvalq *headers = &exchange_.request().headers;
    const auto customer
            = identifyCustomer(*table_, *route_,
                               CallCredentials{findHeader(headers, names.authorization.c_str()),
                                               names.keyScheme, isNestedCall_, hasNestedId_});
    if (customer) {
        customer_ = *customer;
        return true;
    }
    refuse(customer.error() == IdentityFault::UnknownKey ? OutboundRefusal::UnknownKey
                                                         : OutboundRefusal::UnknownParent);
    return false;
}

Milliseconds OutboundCall::timeLeft() const
{
    if (deadline_ == TimePoint())
        return callerTimeout_;
    return std::chrono::duration_cast<Milliseconds>(deadline_ - now(SteadyClock()));
}

void OutboundCall::selectHost()
{
    if (stalled_)
        stalled_->cancel();
    destroyLater(stalled_);
    destroyLater(attempt_);
    const TimePoint time = now(SteadyClock());
    if (timeLeft() < minTimeLeft) {
        refuse(OutboundRefusal::Overload);
        return;
    }
    if (!hasLink())
        return;
    host_ = proxy_.placement_.choose(placementRequest_, time, proxy_.random_);
    if (!host_ && std::exchange(maySwitchVersion_, false)) {
        placementRequest_.isVersionExcluded = !placementRequest_.isVersionExcluded;
        placementRequest_.maxServers = 0;
        host_ = proxy_.placement_.choose(placementRequest_, time, proxy_.random_);
    }
    if (!host_) {
        refuse(refusals_ > 0 ? OutboundRefusal::Overload : OutboundRefusal::NoServer);
        return;
    }
    const HostedServer &server = *host_->entry.server;
    hop_.run = host_->entry.run;
    hop_.server = server.id;
    hop_.service = placementRequest_.service;
    hop_.callerService = proxy_.settings_.callerService;
    hop_.rank = isNestedCall_
            ? nestedCallRank
            : callRank(customer_ ? customer_->priority : std::nullopt, route_->priority);
    hop_.customer = customer_ ? customer_->id : CustomerId();
    hop_.isIdempotent = route_->isIdempotent;
    hop_.objective = route_->objective;
    hop_.objectiveLeft = std::max(Milliseconds(0), route_->objective - elapsedSinceFirstTry());
    hop_.route = route_->id;
    hop_.knownLimit = proxy_.placement_.knownLimit(*host_);
    const std::vector<Placement::Host> &busy = placementRequest_.busy;
    hop_.mayHandBack = std::find(busy.begin(), busy.end(), host_) == busy.end()
            && proxy_.handBack_.allows(hop_.service, handBacks_);
    resumes_ = 0;
    offerOrSend();
}

bool OutboundCall::hasLink()
{
    if (upload_ || !isLargeBody(placementRequest_.body, LinkSpeed()))
        return true;
    const TimePoint time = now(SteadyClock());
    const auto objective = std::chrono::duration_cast<Microseconds>(
            (route_->objective - elapsedBeforeArrival_) * objectiveShare);
    const TimePoint usefulBy = isNestedCall_ ? deadline_ : arrivedAt_ + objective;
    Upload upload{{}, placementRequest_.body.bytes, std::min(usefulBy, deadline_), deadline_};
    const auto verdict = proxy_.uploads_.add(id_, upload, [this](UploadTurn turn) {
        const auto self = shared_from_this();
        if (turn == UploadTurn::Send) {
            selectHost();
            return;
        }
        linkWait_ = proxy_.uploads_.queue().backlog(now(SteadyClock()));
        refuse(OutboundRefusal::Overload);
    });
    if (verdict == UploadQueue::Verdict::Refuse) {
        linkWait_ = proxy_.uploads_.queue().backlog(time);
        refuse(OutboundRefusal::Overload);
        return false;
    }
    upload_ = upload.ticket;
    return verdict == UploadQueue::Verdict::Start;
}

void OutboundCall::releaseLink()
{
    if (upload_)
        proxy_.uploads_.release(*std::exchange(upload_, std::nullopt));
}

void OutboundCall::offerOrSend()
{
    if (!isLargeBody(placementRequest_.body, host_->report.link.speed)) {
        send(false);
        return;
    }
    Placement::begin(*host_);
    proxy_.uploads_.countOffer();
    hop_.isResumed = false;
    // The offer may have to wait for another body that this node sends at the moment.
    const UploadQueue &queue = proxy_.uploads_.queue();
    const Microseconds otherTime = queue.sendingTime(now(SteadyClock()))
            - queue.link().timeOf(placementRequest_.body.bytes);
    // So may its answer, for bodies on their way to the host.
    const InboundLoad &inbound = host_->report.link;
    const Microseconds hostTime = inbound.speed.timeOf(inbound.bytes)
            - Microseconds(now(SteadyClock()) - host_->reportedAt);
    const Milliseconds timeout = connectTimeout
            + std::chrono::duration_cast<Milliseconds>(
                                         std::max({Microseconds(0), otherTime, hostTime}));
    offer_ = std::make_unique<BodyOffer>(
            proxy_.loop_, proxy_.pool_, proxy_.dialect_, host_->entry.node,
            BodyOffer::Content{id_, OfferRequest{placementRequest_.body.bytes, hop_}, timeLeft()},
            timeout, [this](const OfferOutcome &outcome) { onOfferEnd(outcome); });
}

void OutboundCall::onOfferEnd(const OfferOutcome &outcome)
{
    const auto self = shared_from_this();
    offer_.reset();
    releaseHost();
    proxy_.uploads_.recordOfferEnd(id_, host_->entry.node, outcome);
    struct Visitor
    {
        OutboundCall &call;
        void operator()(const OfferUnanswered &) const
        {
            call.onHostUnreachable(ConnectFailure::TimedOut);
        }
        void operator()(const OfferUnknown &) const { call.send(false); }
        void operator()(const HopResponse &response) const
        {
            call.recordResponse(response);
            if (response.reason != HopReason::None) {
                call.onHostRefused(response.reason);
                return;
            }
            // A body that was sent at the host's word is not handed back.
            call.hop_.mayHandBack = false;
            call.send(false);
        }
    };
    std::visit(Visitor{*this}, outcome);
}

void OutboundCall::recordResponse(const HopResponse &response)
{
    proxy_.recordReport(*host_, response);
    const HostReport &report = response.report;
    const Microseconds wait = isLargeBody(placementRequest_.body, report.link.speed)
            ? std::max(report.wait, report.link.speed.timeOf(report.link.bytes))
            : report.wait;
    minWait_ = minWait_ == Microseconds(0) ? wait : std::min(minWait_, wait);
}

void OutboundCall::send(bool isResumed)
{
    Placement::begin(*host_);
    if (!isResumed)
        sentAt_ = now(SteadyClock());
    AttemptHandlers handlers;
    handlers.onHead = [](evhttp_request *) { return false; };
    // An attempt that was replaced may still run its callback, which is then ignored.
    const auto thisAttempt = std::make_shared<Attempt *>(nullptr);
    handlers.onEnd = [this, thisAttempt](const AttemptOutcome &end) {
        if (*thisAttempt == attempt_.get())
            onAttemptEnd(end);
        else if (*thisAttempt == stalled_.get())
            onStalledAttemptEnd(end);
    };
    if (upload_)
        handlers.onSent = [this] {
            if (upload_)
                proxy_.uploads_.recordSent(*std::exchange(upload_, std::nullopt));
        };
    ConnectionSpec need{host_->entry.node, {}, {}};
    if (isResumed)
        need.idleSince = TimePoint::max();
    destroyLater(attempt_);
    attempt_ = std::make_unique<Attempt>(proxy_.loop_, proxy_.pool_, need, std::move(handlers));
    *thisAttempt = attempt_.get();
    copyRequest(exchange_.request().view(), *attempt_);
    fillHeaders(isResumed);
    armProgressTimer();
    attempt_->send(exchange_.request().method, exchange_.request().uri.c_str());
}

void OutboundCall::fillHeaders(bool isResumed)
{
    const CallHeaderNames &names = proxy_.dialect_.headers;
    evkeyvalq *headers = attempt_->headers();
    hop_.isResumed = isResumed;
    // Replaces what a caller sent under these names, which may be forged.
    setHeader(headers, hopRequestHeader, encodeHopRequest(hop_));
    if (table_->customers()) {
        removeHeader(headers, names.authorization.c_str());
        removeHeader(headers, names.customer.c_str());
    }
    const auto serverTime
            = std::chrono::duration_cast<Milliseconds>(serverDeadline_ - now(SteadyClock()));
    setHeader(headers, names.deadline.c_str(),
              std::to_string(std::max<std::int64_t>(1, serverTime.count())));
}

void OutboundCall::armProgressTimer()
{
    progressTimer_ = proxy_.loop_.after(connectTimeout, [this] {
        if (!attempt_->wasSent()) {
            attempt_->cancel();
            onAttemptFailure(AttemptFailure::NotSent, ConnectFailure::TimedOut);
            return;
        }
        const Microseconds expected
                = proxy_.placement_.expectedTime(*host_, route_->objective, now(SteadyClock()));
        const Milliseconds delay
                = std::max(minResumeDelay,
                           std::chrono::duration_cast<Milliseconds>(expected) * resumeDelayFactor)
                + bodyDelay();
        progressTimer_ = proxy_.loop_.after(delay, [this] { onStalled(); });
    });
}

// A body that is still on its way is no sign of a dead connection.
Milliseconds OutboundCall::bodyDelay() const
{
    const Microseconds time = arrivalTime(placementRequest_.body, host_->report.link,
                                          now(SteadyClock()) - host_->reportedAt);
    return std::chrono::duration_cast<Milliseconds>(time * bodyDelayFactor);
}

// Resumes the call on a new connection, as the current one may be dead.
void OutboundCall::onStalled()
{
    // After a pause of this process the deadline may have passed though its timer has not run yet.
    if (resumes_ >= maxResumes || timeLeft() < minTimeLeft)
        return;
    ++resumes_;
    proxy_.resumes_.add();
    proxy_.recordUnanswered(*host_, UnansweredEnd::Stalled, sentAt_, route_->objective);
    releaseHost();
    proxy_.pool_.dropIdle(host_->entry.node, now(SteadyClock()) - minResumeDelay);
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
        proxy_.loop_.post([owned = std::shared_ptr<Attempt>(std::move(attempt))] {});
}

void OutboundCall::cancelAttempts(UnansweredEnd reason)
{
    if (stalled_)
        stalled_->cancel();
    destroyLater(stalled_);
    progressTimer_ = Timer();
    releaseLink();
    if (std::exchange(offer_, nullptr))
        releaseHost();
    if (!attempt_)
        return;
    attempt_->cancel();
    proxy_.recordUnanswered(*host_, reason, sentAt_, route_->objective);
    releaseHost();
    destroyLater(attempt_);
}

void OutboundCall::onStalledAttemptEnd(const AttemptOutcome &end)
{
    const auto self = shared_from_this();
    const auto *response = std::get_if<CompleteResponse>(&end);
    const bool isValidResponse = response
            && decodeHopResponse(findHeader(evhttp_request_get_input_headers(response->raw),
                                            hopResponseHeader));
    if (isDone_ || !isValidResponse) {
        destroyLater(stalled_);
        return;
    }
    if (attempt_)
        attempt_->cancel();
    else
        Placement::begin(*host_); // The pause before the next attempt had released the host.
    destroyLater(attempt_);
    attempt_ = std::move(stalled_);
    onHostResponse(response->raw);
}

void OutboundCall::releaseHost()
{
    progressTimer_ = Timer();
    Placement::end(*host_);
}

void OutboundCall::onAttemptEnd(const AttemptOutcome &end)
{
    struct Visitor
    {
        OutboundCall &call;
        void operator()(const CompleteResponse &answer) const { call.onHostResponse(answer.raw); }
        void operator()(const CloseDelimitedResponse &) const
        {
            call.onAttemptFailure(AttemptFailure::Broken);
        }
        void operator()(const StreamedResponseEnd &) const
        {
            call.onAttemptFailure(AttemptFailure::Broken);
        }
        void operator()(AttemptFailure failure) const { call.onAttemptFailure(failure); }
    };
    const auto self = shared_from_this();
    std::visit(Visitor{*this}, end);
}

void OutboundCall::onHostResponse(evhttp_request *raw)
{
    const std::string_view text
            = findHeader(evhttp_request_get_input_headers(raw), hopResponseHeader);
    const Result<HopResponse> response = decodeHopResponse(text);
    if (!response) {
        onAttemptFailure(AttemptFailure::Broken);
        return;
    }
    releaseHost();
    recordResponse(*response);
    if (response->result == HopResult::NotRun) {
        onHostRefused(response->reason);
        return;
    }
    // The server has received the call.
    if (!std::exchange(reachedServer_, true))
        proxy_.budget_.addFirstSend(placementRequest_.service, now(SteadyClock()));
    ++serversReached_;
    if (response->result == HopResult::Answered) {
        isDone_ = true;
        releaseLink();
        proxy_.responses_.add();
        proxy_.returns_.recordAnswer(placementRequest_.service, now(SteadyClock()));
        const int status = evhttp_request_get_response_code(raw);
        proxy_.duration_.record(now(SteadyClock()) - arrivedAt_);
        logEnd("answered", status);
        proxy_.recordCallBytes(route_->id,
                               evbuffer_get_length(evhttp_request_get_input_buffer(raw))
                                       + evbuffer_get_length(exchange_.request().body.get()));
        exchange_.forward(raw);
        proxy_.onCallEnd(*this);
    } else if (response->result == HopResult::Shed) {
        retryOnOtherHost(OutboundRefusal::Overload);
    } else {
        onUnknownOutcome(response->reason);
    }
}

void OutboundCall::onHostRefused(HopReason reason)
{
    // The host keeps what it knows of a call only until the deadline, so a later refusal of a
    // resumed call proves nothing.
    if (resumes_ > 0 && timeLeft() <= Milliseconds(0)) {
        onUnknownOutcome(HopReason::Timeout);
        return;
    }
    if (reason == HopReason::Busy) {
        ++handBacks_;
        proxy_.handBacks_.add();
        placementRequest_.busy.push_back(host_);
        selectHost();
        return;
    }
    ++refusals_;
    if (reason == HopReason::Poison) {
        refuse(OutboundRefusal::Poison);
        return;
    }
    const bool isUnavailable = reason == HopReason::Stopping || reason == HopReason::ServerGone
            || reason == HopReason::WrongServer;
    if (isUnavailable)
        Placement::markClosed(*host_, now(SteadyClock()));
    placementRequest_.tried.insert(host_->entry.node);
    if (refusals_ >= maxRefusals)
        refuse(OutboundRefusal::Overload);
    else
        selectHost();
}

void OutboundCall::onUnknownOutcome(HopReason reason)
{
    if (!route_->isIdempotent) {
        refuse(reason == HopReason::Timeout ? OutboundRefusal::Timeout : OutboundRefusal::Unknown);
        return;
    }
    retryOnOtherHost(OutboundRefusal::RetryBudget);
}

// Retries the call on another server, which counts against the fleet's retry budget.
void OutboundCall::retryOnOtherHost(OutboundRefusal fallback)
{
    placementRequest_.tried.insert(host_->entry.node);
    if (serversReached_ >= route_->attempts) {
        refuse(fallback == OutboundRefusal::Overload ? fallback : OutboundRefusal::MaxAttempts);
        return;
    }
    if (timeLeft() < minTimeLeft
        || !proxy_.budget_.take(placementRequest_.service, now(SteadyClock()))) {
        refuse(fallback);
        return;
    }
    proxy_.retries_.add();
    selectHost();
}

void OutboundCall::onAttemptFailure(AttemptFailure failure, ConnectFailure unsent)
{
    releaseHost();
    if (provesNotRun(failure) && resumes_ == 0) {
        onHostUnreachable(unsent);
        return;
    }
    if (provesNotRun(failure))
        proxy_.recordUnreachable(*host_, unsent);
    // A host whose response was too long would send it again.
    if (failure == AttemptFailure::TooLong || resumes_ >= maxResumes || timeLeft() < minTimeLeft) {
        onUnknownOutcome(HopReason::InvalidResponse);
        return;
    }
    ++resumes_;
    proxy_.resumes_.add();
    destroyLater(attempt_);
    if (!provesNotRun(failure)) {
        progressTimer_ = proxy_.loop_.after(Milliseconds(0), [this] { resume(); });
        return;
    }
    // The host is down or unreachable; a call that may run twice need not wait for it.
    if (route_->isIdempotent) {
        if (!std::exchange(reachedServer_, true))
            proxy_.budget_.addFirstSend(placementRequest_.service, now(SteadyClock()));
        ++serversReached_;
        retryOnOtherHost(OutboundRefusal::RetryBudget);
        return;
    }
    progressTimer_ = proxy_.loop_.after(unreachableResumeDelay, [this] { resume(); });
}

void OutboundCall::resume()
{
    if (timeLeft() < minTimeLeft)
        onUnknownOutcome(HopReason::Timeout);
    else
        send(true);
}

void OutboundCall::onHostUnreachable(ConnectFailure failure)
{
    proxy_.recordUnreachable(*host_, failure);
    proxy_.pool_.dropIdle(host_->entry.node, TimePoint::max());
    proxy_.log_.write(EventKind::Failure, outboundPart, "host-unreachable",
                      {{"id", id_},
                       {"node", host_->entry.node.toString()},
                       {"failuresInRow", host_->consecutiveFailures}});
    placementRequest_.tried.insert(host_->entry.node);
    destroyLater(attempt_);
    progressTimer_ = proxy_.loop_.after(Milliseconds(0), [this] { selectHost(); });
}

void OutboundCall::onDeadline()
{
    if (isDone_)
        return;
    cancelAttempts(UnansweredEnd::Deadline);
    refuse(OutboundRefusal::Timeout);
}

void OutboundCall::onCallerDisconnect()
{
    if (isDone_)
        return;
    isDone_ = true;
    cancelAttempts(UnansweredEnd::CallerGone);
    if (isInQuota_ && sentAt_ == TimePoint())
        proxy_.handlers_.returnQuota(customer_->id);
    logEnd("caller-gone", 0);
    exchange_.abandon();
    proxy_.onCallEnd(*this);
}

bool OutboundCall::isMadeFor(const std::string &outerId) const
{
    return isNestedCall_ && id_.rfind('.') == outerId.size() && id_.starts_with(outerId);
}

void OutboundCall::cancelWithOuterCall()
{
    if (isDone_)
        return;
    proxy_.cancelledNestedCalls_.add();
    // Before its host has heard of the cancellation, the call may start there.
    cancelAttempts(UnansweredEnd::CallerGone);
    refuse(OutboundRefusal::Unknown);
}

Milliseconds OutboundCall::elapsedSinceFirstTry() const
{
    return elapsedBeforeArrival_
            + std::chrono::duration_cast<Milliseconds>(now(SteadyClock()) - arrivedAt_);
}

Microseconds OutboundCall::bookReturn()
{
    const double relativeWork = host_ ? host_->report.relativeWork : 0.0;
    const auto work = Microseconds(static_cast<std::int64_t>(
            relativeWork * reservedWork
            * static_cast<double>(Microseconds(route_->objective).count())));
    // The schedule counts on half of a host's wait, but the link needs its whole time.
    const RefusedCall call{placementRequest_.service, std::max(minWait_, linkWait_ * 2),
                           route_->objective - elapsedSinceFirstTry() - work, timeLeft()};
    const ReturnTime time = proxy_.returns_.book(call, now(SteadyClock()), proxy_.random_);
    (time.isBooked ? proxy_.bookedReturns_ : proxy_.lateReturns_).add();
    return time.after;
}

double OutboundCall::retryAfterSeconds(OutboundRefusal refusal)
{
    // Calls of servers are not sent again by them.
    if (refusal == OutboundRefusal::Overload && !isNestedCall_
        && (proxy_.settings_.returningFirst || table_->customers()))
        return std::chrono::duration<double>(bookReturn()).count();
    if (quotaWait_ > Milliseconds(0))
        return std::chrono::duration<double>(quotaWait_).count();
    const double wait = static_cast<double>(minWait_.count()) / 1e6;
    const double linkWait = static_cast<double>(linkWait_.count()) / 1e6;
    return std::max({minRetryAfterSeconds, wait / 2, linkWait})
            + maxRetryAfterJitterSeconds * proxy_.random_.unit();
}

void OutboundCall::refuse(OutboundRefusal refusal)
{
    isDone_ = true;
    releaseLink();
    const int status = statusOf(refusal);
    proxy_.refusals_[static_cast<std::size_t>(refusal)]->add();
    logEnd(outboundRefusalName(refusal), status);
    LocalResponse response{status, {}, std::string(outboundRefusalName(refusal)) + "\n"};
    if (status == statusUnauthorized)
        response.headers.emplace_back("WWW-Authenticate", proxy_.dialect_.headers.keyScheme);
    const bool reachedNoServer
            = sentAt_ == TimePoint() || (status == statusUnavailable && serversReached_ == 0);
    if (isInQuota_ && reachedNoServer)
        proxy_.handlers_.returnQuota(customer_->id);
    if (status == statusTooManyRequests
        || (status == statusUnavailable && refusal != OutboundRefusal::Poison)) {
        response.headers.emplace_back(proxy_.dialect_.headers.retryAfter,
                                      std::to_string(retryAfterSeconds(refusal)));
    }
    exchange_.send(response);
    proxy_.onCallEnd(*this);
}

void OutboundCall::logEnd(std::string_view outcome, int status)
{
    const bool isSuccess = outcome == "answered" && status < statusBadRequest;
    const EventKind kind = isSuccess ? EventKind::Success : EventKind::Failure;
    if (!proxy_.log_.hasBudget(kind))
        return;
    const TimePoint time = now(SteadyClock());
    if (!route_) {
        const ReceivedRequest &request = exchange_.request();
        proxy_.log_.write(kind, outboundPart, "call-unrouted",
                          {{"id", id_},
                           {"revision", table_ ? table_->revision().value() : 0},
                           {"outcome", outcome},
                           {"status", status},
                           {"host", findHeader(&request.headers, "Host")},
                           {"uri", request.uri}});
        return;
    }
    proxy_.log_.write(kind, outboundPart, "call-ended",
                      {{"id", id_},
                       {"route", route_->id.value()},
                       {"revision", table_->revision().value()},
                       {"outcome", outcome},
                       {"status", status},
                       {"service", placementRequest_.service.value()},
                       {"customer", customer_ ? customer_->id.value() : ""},
                       {"node", host_ ? host_->entry.node.toString() : ""},
                       {"reportAgeMs", host_ ? (time - host_->reportedAt).count() / 1000 : -1},
                       {"serversReached", serversReached_},
                       {"refusals", refusals_},
                       {"handBacks", handBacks_},
                       {"resumes", resumes_},
                       {"ofServer", isNestedCall_},
                       {"leftMs", timeLeft().count()},
                       {"tookMs", (time - arrivedAt_).count() / 1000}});
}

} // namespace cornelhead::detail
