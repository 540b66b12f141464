// One call at the host's backend server.
#pragma once

#include <memory>
#include <string>

#include "cornelhead/proxy/attempt.h"
#include "cornelhead/routing/poison.h"
#include "cornelhead/routing/server-gate.h"
#include "cornelhead/sidecar/exchange.h"
#include "cornelhead/sidecar/hop.h"

namespace cornelhead::detail {

class InboundProxy;

/// Waits for a slot, runs the call at the server and answers the node that asked.
class InboundCall : public std::enable_shared_from_this<InboundCall>
{
public:
    InboundCall(InboundProxy &side, evhttp_request *request, std::string id, HopRequest hop,
                GateTicket ticket, TimePoint finishBy);
    ~InboundCall();
    InboundCall(const InboundCall &) = delete;
    InboundCall &operator=(const InboundCall &) = delete;

    void watch();
    /// Sends the call to the server.
    void run();
    /// Ends the call before it was sent.
    void refuse(HopReason reason);
    /// Answers on `request` from now on, as the connection of the first one broke.
    void attachTo(evhttp_request *request);

    const std::string &id() const { return id_; }
    const HopRequest &hop() const { return hop_; }
    GateTicket ticket() const { return ticket_; }
    TimePoint finishBy() const { return deadline_; }
    TimePoint startedAt() const { return startedAt_; }
    Fingerprint fingerprint() const { return fingerprint_; }
    HopResult result() const { return result_; }
    HopReason reason() const { return reason_; }
    const std::shared_ptr<const RememberedAnswer> &remembered() const { return remembered_; }

private:
    void onCallerGone();
    void onEnd(const AttemptEnd &end);
    void onAnswer(evhttp_request *answer);
    void onFailure(AttemptFailure failure);
    void onTimeout();
    void pass(evhttp_request *answer);
    void finish(HopResult result, HopReason reason);
    bool isValidResponse(evhttp_request *answer) const;

    InboundProxy &side_;
    // Holds the request's bytes, also after the caller's connection broke.
    std::unique_ptr<Exchange> exchange_;
    const std::string id_;
    const HopRequest hop_;
    const GateTicket ticket_;
    const TimePoint deadline_;
    Fingerprint fingerprint_;
    std::unique_ptr<Attempt> attempt_;
    Timer timer_;
    TimePoint startedAt_{};
    TimePoint arrivedAt_{};
    ServerId expectedServer_;
    HopResult result_ = HopResult::Unknown;
    HopReason reason_ = HopReason::None;
    std::shared_ptr<const RememberedAnswer> remembered_;
    bool isCallerGone_ = false;
    bool isDone_ = false;
};

} // namespace cornelhead::detail
