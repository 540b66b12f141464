// A worker of the proxy: a thread with its event loop, listener and calls.
#pragma once

#include <functional>
#include <memory>
#include <thread>

#include "cornelhead/proxy/dispatcher.h"
#include "cornelhead/proxy/listener.h"
#include "cornelhead/proxy/worker-state.h"

namespace cornelhead::detail {

/// Serves callers on its own thread from `start` until destruction.
class Worker
{
public:
    Worker(NodeState &node, std::uint64_t seed);
    ~Worker();
    Worker(const Worker &) = delete;
    Worker &operator=(const Worker &) = delete;

    /// Fails with `InvalidSetting` when the address cannot be bound.
    Result<void> listen(const Address &address, bool isShared)
    {
        return listener_.listen(address, isShared);
    }
    void start();

    // The following functions are safe to call from any thread.
    void setView(std::shared_ptr<const RoutingView> view);
    OutcomeBatch takeOutcomes() { return state_.outcomes.take(); }
    /// Hands over this node's keys, then runs `onDone` on the worker's thread.
    void retireKeys(std::function<void()> onDone);
    /// Stops accepting, waits for open calls, then runs `onDone` on the worker's thread.
    void drain(std::function<void()> onDone);

private:
    void applyView(std::shared_ptr<const RoutingView> view);
    void onTick();
    void startDrain(std::function<void()> onDone);
    void checkDrained();

    // Declared first, as the other members use its event loop.
    WorkerState state_;
    Dispatcher dispatcher_;
    Listener listener_;
    Timer tick_;
    Timer drainTimer_;
    std::function<void()> onDrained_;
    TimePoint drainStartedAt_{};
    std::thread thread_;
};

} // namespace cornelhead::detail
