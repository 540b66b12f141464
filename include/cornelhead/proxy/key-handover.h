// The handing over of keys between homes: the questions of other nodes, this node's own, and its
// retirement.
#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "cornelhead/proxy/attempt.h"
#include "cornelhead/proxy/key-messages.h"
#include "cornelhead/proxy/worker-state.h"

namespace cornelhead::detail {

/// Tells whether a request is a message between nodes.
bool isNodeMessage(evhttp_request *request);
/// Answers a message of another node; `request` is invalid afterwards.
void handleNodeMessage(WorkerState &worker, evhttp_request *request);

/// Sends one message to another node and waits for its answer.
class NodeRequest
{
public:
    /// Takes the body of an answer of status 200, or nothing.
    using Handler = std::function<void(std::optional<std::string>)>;

    NodeRequest(WorkerState &worker, const NodeInfo &to, Handler handler);
    void send(const char *path, const std::string &body);
    void cancel() { attempt_.cancel(); }

private:
    void onEnd(const AttemptOutcome &end);

    Handler handler_;
    Attempt attempt_;
};

/// Asks the former home of a key for its release and ends; no answer in time counts as refused.
class ReleaseCall : public ActiveCall
{
public:
    ReleaseCall(WorkerState &worker, const NodeInfo &former, std::function<void(Release)> done);
    void start(const ReleaseRequest &question, Milliseconds allowed);

private:
    void finish(Release release);

    WorkerState &worker_;
    std::function<void(Release)> done_;
    NodeRequest request_;
    Timer timeout_;
};

/// Ends this node's time as a home: waits for its keyed calls, shares out what it remembers, and
/// tells all successors once each has taken over.
///
/// Without the word of every successor the keys stay with this node, and others refuse them as
/// `home-young`.
class RetireCall : public ActiveCall
{
public:
    RetireCall(WorkerState &worker, std::function<void()> done);
    void start();

private:
    void checkIdle();
    void distributeKeys();
    void onTakeOverResponse(bool isTaken);
    void confirm();
    void sendToSuccessors(const char *path,
                          const std::function<std::string(const NodeInfo &)> &bodyFor,
                          const std::function<void(bool)> &onAnswer);
    void finish();

    WorkerState &worker_;
    std::function<void()> done_;
    std::vector<NodeInfo> successors_;
    std::vector<NodeId> members_;
    std::vector<std::unique_ptr<NodeRequest>> requests_;
    std::size_t pendingResponses_ = 0;
    bool hasRefusal_ = false;
    Timer poll_;
    Timer deadline_;
};

} // namespace cornelhead::detail
