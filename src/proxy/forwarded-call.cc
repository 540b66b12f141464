// Implements the passing of keyed calls to their home.
#include "cornelhead/proxy/forwarded-call.h"

#include <algorithm>

#include <event2/buffer.h>
#include <event2/http.h>

#include "cornelhead/proxy/overloaded.h"

namespace cornelhead::detail {

namespace {

constexpr std::size_t maxBufferedResponseBytes = 64 * 1024;

bool isLeaving(evhttp_request *answer)
{
    const evkeyvalq *headers = evhttp_request_get_input_headers(answer);
    return findHeader(headers, reasonHeader) == refusalFacts(RefusalReason::HomeLeaving).name;
}

// The home believes only what comes from the IP number of a node.
ConnectionSpec homeConnection(const WorkerState &worker, const NodeInfo &home)
{
    ConnectionSpec need = connectionSpec(home.proxy, true);
    need.localIp = worker.node.settings.self.proxy.ip;
    return need;
}

} // namespace

ForwardedCall::ForwardedCall(WorkerState &worker, evhttp_request *caller, ForwardContext origin)
    : worker_(worker), caller_(worker, caller), context_(std::move(origin)),
      attempt_(worker.loop, worker.pool, homeConnection(worker, context_.home), handlers())
{
    worker_.node.counters.inFlight.add(1);
    worker_.node.counters.keyedForwarded.add();
}

ForwardedCall::~ForwardedCall() = default;

AttemptHandlers ForwardedCall::handlers()
{
    AttemptHandlers handlers;
    handlers.onHead = [this](evhttp_request *answer) {
        if (!isLongResponse(answer, maxBufferedResponseBytes))
            return false;
        caller_.startStream(answer, [this] { attempt_.resume(); });
        return true;
    };
    handlers.onChunk = [this](evbuffer *chunk) {
        if (caller_.sendChunk(chunk))
            attempt_.pause();
    };
    handlers.onEnd = [this](const AttemptOutcome &end) { onEnd(end); };
    return handlers;
}

void ForwardedCall::start()
{
    startedAt_ = now(SteadyClock());
    timer_ = worker_.loop.after(context_.allowed, [this] { onDeadline(); });
    caller_.watch([this] { stop(RefusalReason::Cancelled); });
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
    evhttp_add_header(headers, deadlineHeader, std::to_string(context_.allowed.count()).c_str());
    evhttp_add_header(headers, depthHeader, std::to_string(context_.head.depth).c_str());
    if (!context_.left.empty())
        evhttp_add_header(headers, formerHomeHeader, context_.left.value().c_str());
    if (context_.refusal)
        evhttp_add_header(headers, refusalHeader, refusalFacts(*context_.refusal).name.data());
    attempt_.limitResponseBody(std::nullopt);
}

void ForwardedCall::onEnd(const AttemptOutcome &end)
{
    const Overloaded visitor{
            [this](const CompleteResponse &whole) {
                if (isLeaving(whole.raw) && canRedirect()) {
                    redirect(context_.home.id);
                    return;
                }
                caller_.answer(whole.raw);
                finish();
            },
            [this](const StreamedResponseEnd &) {
                caller_.endStream();
                finish();
            },
            [this](const CloseDelimitedResponse &) { refuse(RefusalReason::UnboundedAnswer); },
            [this](AttemptFailure failure) { onFailure(failure); }};
    std::visit(visitor, end);
}

bool ForwardedCall::canRedirect() const
{
    return context_.redirect && !caller_.hasDisconnected();
}

void ForwardedCall::redirect(const NodeId &left)
{
    timer_ = Timer();
    worker_.node.counters.inFlight.add(-1);
    worker_.node.counters.keyedRedirected.add();
    const auto elapsed = std::chrono::duration_cast<Milliseconds>(now(SteadyClock()) - startedAt_);
    ForwardContext origin = std::move(context_);
    origin.allowed = std::max(origin.allowed - elapsed, Milliseconds(1));
    origin.left = left;
    evhttp_request *request = caller_.releaseRequest();
    worker_.endCall(this);
    const auto takeBack = std::exchange(origin.redirect, nullptr);
    takeBack(request, std::move(origin));
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
        // Nobody said that the node left for good, so the next home decides by what it knows.
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
    // An earlier call with the key may have been run, which only its home can tell.
    caller_.refuse(Refusal{context_.refusal.value_or(reason), RunProof::Unknown});
    finish();
}

void ForwardedCall::finish()
{
    timer_ = Timer();
    context_.limit.release();
    worker_.node.counters.inFlight.add(-1);
    worker_.endCall(this);
}

} // namespace cornelhead::detail
