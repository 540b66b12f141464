// A keyed call at the node where it arrived, forwarded to the home of its key, the node that runs
// all calls with that key.
#pragma once

#include <functional>
#include <memory>
#include <optional>

#include "cornelhead/proxy/attempt.h"
#include "cornelhead/proxy/caller.h"
#include "cornelhead/proxy/request-head.h"

namespace cornelhead::detail {

/// A keyed call to forward and the resources that it holds until its end.
struct ForwardContext
{
    RequestHead head;
    NodeInfo home;
    Milliseconds timeout{};
    /// The reason for which the home is to refuse the call, unless it has the key stored.
    std::optional<RefusalReason> refusal;
    LimitPermit permit;
    /// The former home of the key, which has said that it starts no more keyed calls; may be empty.
    NodeId formerHome;
    /// Called when the home is leaving or unreachable; null when the call was redirected before.
    std::function<void(evhttp_request *, ForwardContext)> redirect;
};

/// Forwards a call to its home and returns the home's response.  Its own refusals never say
/// `not-run`, as only the home has a record of earlier calls with the key.
class ForwardedCall : public ActiveCall
{
public:
    ForwardedCall(WorkerState &worker, evhttp_request *caller, ForwardContext context);
    ~ForwardedCall() override;

    void start();

private:
    AttemptHandlers handlers();
    void fillRequest();
    void onEnd(const AttemptOutcome &outcome);
    bool canRedirect() const;
    void redirect(const NodeId &formerHome);
    void onFailure(AttemptFailure failure);
    void onDeadline();
    void stop(RefusalReason reason);
    void refuse(RefusalReason reason);
    void finish();

    WorkerState &worker_;
    Caller caller_;
    ForwardContext context_;
    Attempt attempt_;
    Timer timer_;
    TimePoint startedAt_{};
};

} // namespace cornelhead::detail
