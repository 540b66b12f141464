// Routes each request that arrives at a worker.
#pragma once

#include <memory>
#include <optional>
#include <set>
#include <string>

#include "cornelhead/proxy/caller.h"
#include "cornelhead/proxy/forwarded-call.h"
#include "cornelhead/proxy/key-claim.h"
#include "cornelhead/proxy/request-head.h"
#include "cornelhead/proxy/worker-state.h"
#include "cornelhead/routing/admission.h"
#include "cornelhead/routing/view.h"

namespace cornelhead::detail {

/// Admits or refuses requests and starts their calls.
class Dispatcher
{
public:
    explicit Dispatcher(WorkerState &worker) : worker_(worker) { }

    void setView(std::shared_ptr<const RoutingView> view);
    void onRequest(evhttp_request *request);
    /// Returns when the last request arrived.
    TimePoint lastRequestTime() const { return lastRequestTime_; }

private:
    // The result of admission and limits.  Has an admission unless the configuration refuses the
    // call.
    struct Decision
    {
        std::optional<Admission> admission;
        std::optional<RefusalReason> refusal;
        LimitPermit permit;
        // Keeps alive what the admission points into when a newer view arrives.
        std::shared_ptr<const RoutingView> view;
    };

    // Whether a call whose home is leaving or unreachable may be forwarded to the next home.
    enum class Redirect { Allowed, Forbidden };

    Decision decide(const RequestHead &head, TimePoint time);
    void acquireLimits(Decision &decision, TimePoint time);
    void startCall(evhttp_request *request, const RequestHead &head, Decision decision,
                   std::unique_ptr<KeyClaim> claim);
    void onKeyedCall(evhttp_request *request, const RequestHead &head, Decision decision);
    // Sends a keyed call to its home.  `formerHome`, unless empty, has said that it starts no more
    // keyed calls.
    void routeToHome(evhttp_request *request, const RequestHead &head, Decision decision,
                     const NodeId &formerHome);
    void forward(evhttp_request *request, const RequestHead &head, Decision decision,
                 const NodeInfo &home, const NodeId &formerHome, Redirect redirect);
    // Sends a call that its home did not accept to the next home.
    void redirectCall(evhttp_request *request, const RequestHead &head, Decision decision,
                      const ForwardContext &from);
    void routeToNextHome(evhttp_request *request, const RequestHead &head, Decision decision,
                         const NodeId &unreachable);
    void runLocally(evhttp_request *request, const RequestHead &head, Decision decision);
    void requestRelease(evhttp_request *request, const RequestHead &head, Decision decision,
                        const KeyedCall &call, const NodeInfo &predecessor);
    void onRelease(evhttp_request *request, const RequestHead &head, Decision decision,
                   const KeyedCall &call, const NodeInfo &predecessor, Release release);
    void applyVerdict(evhttp_request *request, const RequestHead &head, Decision decision,
                      const CallKey &key, const KeyDecision &verdict);
    bool refuseIfDisconnected(evhttp_request *request);
    bool isFromKnownNode(evhttp_request *request) const;
    Milliseconds effectiveTimeout(const RequestHead &head, const Decision &decision) const;
    void onPoisonNotice(evhttp_request *request, const RequestHead &head);
    bool isPoison(evhttp_request *request);
    void refuse(evhttp_request *request, const Refusal &refusal);

    WorkerState &worker_;
    std::shared_ptr<const RoutingView> view_;
    // The IP addresses of all nodes in the view.
    std::set<std::string, std::less<>> nodeAddresses_;
    TimePoint lastRequestTime_{};
};

} // namespace cornelhead::detail
