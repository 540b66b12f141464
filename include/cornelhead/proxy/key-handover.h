// The handover of idempotency keys between their home nodes: requests of other nodes, release
// requests of this node, and its retirement as a home.
#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "cornelhead/proxy/attempt.h"
#include "cornelhead/proxy/key-messages.h"
#include "cornelhead/proxy/worker-state.h"

namespace cornelhead::detail {

/// Returns whether a request is a message between nodes.
bool isNodeMessage(evhttp_request *request);
/// Handles and answers a message of another node; `request` is invalid afterwards.
void handleNodeMessage(WorkerState &worker, evhttp_request *request);

/// Sends one message to another node and waits for its response.
class NodeRequest
{
public:
    /// Receives the body of a response with status 200, or nothing on any failure.
    using Handler = std::function<void(std::optional<std::string>)>;

    NodeRequest(WorkerState &worker, const NodeInfo &to, Handler handler);
    void send(const char *path, const std::string &body);
    void cancel() { attempt_.cancel(); }

private:
    void onEnd(const AttemptOutcome &outcome);

    Handler handler_;
    Attempt attempt_;
};

/// Asks the former home of a key to release the key; a failure or timeout counts as `Refused`.
class ReleaseCall : public ActiveCall
{
public:
    ReleaseCall(WorkerState &worker, const NodeInfo &predecessor,
                std::function<void(Release)> onDone);
    void start(const ReleaseRequest &request, Milliseconds timeout);

private:
    void finish(Release release);

    WorkerState &worker_;
    std::function<void(Release)> onDone_;
    NodeRequest request_;
    Timer timeoutTimer_;
};

/// Retires this node as a home of idempotency keys: waits for its keyed calls, distributes its
/// finished keys to the successors, and notifies all successors once each has taken over.
///
/// Unless every successor takes over, the keys stay with this node, and the successors refuse them
/// as `home-young`.
class RetireCall : public ActiveCall
{
public:
    RetireCall(WorkerState &worker, std::function<void()> onDone);
    void start();

private:
    void checkIdle();
    void distributeKeys();
    void onTakeOverResponse(bool isAccepted);
    void sendRetiredNotices();
    void sendToSuccessors(const char *path,
                          const std::function<std::string(const NodeInfo &)> &bodyFor,
                          const std::function<void(bool)> &onResponse);
    void finish();

    WorkerState &worker_;
    std::function<void()> onDone_;
    std::vector<NodeInfo> successors_;
    std::vector<NodeId> members_;
    std::vector<std::unique_ptr<NodeRequest>> requests_;
    std::size_t pendingResponses_ = 0;
    bool hasRefusal_ = false;
    Timer pollTimer_;
    Timer deadlineTimer_;
};

} // namespace cornelhead::detail
