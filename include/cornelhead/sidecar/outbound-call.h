// One call of a local caller, from its arrival to the response.
#pragma once

#include <memory>
#include <string>

#include "cornelhead/proxy/attempt.h"
#include "cornelhead/sidecar/caller-exchange.h"
#include "cornelhead/sidecar/outbound-proxy.h"

namespace cornelhead::detail {

/// Sends a call to one host after another until one answers, as far as retries are safe.
///
/// A call that may have run at a host is sent to another host only if it is idempotent.  When the
/// connection to a host breaks or stalls, the call is resumed: it is sent to the same host again on
/// a new connection, and the host recognises its request id and never runs it twice.
class OutboundCall : public std::enable_shared_from_this<OutboundCall>
{
public:
    OutboundCall(OutboundProxy &proxy, IncomingRequest request);
    ~OutboundCall();
    OutboundCall(const OutboundCall &) = delete;
    OutboundCall &operator=(const OutboundCall &) = delete;

    void start();
    /// Returns whether this host's server made the call while it ran the one with this request id.
    bool isMadeFor(const std::string &outerId) const;
    /// Ends the call, as the outer call's caller has left.
    void cancelWithOuterCall();

private:
    bool readHead();
    bool findRoute();
    bool isOuterCallCancelled() const;
    /// Finds the call's customer.  Returns false if the call was refused for want of it.
    bool identify();
    /// Returns whether the call, of which the caller waits for `limit`, is refused as the process
    /// is stopping.
    bool isRefusedByStop(Milliseconds limit) const;
    /// Continues with `onQuota` once the customer's quota is known to allow the call or not.
    void checkQuota();
    void onQuota(std::optional<Milliseconds> retryAfter);
    void selectHost();
    /// Returns whether the call may be sent: its body is small or has its turn on the link.  Else
    /// the call waits for it, or was refused.
    bool hasLink();
    void releaseLink();
    /// Asks the host for room if the body is large, else sends the call.
    void offerOrSend();
    void onOfferEnd(const OfferOutcome &outcome);
    /// Applies the report in a response of the current host.
    void recordResponse(const HopResponse &response);
    Milliseconds bodyDelay() const;
    void send(bool isResumed);
    /// Sends the call again to the same host, unless its deadline has passed.
    void resume();
    void fillHeaders(bool isResumed);
    void armProgressTimer();
    void onStalled();
    void onAttemptEnd(const AttemptOutcome &end);
    void onStalledAttemptEnd(const AttemptOutcome &end);
    void onHostResponse(evhttp_request *raw);
    void onAttemptFailure(AttemptFailure failure, ConnectFailure unsent = ConnectFailure::Refused);
    void onHostUnreachable(ConnectFailure failure);
    void onHostRefused(HopReason reason);
    void onUnknownOutcome(HopReason reason);
    /// Refuses the call with `fallback` if it may not be retried.
    void retryOnOtherHost(OutboundRefusal fallback);
    void releaseHost();
    void destroyLater(std::unique_ptr<Attempt> &attempt);
    void cancelAttempts(UnansweredEnd reason);
    void onDeadline();
    void onCallerDisconnect();
    void refuse(OutboundRefusal refusal);
    void logEnd(std::string_view outcome, int status);
    /// Returns the value of the header Retry-After, and books the return that it asks for.
    double retryAfterSeconds(OutboundRefusal refusal);
    Microseconds bookReturn();
    Milliseconds elapsedSinceFirstTry() const;
    Milliseconds timeLeft() const;

    OutboundProxy &proxy_;
    CallerExchange exchange_;
    std::shared_ptr<const RouteTable> table_;
    const HostRoute *route_ = nullptr;
    std::string id_;
    // How long the caller waits, from its header; 0 if it has none.
    Milliseconds callerTimeout_{};
    TimePoint arrivedAt_{};
    TimePoint deadline_{};
    // Until when the server may work on the call.  Earlier than `deadline_` if the process ends
    // before the caller's timeout, so that the server's own answer still reaches the caller.
    TimePoint serverDeadline_{};
    // Estimated time from the caller's first try of this call to the arrival of this one.
    Milliseconds elapsedBeforeArrival_{};
    // Made by this host's server while it runs another call.
    bool isNestedCall_ = false;
    // The id has the form of a nested call's.
    bool hasNestedId_ = false;
    // Null if the call has none; owned by `table_`.
    const HostCustomer *customer_ = nullptr;
    PlacementRequest placementRequest_;
    Placement::Host host_;
    // Names the run of the node and the server that the current attempt is meant for, as the host
    // entry may change meanwhile.
    HopRequest hop_;
    // The question for room at the current host; null while none is asked.
    std::unique_ptr<BodyOffer> offer_;
    // The turn on the node's link that a large body has or waits for.
    std::optional<UploadTicket> upload_;
    std::unique_ptr<Attempt> attempt_;
    // The previous attempt at the same host, which stalled.  Its connection stays open, as the host
    // would take a close for the caller's; the first response of either attempt counts.
    std::unique_ptr<Attempt> stalled_;
    // When the call was first sent to the current host.
    TimePoint sentAt_{};
    Timer progressTimer_;
    Timer deadlineTimer_;
    std::uint32_t serversReached_ = 0;
    std::uint32_t refusals_ = 0;
    // Hosts that handed the call back, as it would have had to wait there.
    std::uint32_t handBacks_ = 0;
    // At the current host.
    std::uint32_t resumes_ = 0;
    // Shortest queue wait reported by a host; 0 before the first report.
    Microseconds minWait_{};
    // Expected wait for the node's link, if the call was refused for it.
    Microseconds linkWait_{};
    // The call may go to the other version if the chosen one has no host.
    bool maySwitchVersion_ = false;
    bool reachedServer_ = false;
    // The call was counted against the quota of its customer.
    bool isInQuota_ = false;
    // When a call beyond the quota may come back.
    Milliseconds quotaWait_{};
    bool isDone_ = false;
};

} // namespace cornelhead::detail
