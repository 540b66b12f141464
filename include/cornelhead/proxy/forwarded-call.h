// One keyed call at the node where it arrived, sent on to the home of its key.
#pragma once

#include <functional>
#include <memory>
#include <optional>

#include "cornelhead/proxy/attempt.h"
#include "cornelhead/proxy/caller.h"
#include "cornelhead/proxy/request-head.h"

namespace cornelhead::detail {

/// What a sent-on call holds until its end.
struct ForwardContext
{
    RequestHead head;
    NodeInfo home;
    Milliseconds allowed{};
    /// The refusal that the home is asked to make, unless it remembers the key.
    std::optional<RefusalReason> refusal;
    LimitPermit limit;
    /// The node that keeps the key no more and says so, if there is one.
    NodeId left;
    /// Takes the call back where the home is leaving or gone; nothing when that happened before.
    std::function<void(evhttp_request *, ForwardContext)> redirect;
};

/// Passes a call to its home and the home's answer back.  Says `not-run` only where the home does.
class ForwardedCall : public ActiveCall
{
public:
    ForwardedCall(WorkerState &worker, evhttp_request *caller, ForwardContext origin);
    ~ForwardedCall() override;

    void start();

private:
    AttemptHandlers handlers();
    void fillRequest();
    void onEnd(const AttemptOutcome &end);
    bool canRedirect() const;
    void redirect(const NodeId &left);
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
