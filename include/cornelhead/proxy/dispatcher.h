// Decides what becomes of each request that arrives at a worker.
#pragma once

#include <memory>
#include <optional>
#include <set>
#include <string>

#include "cornelhead/proxy/caller.h"
#include "cornelhead/proxy/key-ticket.h"
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
    /// When the last request arrived.
    TimePoint lastRequest() const { return lastRequest_; }

private:
    // What the configuration and the limits say; the admission is there unless the former refuses.
    struct Decision
    {
        std::optional<Admission> admission;
        std::optional<RefusalReason> refusal;
        LimitPlace limit;
    };

    Decision decide(const RequestHead &head, TimePoint time);
    void takeLimits(Decision &decision, TimePoint time);
    void startCall(evhttp_request *request, const RequestHead &head, Decision decision,
                   std::unique_ptr<KeyTicket> ticket);
    void onKeyed(evhttp_request *request, const RequestHead &head, Decision decision);
    void sendOn(evhttp_request *request, const RequestHead &head, Decision decision,
                const NodeInfo &home);
    void runHere(evhttp_request *request, const RequestHead &head, Decision decision);
    bool isFromNode(evhttp_request *request) const;
    bool isPoison(evhttp_request *request);
    void refuse(evhttp_request *request, const Refusal &refusal);

    WorkerState &worker_;
    std::shared_ptr<const RoutingView> view_;
    // The IP numbers of all nodes in the view.
    std::set<std::string, std::less<>> nodeIps_;
    TimePoint lastRequest_{};
};

} // namespace cornelhead::detail
