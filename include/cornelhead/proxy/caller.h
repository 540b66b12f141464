// The caller's side of a call: one request that gets exactly one response.
#pragma once

#include <functional>

#include "cornelhead/proxy/worker-state.h"
#include "cornelhead/routing/key-table.h"

struct evbuffer;

namespace cornelhead::detail {

/// Responds to one request of a caller, which may be another node.
///
/// Invariant: a request gets one response; no function that responds may be called after that.
class Caller
{
public:
    Caller(WorkerState &worker, evhttp_request *request);
    ~Caller();
    Caller(const Caller &) = delete;
    Caller &operator=(const Caller &) = delete;

    /// Returns the request, or null once it was answered.
    evhttp_request *request() const { return request_; }
    bool isAnswered() const { return !request_; }
    bool isStreaming() const { return isStreaming_; }
    /// Polls the socket for whether the caller has closed its connection.
    bool hasDisconnected() const;
    /// Runs `onDisconnect` once if the caller closes its connection before the response.
    void watchDisconnect(std::function<void()> onDisconnect);

    /// Releases the ownership of the unanswered request.
    evhttp_request *releaseRequest() { return detachRequest(); }

    void refuse(const Refusal &refusal);
    /// Forwards a complete response and moves its body.
    void respond(evhttp_request *response);
    void respond(const StoredResponse &response);

    /// Forwards the head of a response whose body comes in chunks.  `onDrained` runs whenever the
    /// output buffer was written in full.
    void startStream(evhttp_request *response, std::function<void()> onDrained);
    /// Forwards a part of the body.  Returns true when too much is unsent, so that the sender
    /// should pause until `onDrained`.
    bool sendChunk(evbuffer *chunk);
    void endStream();
    /// Closes the connection, so that the caller sees that the response is incomplete.
    void abortStream();

private:
    evhttp_request *detachRequest();
    void handleDisconnect();

    WorkerState &worker_;
    evhttp_request *request_;
    std::function<void()> onDisconnect_;
    std::function<void()> onDrained_;
    std::unique_ptr<event, EventDeleter> closeEvent_;
    bool isStreaming_ = false;
};

} // namespace cornelhead::detail
