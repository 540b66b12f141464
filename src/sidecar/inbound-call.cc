// Implements a call at the host's backend server.
#include "cornelhead/sidecar/inbound-call.h"

#include <event2/http.h>

#include "cornelhead/proxy/answer.h"
#include "cornelhead/proxy/request-head.h"
#include "cornelhead/sidecar/inbound-proxy.h"

namespace cornelhead::detail {

namespace {

constexpr const char *servingPart = "serving";
/// A server on the same host accepts within a round trip unless it is down.
constexpr Milliseconds connectTimeout(400);
/// A server ends calls at their deadline itself; its word is awaited a little longer.
constexpr Milliseconds deadlineGrace(100);
constexpr int statusMisdirected = 421;
constexpr int minFailureStatus = 500;

} // namespace

InboundCall::InboundCall(InboundProxy &side, evhttp_request *request, std::string id,
                         HopRequest hop, GateTicket ticket, TimePoint finishBy)
    : side_(side), exchange_(std::make_unique<Exchange>(side.loop_, request)), id_(std::move(id)),
      hop_(std::move(hop)), ticket_(ticket), deadline_(finishBy),
      fingerprint_(requestFingerprint(request)), arrivedAt_(now(SteadyClock()))
{ }

InboundCall::~InboundCall() = default;

void InboundCall::watch()
{
    exchange_->watch([self = weak_from_this()] {
        if (const auto call = self.lock())
            call->onCallerGone();
    });
}

void InboundCall::attachTo(evhttp_request *request)
{
    isCallerGone_ = false;
    // Both requests carry the same bytes, so a call that waits may be sent from either.
    exchange_ = std::make_unique<Exchange>(side_.loop_, request);
    watch();
}

void InboundCall::run()
{
    startedAt_ = now(SteadyClock());
    const HostedServer *server = side_.local_.usable();
    if (!server) {
        refuse(HopReason::ServerGone);
        return;
    }
    expectedServer_ = server->id;
    AttemptHandlers handlers;
    handlers.onHead = [](evhttp_request *) { return false; };
    handlers.onEnd = [this](const AttemptEnd &end) { onEnd(end); };
    ConnectionNeed need = connectionNeed(side_.server_, !hop_.isIdempotent);
    need.idleSince = std::max(need.idleSince, startedAt_ - side_.maxReuseAge());
    attempt_ = std::make_unique<Attempt>(side_.loop_, side_.pool_, need, std::move(handlers));
    const CallHeaderNames &names = side_.dialect_.headers;
    copyRequest(exchange_->request(), *attempt_);
    evkeyvalq *headers = attempt_->headers();
    evhttp_remove_header(headers, hopRequestHeader);
    for (const std::string &name : {names.expectedServer, names.callerService, names.deadline})
        evhttp_remove_header(headers, name.c_str());
    const auto left = std::chrono::duration_cast<Milliseconds>(deadline_ - startedAt_);
    evhttp_add_header(headers, names.deadline.c_str(),
                      std::to_string(std::max<std::int64_t>(1, left.count())).c_str());
    evhttp_add_header(headers, names.expectedServer.c_str(), expectedServer_.value().c_str());
    evhttp_add_header(headers, names.callerService.c_str(), hop_.callerService.value().c_str());
    timer_ = side_.loop_.after(connectTimeout, [this] {
        if (!attempt_->wasSent()) {
            attempt_->cancel();
            onFailure(AttemptFailure::NotSent);
            return;
        }
        const auto rest = std::chrono::duration_cast<Milliseconds>(deadline_ - now(SteadyClock()));
        timer_ = side_.loop_.after(std::max(rest, Milliseconds(0)) + deadlineGrace,
                                   [this] { onTimeout(); });
    });
    attempt_->send(evhttp_request_get_command(exchange_->request()),
                   evhttp_request_get_uri(exchange_->request()));
}

void InboundCall::refuse(HopReason reason)
{
    finish(HopResult::NotRun, reason);
}

void InboundCall::onCallerGone()
{
    if (isDone_)
        return;
    isCallerGone_ = true;
    if (!attempt_) {
        finish(HopResult::NotRun, HopReason::Cancelled);
        return;
    }
    // What must not run twice runs to its end, so that its answer can still be asked for.
    if (!hop_.isIdempotent)
        return;
    attempt_->cancel();
    finish(HopResult::Unknown, HopReason::Cancelled);
}

void InboundCall::onTimeout()
{
    attempt_->cancel();
    finish(HopResult::Unknown, HopReason::Timeout);
}

void InboundCall::onEnd(const AttemptEnd &end)
{
    struct Visitor
    {
        InboundCall &call;
        void operator()(const WholeAnswer &answer) const { call.onAnswer(answer.raw); }
        void operator()(const UnboundedAnswer &answer) const { call.onAnswer(answer.raw); }
        void operator()(const StreamEnd &) const { call.onFailure(AttemptFailure::Broken); }
        void operator()(AttemptFailure failure) const { call.onFailure(failure); }
    };
    std::visit(Visitor{*this}, end);
}

bool InboundCall::isValidResponse(evhttp_request *answer) const
{
    const CallHeaderNames &names = side_.dialect_.headers;
    const evkeyvalq *headers = evhttp_request_get_input_headers(answer);
    const std::string_view id = findHeader(headers, names.requestId.c_str());
    if (!id.empty() && id != id_)
        return false;
    return !findHeader(headers, names.serverSignature.c_str()).empty()
            && findHeader(headers, "Content-Encoding").empty();
}

void InboundCall::onAnswer(evhttp_request *answer)
{
    const CallHeaderNames &names = side_.dialect_.headers;
    const evkeyvalq *headers = evhttp_request_get_input_headers(answer);
    const int status = evhttp_request_get_response_code(answer);
    const std::string_view id = findHeader(headers, names.requestId.c_str());
    const bool isOthers = !id.empty() && id != id_;
    if (!isOthers && status == statusMisdirected) {
        side_.local_.markReplaced();
        finish(HopResult::NotRun, HopReason::WrongServer);
        side_.handlers_.onServerChanged();
        return;
    }
    if (!isOthers && !findHeader(headers, names.notRun.c_str()).empty()) {
        finish(HopResult::Shed, HopReason::Overload);
        return;
    }
    if (!isValidResponse(answer)) {
        side_.log_.write(EventKind::Failure, servingPart, "answer-refused",
                         {{"id", id_}, {"status", status}, {"answeredId", id}});
        side_.noteAnswer(*this, true, Microseconds(0));
        finish(HopResult::Unknown, HopReason::BrokenResponse);
        return;
    }
    side_.noteAnswer(*this, status >= minFailureStatus, now(SteadyClock()) - startedAt_);
    pass(answer);
}

void InboundCall::pass(evhttp_request *answer)
{
    if (!hop_.isIdempotent)
        remembered_ = std::make_shared<const RememberedAnswer>(copyAnswer(answer));
    if (!isCallerGone_) {
        side_.gate_.remove(ticket_);
        exchange_->addHeader(
                hopResponseHeader,
                encodeHopResponse(side_.hopResponse(HopResult::Answered, HopReason::None)));
        exchange_->pass(answer);
    }
    finish(HopResult::Answered, HopReason::None);
}

void InboundCall::onFailure(AttemptFailure failure)
{
    if (provesNotRun(failure)) {
        finish(HopResult::NotRun, HopReason::ServerGone);
        side_.onConnectFailed();
        return;
    }
    side_.noteAnswer(*this, true, Microseconds(0));
    side_.recordBrokenCall(*this);
    finish(HopResult::Unknown, HopReason::BrokenResponse);
}

void InboundCall::finish(HopResult result, HopReason reason)
{
    if (std::exchange(isDone_, true))
        return;
    timer_ = Timer();
    result_ = result;
    reason_ = reason;
    const auto keep = shared_from_this();
    side_.gate_.remove(ticket_);
    if (exchange_->request() && !isCallerGone_) {
        exchange_->addHeader(hopResponseHeader,
                             encodeHopResponse(side_.hopResponse(result, reason)));
        constexpr int refused = 503;
        exchange_->send(LocalResponse{refused, {}, {}});
    }
    exchange_->abandon();
    side_.end(*this);
}

} // namespace cornelhead::detail
