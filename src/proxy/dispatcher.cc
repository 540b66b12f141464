// Implements the dispatcher.
#include "cornelhead/proxy/dispatcher.h"

#include <algorithm>

#include <event2/http.h>

#include "cornelhead/base/digest.h"
#include "cornelhead/proxy/call.h"
#include "cornelhead/proxy/forwarded-call.h"
#include "cornelhead/proxy/key-handover.h"
#include "cornelhead/proxy/overloaded.h"
#include "cornelhead/proxy/poison-notice.h"

namespace cornelhead::detail {

namespace {

// Timeout of keyed calls whose route sets none.
constexpr Milliseconds defaultTimeout = Milliseconds(2000);
// A former home is a nearby node, so one that does not respond within this time counts as
// unreachable.
constexpr Milliseconds releaseTimeout = Milliseconds(500);

bool hasKey(evhttp_request *request)
{
    return evhttp_find_header(evhttp_request_get_input_headers(request), idempotencyKeyHeader)
            != nullptr;
}

// Only the home of a key has a record of whether an earlier call with the key was run.
RunStatus runProofWithoutHome(evhttp_request *request)
{
    return hasKey(request) ? RunStatus::Unknown : RunStatus::NotRun;
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
    return KeyedCall{makeCallKey(head.customer, head.key), keyCreatedAtMs(head.key),
                     requestDigest(request, head)};
}

} // namespace

void Dispatcher::setView(std::shared_ptr<const RoutingView> view)
{
    view_ = std::move(view);
    nodeAddresses_.clear();
    for (const auto &[id, node] : view_->endpoints->nodes)
        nodeAddresses_.insert(node.proxy.ip);
}

bool Dispatcher::isFromKnownNode(evhttp_request *request) const
{
    char *ip = nullptr;
    std::uint16_t port = 0;
    evhttp_connection_get_peer(evhttp_request_get_connection(request), &ip, &port);
    return ip && nodeAddresses_.contains(std::string_view(ip));
}

void Dispatcher::refuse(evhttp_request *request, const Refusal &refusal)
{
    Caller(worker_, request).refuse(refusal);
}

bool Dispatcher::isPoison(evhttp_request *request)
{
    SharedPoisonTracker &poison = worker_.node.poison;
    return poison.hasSuspects()
            && poison.isRefused(requestFingerprint(request), now(SteadyClock()));
}

void Dispatcher::onRequest(evhttp_request *request)
{
    worker_.destroyEndedCalls();
    worker_.node.counters.calls.add();
    lastRequestTime_ = now(SteadyClock());
    if (isNodeMessage(request) && isFromKnownNode(request)) {
        handleNodeMessage(worker_, request);
        return;
    }
    const auto head = readRequestHead(request);
    if (!head || !view_) {
        const RefusalReason reason = head ? RefusalReason::NotReady : head.error();
        refuse(request, Refusal{reason, runProofWithoutHome(request)});
        return;
    }
    // Internal headers are accepted only from the IP address of a node in the view.
    if (!head->home.empty() && !isFromKnownNode(request)) {
        refuse(request, Refusal{RefusalReason::HomeMoved, RunStatus::Unknown});
        return;
    }
    if (!head->death.empty() || !head->responded.empty()) {
        onPoisonNotice(request, *head);
        return;
    }
    Decision decision = decide(*head, lastRequestTime_);
    const bool isIdempotent = decision.admission
            && decision.admission->route->idempotency == Idempotency::Idempotent;
    // A call that another node forwarded as keyed stays keyed, even if the configuration of this
    // node differs.
    if (!head->key.empty() && (!isIdempotent || !head->home.empty()))
        onKeyedCall(request, *head, std::move(decision));
    else if (!decision.refusal && isPoison(request))
        refuse(request, Refusal{RefusalReason::Poison, RunStatus::NotRun});
    else if (decision.refusal)
        refuse(request, Refusal{*decision.refusal, RunStatus::NotRun});
    else
        startCall(request, *head, std::move(decision), nullptr);
}

void Dispatcher::onPoisonNotice(evhttp_request *request, const RequestHead &head)
{
    const auto notice = decodePoisonNotice(head);
    if (head.home.empty() || !notice) {
        refuse(request, Refusal{RefusalReason::BadRequest, RunStatus::NotRun});
        return;
    }
    SharedPoisonTracker &poison = worker_.node.poison;
    const Overloaded visitor{
            [&](const SuspectedDeath &death) { poison.addRemoteDeath(death, lastRequestTime_); },
            [&](Fingerprint responded) { poison.addRemoteResponse(responded, lastRequestTime_); }};
    std::visit(visitor, *notice);
    StoredResponse noContent;
    noContent.status = HTTP_NOCONTENT;
    Caller(worker_, request).respond(noContent);
}

Dispatcher::Decision Dispatcher::decide(const RequestHead &head, TimePoint time)
{
    Decision decision;
    decision.view = view_;
    const auto admission = admit(*view_->config, CallHead{head.customer, head.path, head.key});
    if (!admission) {
        decision.refusal = admission.error();
        return decision;
    }
    decision.admission = *admission;
    // A forwarded call was counted at the node where it arrived.
    if (head.home.empty())
        acquireLimits(decision, time);
    return decision;
}

void Dispatcher::acquireLimits(Decision &decision, TimePoint time)
{
    NodeState &node = worker_.node;
    const CustomerId &customer = decision.admission->customer->id;
    const std::lock_guard lock(node.limitsMutex);
    switch (node.limits.take(customer, *decision.admission->plan, time)) {
    case LimitResult::Admitted:
        decision.permit = LimitPermit(node, customer);
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
                           std::unique_ptr<KeyClaim> claim)
{
    CallContext context{head,
                        *decision.admission,
                        std::move(decision.view),
                        lastRequestTime_,
                        std::move(decision.permit),
                        std::move(claim)};
    worker_.startCall(std::make_unique<Call>(worker_, request, std::move(context))).start();
}

void Dispatcher::onKeyedCall(evhttp_request *request, const RequestHead &head, Decision decision)
{
    const NodeId &self = worker_.node.settings.self.id;
    if (!head.home.empty() && head.home != self.value()) {
        // The sender's view is stale: the address belonged to another node before.
        refuse(request, Refusal{RefusalReason::HomeMoved, RunStatus::Unknown});
        return;
    }
    if (head.home.empty())
        routeToHome(request, head, std::move(decision), NodeId());
    else
        runLocally(request, head, std::move(decision));
}

void Dispatcher::routeToHome(evhttp_request *request, const RequestHead &head, Decision decision,
                             const NodeId &formerHome)
{
    std::optional<NodeInfo> home;
    NodeId leaving = formerHome;
    {
        const std::lock_guard lock(worker_.node.keysMutex);
        const HomeKeys &keys = worker_.node.keys;
        const CallKey key = makeCallKey(head.customer, head.key);
        const KeyHome found
                = formerHome.empty() ? keys.homeOf(key) : keys.homeWithout(formerHome, key);
        if (found.node)
            home = *found.node;
        if (formerHome.empty() && keys.isRetiring())
            leaving = worker_.node.settings.self.id;
    }
    if (!home) {
        refuse(request,
               Refusal{decision.refusal.value_or(RefusalReason::HomeUnreachable),
                       RunStatus::Unknown});
        return;
    }
    if (home->id == worker_.node.settings.self.id)
        runLocally(request, head, std::move(decision));
    else
        forward(request, head, std::move(decision), *home, leaving,
                formerHome.empty() ? Redirect::Allowed : Redirect::Forbidden);
}

void Dispatcher::redirectCall(evhttp_request *request, const RequestHead &head, Decision decision,
                              const ForwardContext &from)
{
    if (from.formerHome.empty()) {
        routeToNextHome(request, head, std::move(decision), from.home.id);
        return;
    }
    {
        const std::lock_guard lock(worker_.node.keysMutex);
        worker_.node.keys.markLeaving(from.formerHome, currentMoment());
    }
    routeToHome(request, head, std::move(decision), from.formerHome);
}

// `unreachable` has not said that it retired, so this node does not act as its successor.
void Dispatcher::routeToNextHome(evhttp_request *request, const RequestHead &head,
                                 Decision decision, const NodeId &unreachable)
{
    std::optional<NodeInfo> home;
    {
        const std::lock_guard lock(worker_.node.keysMutex);
        const CallKey key = makeCallKey(head.customer, head.key);
        const KeyHome found = worker_.node.keys.homeWithout(unreachable, key);
        if (found.node)
            home = *found.node;
    }
    if (!home || home->id == worker_.node.settings.self.id) {
        refuse(request, Refusal{RefusalReason::HomeUnreachable, RunStatus::Unknown});
        return;
    }
    forward(request, head, std::move(decision), *home, NodeId(), Redirect::Forbidden);
}

Milliseconds Dispatcher::effectiveTimeout(const RequestHead &head, const Decision &decision) const
{
    const Milliseconds timeout
            = decision.admission ? decision.admission->route->timeout : defaultTimeout;
    return std::max(std::min(timeout, head.deadline.value_or(timeout)), Milliseconds(1));
}

void Dispatcher::forward(evhttp_request *request, const RequestHead &head, Decision decision,
                         const NodeInfo &home, const NodeId &formerHome, Redirect redirect)
{
    ForwardContext context{head,
                           home,
                           effectiveTimeout(head, decision),
                           decision.refusal,
                           std::move(decision.permit),
                           formerHome,
                           nullptr};
    if (redirect == Redirect::Allowed) {
        context.redirect = [this, admission = decision.admission, view = decision.view](
                                   evhttp_request *returnedRequest, ForwardContext returned) {
            Decision newDecision{admission, returned.refusal, std::move(returned.permit), view};
            RequestHead newHead = returned.head;
            newHead.deadline = returned.timeout;
            redirectCall(returnedRequest, newHead, std::move(newDecision), returned);
        };
    }
    worker_.startCall(std::make_unique<ForwardedCall>(worker_, request, std::move(context)))
            .start();
}

bool Dispatcher::refuseIfDisconnected(evhttp_request *request)
{
    Caller caller(worker_, request);
    if (!caller.hasDisconnected()) {
        caller.releaseRequest();
        return false;
    }
    caller.refuse(Refusal{RefusalReason::Cancelled, RunStatus::Unknown});
    return true;
}

void Dispatcher::runLocally(evhttp_request *request, const RequestHead &head, Decision decision)
{
    NodeState &node = worker_.node;
    // A caller that has disconnected may have sent the key again and got a refusal with
    // run=not-run.
    if (refuseIfDisconnected(request))
        return;
    const auto requested = refusalReasonOf(head.refusal);
    auto refusal = requested ? requested : decision.refusal;
    if (!refusal && isPoison(request))
        refusal = RefusalReason::Poison;
    const KeyedCall call = keyedCall(request, head);
    std::optional<NodeInfo> predecessor;
    std::optional<KeyDecision> verdict;
    {
        const std::lock_guard lock(node.keysMutex);
        if (!head.formerHome.empty())
            node.keys.markLeaving(NodeId(std::string(head.formerHome)), currentMoment());
        if (!refusal)
            predecessor = node.keys.predecessorOf(call, currentMoment());
        if (!predecessor) {
            verdict = refusal ? node.keys.refuse(call, *refusal, currentMoment())
                              : node.keys.begin(call, currentMoment());
        }
    }
    if (predecessor)
        requestRelease(request, head, std::move(decision), call, *predecessor);
    else
        applyVerdict(request, head, std::move(decision), call.key, *verdict);
}

void Dispatcher::requestRelease(evhttp_request *request, const RequestHead &head, Decision decision,
                                const KeyedCall &call, const NodeInfo &predecessor)
{
    worker_.node.counters.keyReleasesRequested.add();
    const Milliseconds timeout = std::min(releaseTimeout, effectiveTimeout(head, decision));
    auto sharedDecision = std::make_shared<Decision>(std::move(decision));
    auto releaseCall = std::make_unique<ReleaseCall>(
            worker_, predecessor,
            [this, request, head, sharedDecision, call, predecessor](Release release) {
                onRelease(request, head, std::move(*sharedDecision), call, predecessor, release);
            });
    worker_.startCall(std::move(releaseCall))
            .start(ReleaseRequest{call, worker_.node.settings.self.id}, timeout);
}

void Dispatcher::onRelease(evhttp_request *request, const RequestHead &head, Decision decision,
                           const KeyedCall &call, const NodeInfo &predecessor, Release release)
{
    if (refuseIfDisconnected(request))
        return;
    if (release == Release::AlreadyUsed) {
        // No redirect, as the former home has the outcome stored.
        forward(request, head, std::move(decision), predecessor, NodeId(), Redirect::Forbidden);
        return;
    }
    const KeyDecision verdict = [&]() -> KeyDecision {
        const std::lock_guard lock(worker_.node.keysMutex);
        return release == Release::Granted ? worker_.node.keys.beginReleased(call, currentMoment())
                                           : worker_.node.keys.begin(call, currentMoment());
    }();
    applyVerdict(request, head, std::move(decision), call.key, verdict);
}

void Dispatcher::applyVerdict(evhttp_request *request, const RequestHead &head, Decision decision,
                              const CallKey &key, const KeyDecision &verdict)
{
    const Overloaded visitor{[&](const StartRun &) {
                                 startCall(request, head, std::move(decision),
                                           std::make_unique<KeyClaim>(worker_.node, key));
                             },
                             [&](const ReplayResponse &again) {
                                 worker_.node.counters.keyedReplayed.add();
                                 Caller(worker_, request).respond(*again.answer);
                             },
                             [&](const Refusal &refused) { refuse(request, refused); }};
    std::visit(visitor, verdict);
}

} // namespace cornelhead::detail
