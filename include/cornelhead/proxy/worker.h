// One worker of the proxy: a thread with its event loop, its listener and its calls.
#pragma once

#include <functional>
#include <memory>
#include <thread>

#include "cornelhead/proxy/dispatcher.h"
#include "cornelhead/proxy/listener.h"
#include "cornelhead/proxy/worker-state.h"

namespace cornelhead::detail {

/// Serves callers on its own thread between `start` and destruction.
class Worker
{
public:
    Worker(NodeState &node, std::uint64_t seed);
    ~Worker();
    Worker(const Worker &) = delete;
    Worker &operator=(const Worker &) = delete;

    /// Listens.  Fails with `InvalidSetting` when the address is taken.
    Result<void> listen(const Address &address, bool isShared)
    {
        return listener_.listen(address, isShared);
    }
    void start();

    // Safe from any thread.
    void setView(std::shared_ptr<const RoutingView> view);
    OutcomeBatch takeOutcomes() { return state_.outcomes.take(); }
    /// Stops accepting, waits for the calls, and runs `done` on the worker's thread.
    void drain(std::function<void()> done);

private:
    void applyView(std::shared_ptr<const RoutingView> view);
    void onTick();
    void startDrain(std::function<void()> done);
    void checkDrained();

    // Declared before what runs on its loop.
    WorkerState state_;
    Dispatcher dispatcher_;
    Listener listener_;
    Timer tick_;
    Timer drainTimer_;
    std::function<void()> drained_;
    TimePoint drainStarted_{};
    std::thread thread_;
};

} // namespace cornelhead::detail
