// Implements a call to the host's backend server.
#include "cornelhead/sidecar/inbound-call.h"

#include <event2/http.h>

#include "cornelhead/proxy/request-head.h"
#include "cornelhead/proxy/response.h"
#include "cornelhead/sidecar/inbound-proxy.h"

namespace cornelhead::detail {

namespace {

constexpr const char *inboundPart = "serving";
/// A server on the same host accepts a connection at once unless it is down.
constexpr Milliseconds connectTimeout(400);
/// The server itself ends calls at their deadline; this leaves time for its response.
constexpr Milliseconds deadlineGrace(100);
constexpr int statusMisdirected = 421;
constexpr int minFailureStatus = 500;

} // namespace

InboundCall::InboundCall(InboundProxy &proxy, evhttp_request *request, std::string id,
                         HopRequest hop, GateTicket ticket, TimePoint deadline)
    : proxy_(proxy), exchange_(std::make_unique<Exchange>(proxy.loop_, request)),
      id_(std::move(id)), hop_(std::move(hop)), ticket_(ticket), deadline_(deadline),
      fingerprint_(hostRequestFingerprint(request))
{ }

InboundCall::~InboundCall() = default;

void InboundCall::watchConnection()
{
    exchange_->watchConnection([self = weak_from_this()] {
        if (const auto call = self.lock())
            call->onCallerDisconnect();
    });
}

Milliseconds InboundCall::workTime() const
{
    if (!attempt_)
        return Milliseconds(0);
    return std::chrono::duration_cast<Milliseconds>(now(SteadyClock()) - startedAt_);
}

void InboundCall::attachTo(evhttp_request *request)
{
    isCallerDisconnected_ = false;
    // Both requests carry the same bytes, so a waiting call may be sent from either.
    exchange_ = std::make_unique<Exchange>(proxy_.loop_, request);
    watchConnection();
}

void InboundCall::run()
{
    startedAt_ = now(SteadyClock());
    const HostedServer *server = proxy_.local_.usable();
    if (!server) {
        refuse(HopReason::ServerGone);
        return;
    }
    expectedServer_ = server->id;
    wasServerWarm_ = proxy_.warmUp_.isOver(startedAt_);
    AttemptHandlers handlers;
    handlers.onHead = [](evhttp_request *) { return false; };
    handlers.onEnd = [this](const AttemptOutcome &end) { onAttemptEnd(end); };
    ConnectionSpec need = connectionSpec(proxy_.server_, !hop_.isIdempotent);
    need.idleSince = std::max(need.idleSince, startedAt_ - proxy_.maxReuseAge());
    attempt_ = std::make_unique<Attempt>(proxy_.loop_, proxy_.pool_, need, std::move(handlers));
    const CallHeaderNames &names = proxy_.dialect_.headers;
    copyRequest(exchange_->request(), *attempt_);
    evkeyvalq *headers = attempt_->headers();
    removeHeader(headers, hopRequestHeader);
    const auto left = std::chrono::duration_cast<Milliseconds>(deadline_ - startedAt_);
    setHeader(headers, names.deadline.c_str(),
              std::to_string(std::max<std::int64_t>(1, left.count())));
    setHeader(headers, names.expectedServer.c_str(), expectedServer_.value());
    setHeader(headers, names.callerService.c_str(), hop_.callerService.value());
    if (!hop_.customer.empty())
        setHeader(headers, names.customer.c_str(), hop_.customer.value());
    timer_ = proxy_.loop_.after(connectTimeout, [this] {
        if (!attempt_->wasSent()) {
            attempt_->cancel();
            onAttemptFailure(AttemptFailure::NotSent);
            return;
        }
        const auto timeLeft
                = std::chrono::duration_cast<Milliseconds>(deadline_ - now(SteadyClock()));
        timer_ = proxy_.loop_.after(std::max(timeLeft, Milliseconds(0)) + deadlineGrace,
                                    [this] { onTimeout(); });
    });
    proxy_.countServerCall();
    attempt_->send(evhttp_request_get_command(exchange_->request()),
                   evhttp_request_get_uri(exchange_->request()));
}

void InboundCall::refuse(HopReason reason)
{
    finish(HopResult::NotRun, reason);
}

void InboundCall::onCallerDisconnect()
{
    if (isDone_)
        return;
    isCallerDisconnected_ = true;
    if (!attempt_) {
        finish(HopResult::NotRun, HopReason::Cancelled);
        return;
    }
    // A call that must not run twice goes on, so that its response can be fetched by a resume.
    if (!hop_.isIdempotent)
        return;
    attempt_->cancel();
    sample_ = proxy_.recordEnd(*this, CallEnd::CutOff);
    finish(HopResult::Unknown, HopReason::Cancelled);
    proxy_.handlers_.onCallCancelled(id_);
}

void InboundCall::onTimeout()
{
    attempt_->cancel();
    sample_ = proxy_.recordEnd(*this, CallEnd::CutOff);
    finish(HopResult::Unknown, HopReason::Timeout);
}

void InboundCall::onAttemptEnd(const AttemptOutcome &end)
{
    struct Visitor
    {
        InboundCall &call;
        void operator()(const CompleteResponse &answer) const { call.onServerResponse(answer.raw); }
        void operator()(const CloseDelimitedResponse &answer) const
        {
            call.onServerResponse(answer.raw);
        }
        void operator()(const StreamedResponseEnd &) const
        {
            call.onAttemptFailure(AttemptFailure::Broken);
        }
        void operator()(AttemptFailure failure) const { call.onAttemptFailure(failure); }
    };
    std::visit(Visitor{*this}, end);
}

bool InboundCall::isAnswerToThisCall(evhttp_request *response) const
{
    const evkeyvalq *headers = evhttp_request_get_input_headers(response);
    const std::string &name = proxy_.dialect_.headers.requestId;
    // A faulty server may repeat an earlier response, where this one's is expected.
    if (findHeader(headers, name.c_str()).empty())
        return !attempt_->isOnUsedConnection();
    return hasOnlyValue(headers, name, id_);
}

bool InboundCall::isSignedAndPlain(evhttp_request *response) const
{
    const evkeyvalq *headers = evhttp_request_get_input_headers(response);
    const std::string &name = proxy_.dialect_.headers.serverSignature;
    const std::string_view signature = findHeader(headers, name.c_str());
    return !signature.empty() && hasOnlyValue(headers, name, signature)
            && !evhttp_find_header(headers, "Content-Encoding");
}

void InboundCall::onServerResponse(evhttp_request *response)
{
    const CallHeaderNames &names = proxy_.dialect_.headers;
    const evkeyvalq *headers = evhttp_request_get_input_headers(response);
    const int status = evhttp_request_get_response_code(response);
    const bool isForeign = !isAnswerToThisCall(response);
    if (!isForeign && status == statusMisdirected) {
        proxy_.local_.markReplaced();
        finish(HopResult::NotRun, HopReason::WrongServer);
        proxy_.handlers_.onServerChanged();
        return;
    }
    const bool isNotRun = !isForeign && !findHeader(headers, names.notRun.c_str()).empty();
    const bool isValid = !isForeign && isSignedAndPlain(response);
    if (isNotRun || isValid)
        proxy_.observeNotice(findHeader(headers, names.serverLimit.c_str()),
                             findHeader(headers, names.serverLeaving.c_str()));
    if (isNotRun) {
        finish(HopResult::Shed, HopReason::Overload);
        return;
    }
    // The response to this call may still arrive on the connection.
    if (isForeign)
        proxy_.pool_.dropIdle(proxy_.server_, TimePoint::max());
    if (!isValid) {
        proxy_.log_.write(EventKind::Failure, inboundPart, "answer-refused",
                          {{"id", id_},
                           {"status", status},
                           {"answeredId", findHeader(headers, names.requestId.c_str())}});
        sample_ = proxy_.recordEnd(*this, CallEnd::Failed);
        finish(HopResult::Unknown, HopReason::InvalidResponse);
        return;
    }
    proxy_.recordResponse(*this);
    sample_ = proxy_.recordEnd(*this,
                               status >= minFailureStatus ? CallEnd::Failed : CallEnd::Answered);
    forward(response);
}

void InboundCall::forward(evhttp_request *response)
{
    removeHeader(evhttp_request_get_input_headers(response), hopResponseHeader);
    if (!hop_.isIdempotent)
        storedResponse_ = proxy_.keepResponse(*this, response);
    if (!isCallerDisconnected_) {
        proxy_.gate_.remove(ticket_);
        exchange_->addHeader(
                hopResponseHeader,
                encodeHopResponse(proxy_.hopResponse(HopResult::Answered, HopReason::None)));
        exchange_->forward(response);
    }
    finish(HopResult::Answered, HopReason::None);
}

void InboundCall::onAttemptFailure(AttemptFailure failure)
{
    if (provesNotRun(failure)) {
        finish(HopResult::NotRun, HopReason::ServerGone);
        proxy_.onConnectFailed();
        return;
    }
    sample_ = proxy_.recordEnd(*this, CallEnd::Failed);
    if (failure == AttemptFailure::InvalidHead)
        proxy_.recordInvalidHead(*this, *attempt_->headFault());
    else if (failure == AttemptFailure::TooLong)
        proxy_.recordLongResponse(*this, *attempt_->receiveFault());
    else
        proxy_.recordBrokenCall(*this);
    finish(HopResult::Unknown, HopReason::InvalidResponse);
}

void InboundCall::finish(HopResult result, HopReason reason)
{
    if (std::exchange(isDone_, true))
        return;
    timer_ = Timer();
    result_ = result;
    reason_ = reason;
    const auto keep = shared_from_this();
    proxy_.gate_.remove(ticket_);
    if (exchange_->request() && !isCallerDisconnected_) {
        exchange_->addHeader(hopResponseHeader,
                             encodeHopResponse(proxy_.hopResponse(result, reason)));
        constexpr int statusUnavailable = 503;
        exchange_->send(LocalResponse{statusUnavailable, {}, {}});
    }
    exchange_->abandon();
    proxy_.onCallEnd(*this);
}

} // namespace cornelhead::detail
