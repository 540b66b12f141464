// The caller's side of a call: one request that gets exactly one answer.
#pragma once

#include <functional>

#include "cornelhead/proxy/worker-state.h"
#include "cornelhead/routing/key-memory.h"

struct evbuffer;

namespace cornelhead::detail {

/// Answers one request of a caller, who may be another node.
///
/// Invariant: the request is answered once; after that the functions that answer may not be called.
class Caller
{
public:
    Caller(WorkerState &worker, evhttp_request *request);
    ~Caller();
    Caller(const Caller &) = delete;
    Caller &operator=(const Caller &) = delete;

    /// The request, or null once it is answered.
    evhttp_request *request() const { return request_; }
    bool isAnswered() const { return !request_; }
    bool isStreaming() const { return isStreaming_; }
    /// Asks the socket whether the caller has closed its connection.
    bool hasDisconnected() const;
    /// Runs `onDisconnect` once if the caller closes its connection before the answer.
    void watch(std::function<void()> onDisconnect);

    /// Gives the unanswered request to another call.
    evhttp_request *releaseRequest() { return take(); }

    void refuse(const Refusal &refusal);
    /// Passes on a whole answer and moves its body.
    void answer(evhttp_request *answer);
    void answer(const RememberedAnswer &answer);

    /// Begins to pass on an answer whose body comes in chunks.  `onDrained` runs whenever all
    /// that was sent has left.
    void startStream(evhttp_request *answer, std::function<void()> onDrained);
    /// Passes on a part of the body; returns whether the caller reads too slowly to go on.
    bool sendChunk(evbuffer *chunk);
    void endStream();
    /// Ends a half-passed answer so that the caller sees that it was cut.
    void abortStream();

private:
    evhttp_request *take();
    void handleDisconnect();

    WorkerState &worker_;
    evhttp_request *request_;
    std::function<void()> onDisconnect_;
    std::function<void()> onDrained_;
    std::unique_ptr<event, EventDeleter> closeEvent_;
    bool isStreaming_ = false;
};

} // namespace cornelhead::detail
