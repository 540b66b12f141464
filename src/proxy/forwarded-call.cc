// Implements the forwarding of keyed calls.
#include "cornelhead/proxy/forwarded-call.h"

#include <algorithm>

#include <event2/buffer.h>
#include <event2/http.h>

#include "cornelhead/proxy/overloaded.h"

namespace cornelhead::detail {

namespace {

constexpr std::size_t maxBufferedResponseBytes = 64 * 1024;

bool isLeaving(evhttp_request *response)
{
    const evkeyvalq *headers = evhttp_request_get_input_headers(response);
    return findHeader(headers, reasonHeader) == refusalInfo(RefusalReason::HomeLeaving).name;
}

// The home accepts forwarded calls only from the IP address of a node.
ConnectionSpec homeConnection(const WorkerState &worker, const NodeInfo &home)
{
    ConnectionSpec spec = connectionSpec(home.proxy, true);
    spec.localIp = worker.node.settings.self.proxy.ip;
    return spec;
}

} // namespace

ForwardedCall::ForwardedCall(WorkerState &worker, evhttp_request *caller, ForwardContext context)
    : worker_(worker), caller_(worker, caller), context_(std::move(context)),
      attempt_(worker.loop, worker.pool, homeConnection(worker, context_.home), handlers())
{
    worker_.node.counters.inFlight.add(1);
    worker_.node.counters.keyedForwarded.add();
}

ForwardedCall::~ForwardedCall() = default;

AttemptHandlers ForwardedCall::handlers()
{
    AttemptHandlers handlers;
    handlers.onHead = [this](evhttp_request *response) {
        if (!isLongResponse(response, maxBufferedResponseBytes))
            return false;
        caller_.startStream(response, [this] { attempt_.resume(); });
        return true;
    };
    handlers.onChunk = [this](evbuffer *chunk) {
        if (caller_.sendChunk(chunk))
            attempt_.pause();
    };
    handlers.onEnd = [this](const AttemptOutcome &outcome) { onEnd(outcome); };
    return handlers;
}

void ForwardedCall::start()
{
    startedAt_ = now(SteadyClock());
    timer_ = worker_.loop.after(context_.timeout, [this] { onDeadline(); });
    caller_.watchDisconnect([this] { stop(RefusalReason::Cancelled); });
    fillRequest();
    std::string uri(context_.head.path);
    if (context_.head.query)
        uri.append("?").append(context_.head.query);
    // May end the call before it returns.
    attempt_.send(evhttp_request_get_command(caller_.request()), uri.c_str());
}

void ForwardedCall::fillRequest()
{
    evkeyvalq *headers = attempt_.headers();
    copyRequest(caller_.request(), attempt_);
    evhttp_add_header(headers, homeHeader, context_.home.id.value().c_str());
    evhttp_add_header(headers, deadlineHeader, std::to_string(context_.timeout.count()).c_str());
    evhttp_add_header(headers, depthHeader, std::to_string(context_.head.depth).c_str());
    if (!context_.formerHome.empty())
        evhttp_add_header(headers, formerHomeHeader, context_.formerHome.value().c_str());
    if (context_.refusal)
        evhttp_add_header(headers, refusalHeader, refusalInfo(*context_.refusal).name.data());
    attempt_.limitResponseBody(std::nullopt);
}

void ForwardedCall::onEnd(const AttemptOutcome &outcome)
{
    const Overloaded visitor{
            [this](const CompleteResponse &complete) {
                if (isLeaving(complete.raw) && canRedirect()) {
                    redirect(context_.home.id);
                    return;
                }
                caller_.respond(complete.raw);
                finish();
            },
            [this](const StreamedResponseEnd &) {
                caller_.endStream();
                finish();
            },
            [this](const CloseDelimitedResponse &) { refuse(RefusalReason::UnboundedAnswer); },
            [this](AttemptFailure failure) { onFailure(failure); }};
    std::visit(visitor, outcome);
}

bool ForwardedCall::canRedirect() const
{
    return context_.redirect && !caller_.hasDisconnected();
}

void ForwardedCall::redirect(const NodeId &formerHome)
{
    timer_ = Timer();
    worker_.node.counters.inFlight.add(-1);
    worker_.node.counters.keyedRedirected.add();
    const auto elapsed = std::chrono::duration_cast<Milliseconds>(now(SteadyClock()) - startedAt_);
    ForwardContext context = std::move(context_);
    context.timeout = std::max(context.timeout - elapsed, Milliseconds(1));
    context.formerHome = formerHome;
    evhttp_request *request = caller_.releaseRequest();
    worker_.endCall(this);
    const auto redirect = std::exchange(context.redirect, nullptr);
    redirect(request, std::move(context));
}

void ForwardedCall::onFailure(AttemptFailure failure)
{
    if (caller_.isStreaming()) {
        caller_.abortStream();
        finish();
        return;
    }
    const bool isNotSent = failure == AttemptFailure::NotSent;
    if (isNotSent && canRedirect()) {
        // An unreachable node may return, so it is not passed on as a former home.
        redirect(NodeId());
        return;
    }
    refuse(isNotSent ? RefusalReason::HomeUnreachable : RefusalReason::BrokenConnection);
}

void ForwardedCall::onDeadline()
{
    stop(attempt_.wasSent() ? RefusalReason::Timeout : RefusalReason::HomeUnreachable);
}

void ForwardedCall::stop(RefusalReason reason)
{
    attempt_.cancel();
    if (caller_.isStreaming()) {
        caller_.abortStream();
        finish();
        return;
    }
    refuse(reason);
}

void ForwardedCall::refuse(RefusalReason reason)
{
    // Only the home has a record of whether an earlier call with the key was run.
    caller_.refuse(Refusal{context_.refusal.value_or(reason), RunStatus::Unknown});
    finish();
}

void ForwardedCall::finish()
{
    timer_ = Timer();
    context_.permit.release();
    worker_.node.counters.inFlight.add(-1);
    worker_.endCall(this);
}

} // namespace cornelhead::detail
