// One caller's call from admission to its answer: choice, attempts, retries and the answer.
#pragma once

#include <memory>
#include <optional>
#include <vector>

#include "cornelhead/proxy/attempt.h"
#include "cornelhead/proxy/request-head.h"
#include "cornelhead/proxy/worker-state.h"
#include "cornelhead/routing/admission.h"
#include "cornelhead/routing/view.h"

namespace cornelhead::detail {

/// An admitted call with a place in its customer's limits, which it gives back at its end.
///
/// Invariant: the caller gets exactly one answer, and none after the attempts have ended.
class Call
{
public:
    struct Origin
    {
        evhttp_request *caller = nullptr;
        RequestHead head;
        Admission admission;
        /// Keeps what `admission` points into.
        std::shared_ptr<const RoutingView> view;
        TimePoint arrived{};
    };

    Call(WorkerState &worker, Origin origin);
    ~Call();
    Call(const Call &) = delete;
    Call &operator=(const Call &) = delete;

    /// Makes the first attempt; may end the call at once.
    void start();

private:
    void attempt();
    ServerBook::Record chooseServer();
    void send(const ServerBook::Record &server);
    void fillRequest(Attempt &attempt) const;
    AttemptHandlers handlers();

    void onEnd(const AttemptEnd &end);
    void onWhole(evhttp_request *answer);
    void onStreamEnd();
    void onUnbounded();
    void onFailure(AttemptFailure failure);
    bool retryAfter(AttemptFailure failure);
    void onDeadline();
    void onCallerGone();

    bool isStreamed(evhttp_request *answer);
    void onChunk(evbuffer *chunk);
    void cutStream();

    void endAttempt(ServerResult result);
    void recordOutcome(OutcomeKind kind);
    void refuse(RefusalReason reason);
    void refuseAfter(AttemptFailure failure);
    void finish();
    void watchCaller();
    void watchStreamedCaller();
    evhttp_request *takeCaller();
    void startDeadline(Milliseconds allowed);
    Milliseconds remaining() const;
    RunProof runProof() const;
    Attempt *current() const { return attempts_.empty() ? nullptr : attempts_.back().get(); }

    WorkerState &worker_;
    Origin origin_;
    TimePoint deadline_{};
    TimePoint attemptStarted_{};
    Timer deadlineTimer_;
    std::unique_ptr<event, EventDeleter> callerGone_;
    // All attempts so far; only the last one is running.
    std::vector<std::unique_ptr<Attempt>> attempts_;
    std::vector<ServerBook::Record> tried_;
    // The server of the running attempt, or null.
    ServerBook::Record server_;
    std::optional<AttemptFailure> lastFailure_;
    // True once an attempt ended without proof that it was not run.
    bool mayHaveRun_ = false;
    bool isStreaming_ = false;
    bool isOver_ = false;
};

} // namespace cornelhead::detail
