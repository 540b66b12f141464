// One call of a caller, from its arrival to its answer.
#pragma once

#include <memory>
#include <string>

#include "cornelhead/proxy/attempt.h"
#include "cornelhead/sidecar/exchange.h"
#include "cornelhead/sidecar/outbound-proxy.h"

namespace cornelhead::detail {

/// Sends a call to one host after the other until one answers, as far as that is safe.
///
/// A call that may have been run at a host is sent elsewhere only if it is idempotent.  When a
/// connection to a host breaks or falls silent, the host is asked for the same call by its id on a
/// new connection, which never runs it twice.
class OutboundCall : public std::enable_shared_from_this<OutboundCall>
{
public:
    OutboundCall(OutboundProxy &side, evhttp_request *request);
    ~OutboundCall();
    OutboundCall(const OutboundCall &) = delete;
    OutboundCall &operator=(const OutboundCall &) = delete;

    void start();

private:
    bool readHead();
    bool findRoute();
    void place();
    void send(bool isResumed);
    void fillHeaders(bool isResumed);
    void armProgressTimer();
    void onStalled();
    void onEnd(const AttemptEnd &end);
    void onStalledAttemptEnd(const AttemptEnd &end);
    void onHostResponse(evhttp_request *raw);
    void onFailure(AttemptFailure failure);
    void onHostUnreachable();
    void onHostRefused(HopReason reason);
    void onUnknownOutcome(HopReason reason);
    void retryOnOtherHost(OutboundRefusal otherwise);
    void releaseHost();
    void destroyLater(std::unique_ptr<Attempt> &attempt);
    void cancelAttempts();
    void onDeadline();
    void onCallerGone();
    void refuse(OutboundRefusal refusal);
    void logEnd(std::string_view outcome, int status);
    double retryAfterSeconds() const;
    Milliseconds timeLeft() const;

    OutboundProxy &side_;
    Exchange exchange_;
    std::shared_ptr<const RouteTable> table_;
    const HostRoute *route_ = nullptr;
    std::string id_;
    Milliseconds callerTimeout_{};
    TimePoint arrivedAt_{};
    TimePoint deadline_{};
    // Before this try began.
    Milliseconds elapsedBeforeArrival_{};
    bool isNestedCall_ = false;
    PlacementQuestion question_;
    Placement::Host host_;
    // The run and server that the current send is meant for; entries change while it runs.
    HopRequest hop_;
    std::unique_ptr<Attempt> attempt_;
    // The attempt before `attempt_`, at the same host, which gave no sign for a while.  It stays
    // open, as the host would take its end for the caller's; whichever answers first counts.
    std::unique_ptr<Attempt> stalled_;
    Timer progressTimer_;
    Timer deadlineTimer_;
    std::uint32_t serversReached_ = 0;
    std::uint32_t refusals_ = 0;
    std::uint32_t resumes_ = 0;
    Microseconds minWait_{};
    bool maySwitchVersion_ = false;
    bool reachedServer_ = false;
    bool isDone_ = false;
};

} // namespace cornelhead::detail
