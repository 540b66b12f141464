// Implements the dispatch of requests.
#include "cornelhead/proxy/dispatcher.h"

#include <algorithm>

#include <event2/http.h>

#include "cornelhead/base/digest.h"
#include "cornelhead/proxy/call.h"
#include "cornelhead/proxy/overloaded.h"
#include "cornelhead/proxy/sent-on-call.h"

namespace cornelhead::detail {

namespace {

// For calls with a key that no route gives a timeout.
constexpr Milliseconds defaultTimeout = Milliseconds(2000);

bool hasKey(evhttp_request *request)
{
    return evhttp_find_header(evhttp_request_get_input_headers(request), keyHeader) != nullptr;
}

// Without its home, nothing is known about what earlier calls with a key did.
RunProof proofWithoutHome(evhttp_request *request)
{
    return hasKey(request) ? RunProof::Unknown : RunProof::NotRun;
}

Digest requestDigest(evhttp_request *request, const RequestHead &head)
{
    std::string text = std::to_string(evhttp_request_get_command(request));
    text.append(" ").append(head.path);
    if (head.query)
        text.append("?").append(head.query);
    text.append("\n").append(bodyOf(request));
    return digestOf(text);
}

KeyedCall keyedCall(evhttp_request *request, const RequestHead &head)
{
    return KeyedCall{makeCallKey(head.customer, head.key), keyBirth(head.key),
                     requestDigest(request, head)};
}

} // namespace

void Dispatcher::setView(std::shared_ptr<const RoutingView> view)
{
    view_ = std::move(view);
    nodeIps_.clear();
    for (const auto &[id, node] : view_->endpoints->nodes)
        nodeIps_.insert(node.proxy.ip);
}

bool Dispatcher::isFromNode(evhttp_request *request) const
{
    char *ip = nullptr;
    std::uint16_t port = 0;
    evhttp_connection_get_peer(evhttp_request_get_connection(request), &ip, &port);
    return ip && nodeIps_.contains(std::string_view(ip));
}

void Dispatcher::refuse(evhttp_request *request, const Refusal &refusal)
{
    Caller(worker_, request).refuse(refusal);
}

bool Dispatcher::isPoison(evhttp_request *request)
{
    SharedPoison &poison = worker_.node.poison;
    return poison.hasSuspects()
            && poison.isRefused(requestFingerprint(request), now(SteadyClock()));
}

void Dispatcher::onRequest(evhttp_request *request)
{
    worker_.dropEnded();
    worker_.node.counters.calls.add();
    lastRequest_ = now(SteadyClock());
    const auto head = readRequestHead(request);
    if (!head || !view_) {
        const RefusalReason reason = head ? RefusalReason::NotReady : head.error();
        refuse(request, Refusal{reason, proofWithoutHome(request)});
        return;
    }
    // What one node tells another is not believed from a caller.
    if (!head->home.empty() && !isFromNode(request)) {
        refuse(request, Refusal{RefusalReason::BadRequest, RunProof::Unknown});
        return;
    }
    Decision decision = decide(*head, lastRequest_);
    const bool isIdempotent = decision.admission
            && decision.admission->route->idempotency == Idempotency::Idempotent;
    // What another node sent on as keyed stays keyed, whatever this node's configuration says.
    if (!head->key.empty() && (!isIdempotent || !head->home.empty()))
        onKeyed(request, *head, std::move(decision));
    else if (!decision.refusal && isPoison(request))
        refuse(request, Refusal{RefusalReason::Poison, RunProof::NotRun});
    else if (decision.refusal)
        refuse(request, Refusal{*decision.refusal, RunProof::NotRun});
    else
        startCall(request, *head, std::move(decision), nullptr);
}

Dispatcher::Decision Dispatcher::decide(const RequestHead &head, TimePoint time)
{
    Decision decision;
    const auto admission = admit(*view_->config, CallHead{head.customer, head.path, head.key});
    if (!admission) {
        decision.refusal = admission.error();
        return decision;
    }
    decision.admission = *admission;
    // A call that another node sent on was counted there.
    if (head.home.empty())
        takeLimits(decision, time);
    return decision;
}

void Dispatcher::takeLimits(Decision &decision, TimePoint time)
{
    NodeState &node = worker_.node;
    const CustomerId &customer = decision.admission->customer->id;
    const std::lock_guard lock(node.limitsMutex);
    switch (node.limits.take(customer, *decision.admission->plan, time)) {
    case LimitResult::Admitted:
        decision.limit = LimitPlace(node, customer);
        break;
    case LimitResult::RateExceeded:
        decision.refusal = RefusalReason::Rate;
        break;
    case LimitResult::ConcurrencyExceeded:
        decision.refusal = RefusalReason::Concurrency;
        break;
    }
}

void Dispatcher::startCall(evhttp_request *request, const RequestHead &head, Decision decision,
                           std::unique_ptr<KeyTicket> ticket)
{
    CallOrigin origin{head,         *decision.admission,       view_,
                      lastRequest_, std::move(decision.limit), std::move(ticket)};
    worker_.startCall(std::make_unique<Call>(worker_, request, std::move(origin))).start();
}

void Dispatcher::onKeyed(evhttp_request *request, const RequestHead &head, Decision decision)
{
    const NodeId &self = worker_.node.settings.self.id;
    if (!head.home.empty() && head.home != self.value()) {
        // The address was another node's a moment ago.
        refuse(request, Refusal{RefusalReason::HomeMoved, RunProof::Unknown});
        return;
    }
    std::optional<NodeInfo> home;
    if (head.home.empty()) {
        const std::lock_guard lock(worker_.node.keysMutex);
        const KeyHome found = worker_.node.keys.homeOf(makeCallKey(head.customer, head.key));
        if (found.node)
            home = *found.node;
    }
    if (!head.home.empty() || (home && home->id == self))
        runHere(request, head, std::move(decision));
    else if (home)
        sendOn(request, head, std::move(decision), *home);
    else
        refuse(request,
               Refusal{decision.refusal.value_or(RefusalReason::HomeUnreachable),
                       RunProof::Unknown});
}

void Dispatcher::sendOn(evhttp_request *request, const RequestHead &head, Decision decision,
                        const NodeInfo &home)
{
    const Milliseconds timeout
            = decision.admission ? decision.admission->route->timeout : defaultTimeout;
    const Milliseconds allowed = std::min(timeout, head.deadline.value_or(timeout));
    SentOnOrigin origin{head, home, std::max(allowed, Milliseconds(1)), decision.refusal,
                        std::move(decision.limit)};
    worker_.startCall(std::make_unique<SentOnCall>(worker_, request, std::move(origin))).start();
}

void Dispatcher::runHere(evhttp_request *request, const RequestHead &head, Decision decision)
{
    NodeState &node = worker_.node;
    // A caller that has left may have sent the key again, and been told that it was not run.
    if (Caller caller(worker_, request); caller.hasHungUp()) {
        caller.refuse(Refusal{RefusalReason::Cancelled, RunProof::Unknown});
        return;
    }
    const auto asked = refusalReasonOf(head.refuse);
    auto refusal = asked ? asked : decision.refusal;
    if (!refusal && isPoison(request))
        refusal = RefusalReason::Poison;
    const KeyedCall call = keyedCall(request, head);
    const KeyVerdict verdict = [&] {
        const std::lock_guard lock(node.keysMutex);
        return refusal ? node.keys.refuse(call, *refusal, presentMoment())
                       : node.keys.begin(call, presentMoment());
    }();
    const Overloaded visitor{
            [&](const StartRun &) {
                startCall(request, head, std::move(decision),
                          std::make_unique<KeyTicket>(node, call.key));
            },
            [&](const AnswerAgain &again) { Caller(worker_, request).answer(*again.answer); },
            [&](const Refusal &refused) { refuse(request, refused); }};
    std::visit(visitor, verdict);
}

} // namespace cornelhead::detail
