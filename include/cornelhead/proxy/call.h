// One call at the node that runs it: choice of server, attempts, retries and the answer.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cornelhead/proxy/attempt.h"
#include "cornelhead/proxy/caller.h"
#include "cornelhead/proxy/key-ticket.h"
#include "cornelhead/proxy/request-head.h"
#include "cornelhead/routing/admission.h"
#include "cornelhead/routing/view.h"

namespace cornelhead::detail {

/// An admitted call, and what it holds until its end.
struct CallOrigin
{
    RequestHead head;
    Admission admission;
    /// Keeps what `admission` points into.
    std::shared_ptr<const RoutingView> view;
    TimePoint arrived{};
    LimitPlace limit;
    /// Null unless the call may run at most once.
    std::unique_ptr<KeyTicket> ticket;
};

/// Runs a call at backend servers.
///
/// A call with a ticket outlives its caller: once it may be running at a server, only the server's
/// answer, a broken connection or `lateAnswerLimit` ends it.
///
/// Invariant: a server is charged with at most one attempt of the call at a time.
class Call : public ActiveCall
{
public:
    Call(WorkerState &worker, evhttp_request *caller, CallOrigin origin);
    ~Call() override;

    /// Makes the first attempt; may end the call at once.
    void start();

private:
    void attempt();
    ServerBook::Record chooseServer();
    void send(const ServerBook::Record &server);
    void fillRequest(Attempt &attempt) const;
    std::string targetUri() const;
    AttemptHandlers handlers();

    void onEnd(const AttemptEnd &end);
    void onWhole(evhttp_request *answer);
    void onStreamEnd();
    void onUnbounded();
    void onFailure(AttemptFailure failure);
    bool retryAfter(AttemptFailure failure);
    void onDeadline();
    void onCallerGone();
    void onTooLate();

    bool isStreamed(evhttp_request *answer);
    void onChunk(evbuffer *chunk);

    bool maySurviveCaller() const;
    void waitForLateAnswer();
    void cancelAttempt(ServerResult result);
    void endAttempt(ServerResult result);
    void recordOutcome(OutcomeKind kind);
    void refuse(RefusalReason reason);
    void finish();
    void startDeadline(Milliseconds allowed);
    Milliseconds remaining() const;
    RunProof runProof() const;
    Attempt &current() const { return *attempts_.back(); }

    WorkerState &worker_;
    Caller caller_;
    CallOrigin origin_;
    TimePoint deadline_{};
    TimePoint attemptStarted_{};
    Timer timer_;
    // All attempts so far; only the last one may be running.
    std::vector<std::unique_ptr<Attempt>> attempts_;
    std::vector<ServerBook::Record> tried_;
    // The server of the running attempt, or null.
    ServerBook::Record server_;
    std::optional<AttemptFailure> lastFailure_;
    // True once an attempt ended without proof that it was not run.
    bool mayHaveRun_ = false;
};

} // namespace cornelhead::detail
