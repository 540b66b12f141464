// One call of a caller's node to the host's backend server.
#pragma once

#include <memory>
#include <string>

#include "cornelhead/proxy/attempt.h"
#include "cornelhead/rollout/server-samples.h"
#include "cornelhead/routing/poison-tracker.h"
#include "cornelhead/routing/server-gate.h"
#include "cornelhead/sidecar/exchange.h"
#include "cornelhead/sidecar/hop.h"

namespace cornelhead::detail {

class InboundProxy;

/// Waits for a slot, sends the call to the server and responds to the caller's node.
class InboundCall : public std::enable_shared_from_this<InboundCall>
{
public:
    InboundCall(InboundProxy &proxy, evhttp_request *request, std::string id, HopRequest hop,
                GateTicket ticket, TimePoint deadline);
    ~InboundCall();
    InboundCall(const InboundCall &) = delete;
    InboundCall &operator=(const InboundCall &) = delete;

    void watchConnection();
    /// Sends the call to the server.
    void run();
    /// Ends the call, which was not sent.
    void refuse(HopReason reason);
    /// Responds on `request` from now on: the call was resumed on a new connection.
    void attachTo(evhttp_request *request);

    const std::string &id() const { return id_; }
    const HopRequest &hop() const { return hop_; }
    GateTicket ticket() const { return ticket_; }
    TimePoint deadline() const { return deadline_; }
    TimePoint startedAt() const { return startedAt_; }
    bool wasServerWarm() const { return wasServerWarm_; }
    Fingerprint fingerprint() const { return fingerprint_; }
    HopResult result() const { return result_; }
    HopReason reason() const { return reason_; }
    CallSample sample() const { return sample_; }
    /// Returns the time since the call was sent to the server; 0 if it was not.
    Milliseconds workTime() const;
    /// The response, for calls that must not run twice; null if there was no room for it.
    const std::shared_ptr<const StoredResponse> &storedResponse() const { return storedResponse_; }

private:
    void onCallerDisconnect();
    void onAttemptEnd(const AttemptOutcome &end);
    void onServerResponse(evhttp_request *response);
    void onAttemptFailure(AttemptFailure failure);
    void onTimeout();
    void forward(evhttp_request *response);
    void finish(HopResult result, HopReason reason);
    bool isAnswerToThisCall(evhttp_request *response) const;
    /// Returns whether the response bears the server's signature and is not encoded.
    bool isSignedAndPlain(evhttp_request *response) const;

    InboundProxy &proxy_;
    // Owns the request's bytes, also after the caller's connection broke.
    std::unique_ptr<Exchange> exchange_;
    const std::string id_;
    const HopRequest hop_;
    const GateTicket ticket_;
    const TimePoint deadline_;
    Fingerprint fingerprint_;
    std::unique_ptr<Attempt> attempt_;
    Timer timer_;
    TimePoint startedAt_{};
    // As the call was sent.  At its end, what has changed meanwhile would depend on its duration.
    bool wasServerWarm_ = false;
    ServerId expectedServer_;
    HopResult result_ = HopResult::Unknown;
    HopReason reason_ = HopReason::None;
    CallSample sample_ = CallSample::None;
    std::shared_ptr<const StoredResponse> storedResponse_;
    bool isCallerDisconnected_ = false;
    bool isDone_ = false;
};

} // namespace cornelhead::detail
