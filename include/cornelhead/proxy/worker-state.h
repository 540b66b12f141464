// The state of a worker that its calls share; used only on the worker's thread unless stated
// otherwise.
#pragma once

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "cornelhead/base/random.h"
#include "cornelhead/net/event-loop.h"
#include "cornelhead/proxy/counters.h"
#include "cornelhead/proxy/outcome-recorder.h"
#include "cornelhead/proxy/proxy.h"
#include "cornelhead/proxy/response.h"
#include "cornelhead/proxy/upstream-pool.h"
#include "cornelhead/routing/call-queue.h"
#include "cornelhead/routing/home-keys.h"
#include "cornelhead/routing/limits.h"
#include "cornelhead/routing/poison-tracker.h"
#include "cornelhead/routing/retry.h"
#include "cornelhead/routing/server-pool.h"

namespace cornelhead::detail {

class Call;

/// A call that a worker is processing.
class ActiveCall
{
public:
    ActiveCall() = default;
    virtual ~ActiveCall() = default;
    ActiveCall(const ActiveCall &) = delete;
    ActiveCall &operator=(const ActiveCall &) = delete;
};

/// The poison tracker of the node, shared by all workers.
class SharedPoisonTracker
{
public:
    /// Takes no lock, so that it is cheap enough for every call.
    bool hasSuspects() const { return hasSuspects_.load(std::memory_order_relaxed); }
    bool recordDeath(const SuspectedDeath &death, TimePoint time);
    /// Returns whether the request was suspected.
    bool recordResponse(Fingerprint request, TimePoint time);
    bool isRefused(Fingerprint request, TimePoint time);
    void expire(TimePoint time);
    /// Records a death that another node reported.
    void addRemoteDeath(const SuspectedDeath &death, TimePoint time);
    /// Records a response that another node reported.
    void addRemoteResponse(Fingerprint request, TimePoint time);

private:
    std::atomic<bool> hasSuspects_ = false;
    std::mutex mutex_;
    // Guarded by mutex_.
    PoisonTracker tracker_;
};

/// The state that all workers of a node share.
struct NodeState
{
    NodeState(ProxySettings proxySettings, Metrics &metrics);

    const ProxySettings settings;
    ProxyCounters counters;
    const RefusalBodies refusalBodies;

    std::mutex limitsMutex;
    // Guarded by limitsMutex.
    CustomerLimits limits;

    SharedPoisonTracker poison;

    std::mutex keysMutex;
    // Guarded by keysMutex.
    HomeKeys keys;
};

/// A permit of a customer's concurrency limit, released on destruction.
class LimitPermit
{
public:
    LimitPermit() = default;
    LimitPermit(NodeState &node, CustomerId customer) : node_(&node), customer_(std::move(customer))
    { }
    ~LimitPermit() { release(); }
    LimitPermit(LimitPermit &&other) noexcept
        : node_(std::exchange(other.node_, nullptr)), customer_(std::move(other.customer_))
    { }
    LimitPermit &operator=(LimitPermit &&other) noexcept;

    void release();

private:
    NodeState *node_ = nullptr;
    CustomerId customer_;
};

/// Returns the current time on both clocks.
Moment currentMoment();

/// The state of one worker.
struct WorkerState
{
    WorkerState(NodeState &nodeState, std::uint64_t seed);
    ~WorkerState();

    /// Takes ownership of `call` and returns a reference to it.
    template <typename T>
    T &startCall(std::unique_ptr<T> call)
    {
        T &started = *call;
        calls.emplace(&started, std::move(call));
        return started;
    }
    /// Queues a call until a server of `service` is free.
    void enqueue(const ServiceId &service, const CallQueue<Call *>::QueuedCall &waiting);
    void removeFromQueue(const ServiceId &service, Call *call);
    /// Starts queued calls of `service` in a later iteration of the event loop, as the caller may
    /// be inside of another call.
    void scheduleQueued(const ServiceId &service);
    void scheduleAllQueued();
    /// Moves `call` to the ended calls, which live until `destroyEndedCalls`.
    void endCall(ActiveCall *call);
    /// Must not be called from inside a call.
    void destroyEndedCalls();
    AfterResponse afterResponse() const
    {
        return isDraining ? AfterResponse::Close : AfterResponse::KeepAlive;
    }

    NodeState &node;
    EventLoop loop;
    UpstreamPool pool;
    ServerPool servers;
    RetryBudget retries;
    OutcomeRecorder outcomes;
    Random random;
    bool isDraining = false;
    // Invariant: a queued call is also in `calls`.
    std::map<ServiceId, CallQueue<Call *>> queues;
    std::set<ServiceId> servicesToStart;
    // Invariant: a call is in exactly one of `calls` and `endedCalls`.  evhttp may use the
    // connections of an ended call until its callback returns.
    std::unordered_map<ActiveCall *, std::unique_ptr<ActiveCall>> calls;
    std::vector<std::unique_ptr<ActiveCall>> endedCalls;

private:
    void startQueued();
    void startQueued(CallQueue<Call *> &queue);
};

} // namespace cornelhead::detail
