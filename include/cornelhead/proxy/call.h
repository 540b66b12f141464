// A call at the node that runs it: choice of server, attempts, retries and the response.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cornelhead/proxy/attempt.h"
#include "cornelhead/proxy/caller.h"
#include "cornelhead/proxy/key-claim.h"
#include "cornelhead/proxy/request-head.h"
#include "cornelhead/routing/admission.h"
#include "cornelhead/routing/view.h"

namespace cornelhead::detail {

/// An admitted call and the resources that it holds until its end.
struct CallContext
{
    RequestHead head;
    Admission admission;
    /// Keeps alive what `admission` points into.
    std::shared_ptr<const RoutingView> view;
    TimePoint arrivedAt{};
    LimitPermit permit;
    /// Null unless the call has an idempotency key, and so may run at most once.
    std::unique_ptr<KeyClaim> claim;
};

/// Runs a call at backend servers.
///
/// A call with a key claim outlives its caller: once it may be running at a server, only the
/// server's response, a broken connection or `lateResponseTimeout` ends it.
class Call : public ActiveCall
{
public:
    Call(WorkerState &worker, evhttp_request *caller, CallContext context);
    ~Call() override;

    /// Makes the first attempt or queues the call; may end the call before it returns.
    void start();
    /// Makes the first attempt of a queued call.  Returns false when no server is free.
    bool startFromQueue();
    /// Refuses a queued call with `Overload`.
    void refuseOverload();

private:
    struct UpstreamRequest
    {
        ServerPool::Record server;
        TimePoint startedAt{};
        // As the attempt began; at its end the answer would depend on its duration.
        bool wasServerStarting = false;
        bool isRunning = true;
        std::unique_ptr<Attempt> attempt;
    };

    void makeAttempt();
    ServerChoice chooseServer() const;
    void enqueue();
    void send(const ServerPool::Record &server);
    void fillRequest(Attempt &attempt) const;
    std::string targetUri() const;
    AttemptHandlers handlers(UpstreamRequest &upstream);

    void onEnd(UpstreamRequest &upstream, const AttemptOutcome &outcome);
    void onCompleteResponse(UpstreamRequest &upstream, evhttp_request *response);
    void onStreamedResponseEnd(UpstreamRequest &upstream);
    void onCloseDelimitedResponse(UpstreamRequest &upstream);
    void onFailure(UpstreamRequest &upstream, AttemptFailure failure);
    bool startStreamIfLong(UpstreamRequest &upstream, evhttp_request *response);
    void onChunk(UpstreamRequest &upstream, evbuffer *chunk);

    void retryOrRefuse(AttemptFailure failure);
    // Decides whether to retry, and takes the retry from the budget.
    bool acquireRetry(AttemptFailure failure);
    // Returns whether the request is poison, so that it must not be sent again.
    bool recordSuspectedDeath(const UpstreamRequest &upstream, AttemptFailure failure);
    void clearSuspicion();

    void setTimer();
    void onTimer();
    void onDeadline();
    ServerPool::Record chooseOtherServer(const UpstreamRequest &upstream);
    void hedge(const UpstreamRequest &first);
    void giveUp(UpstreamRequest &upstream);
    void onCallerDisconnect();
    void onLateResponseTimeout();

    bool mayOutliveCaller() const;
    void waitForLateResponse();
    void cancelUpstream(UpstreamRequest &upstream, ServerResult result);
    void cancelUpstreams(ServerResult result);
    // Cancels the attempt that another one has overtaken.  The time that it has taken counts as a
    // sample, as otherwise the slower of two versions would lose its slow attempts.
    void cancelOvertaken();
    void endUpstream(UpstreamRequest &upstream, ServerResult result);
    void recordOutcome(const UpstreamRequest &upstream, OutcomeKind kind);
    void refuse(RefusalReason reason);
    void finish();
    UpstreamRequest *running() const;
    bool wasSent() const;
    Milliseconds remaining() const;
    RunStatus runProof() const;

    WorkerState &worker_;
    Caller caller_;
    CallContext context_;
    TimePoint deadline_{};
    // In [0, 1), decides between versions.  The same for all attempts, as a new draw for each would
    // skew the traffic shares of the versions.
    const double versionDraw_;
    Timer timer_;
    // When to hedge and when to give up the running attempt.
    std::optional<TimePoint> hedgeAt_;
    std::optional<TimePoint> giveUpAt_;
    // Invariant: at most two are running.
    std::vector<std::unique_ptr<UpstreamRequest>> upstreamRequests_;
    std::vector<ServerPool::Record> triedServers_;
    std::optional<AttemptFailure> lastFailure_;
    // True once an attempt has ended without proof that it was not run.
    bool mayHaveRun_ = false;
    bool isQueued_ = false;
};

} // namespace cornelhead::detail
