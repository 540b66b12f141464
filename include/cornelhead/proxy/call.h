// One call at the node that runs it: choice of server, attempts, retries and the answer.
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

/// An admitted call, and what it holds until its end.
struct CallContext
{
    RequestHead head;
    Admission admission;
    /// Keeps what `admission` points into.
    std::shared_ptr<const RoutingView> view;
    TimePoint arrived{};
    LimitPermit limit;
    /// Null unless the call may run at most once.
    std::unique_ptr<KeyClaim> claim;
};

/// Runs a call at backend servers.
///
/// A call with a claim outlives its caller: once it may be running at a server, only the server's
/// answer, a broken connection or `lateResponseTimeout` ends it.
class Call : public ActiveCall
{
public:
    Call(WorkerState &worker, evhttp_request *caller, CallContext origin);
    ~Call() override;

    /// Makes the first attempt or waits for a server; may end the call at once.
    void start();
    /// Makes the first attempt of a call that waited.  Returns false when no server is free.
    bool startFromQueue();
    /// Refuses a call that waited for a server.
    void refuseOverload();

private:
    // One attempt at one server.
    struct UpstreamRequest
    {
        ServerBook::Record server;
        TimePoint started{};
        bool isRunning = true;
        std::unique_ptr<Attempt> attempt;
    };

    void attempt();
    ServerChoice chooseServer() const;
    void enqueue();
    void send(const ServerBook::Record &server);
    void fillRequest(Attempt &attempt) const;
    std::string targetUri() const;
    AttemptHandlers handlers(UpstreamRequest &upstream);

    void onEnd(UpstreamRequest &upstream, const AttemptOutcome &end);
    void onCompleteResponse(UpstreamRequest &upstream, evhttp_request *answer);
    void onStreamedResponseEnd(UpstreamRequest &upstream);
    void onCloseDelimitedResponse(UpstreamRequest &upstream);
    void onFailure(UpstreamRequest &upstream, AttemptFailure failure);
    bool startStreamIfLong(UpstreamRequest &upstream, evhttp_request *answer);
    void onChunk(UpstreamRequest &upstream, evbuffer *chunk);

    void retryOrRefuse(AttemptFailure failure);
    bool acquireRetry(AttemptFailure failure);
    bool recordSuspectedDeath(const UpstreamRequest &upstream, AttemptFailure failure);
    void clearSuspicion();

    void setTimer();
    void onTimer();
    void onDeadline();
    ServerBook::Record chooseOtherServer(const UpstreamRequest &upstream);
    void hedge(const UpstreamRequest &first);
    void giveUp(UpstreamRequest &upstream);
    void onCallerDisconnect();
    void onLateResponseTimeout();

    bool mayOutliveCaller() const;
    void waitForLateResponse();
    void cancelUpstream(UpstreamRequest &upstream, ServerResult result);
    void cancelUpstreams(ServerResult result);
    void endUpstream(UpstreamRequest &upstream, ServerResult result);
    void recordOutcome(const UpstreamRequest &upstream, OutcomeKind kind);
    void refuse(RefusalReason reason);
    void finish();
    UpstreamRequest *running() const;
    bool wasSent() const;
    Milliseconds remaining() const;
    RunProof runProof() const;

    WorkerState &worker_;
    Caller caller_;
    CallContext context_;
    TimePoint deadline_{};
    // Decides between versions; the same for all attempts, so that waiting skews no share.
    const double versionDraw_;
    Timer timer_;
    // When the running attempt is to be hedged or given up.
    std::optional<TimePoint> hedgeAt_;
    std::optional<TimePoint> giveUpAt_;
    // All attempts so far; at most two are running.
    std::vector<std::unique_ptr<UpstreamRequest>> upstreamRequests_;
    std::vector<ServerBook::Record> triedServers_;
    std::optional<AttemptFailure> lastFailure_;
    // True once an attempt ended without proof that it was not run.
    bool mayHaveRun_ = false;
    bool isQueued_ = false;
};

} // namespace cornelhead::detail
