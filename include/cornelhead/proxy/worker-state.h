// What the calls of one worker share; touched by the worker's thread only, unless said otherwise.
#pragma once

#include <memory>
#include <mutex>
#include <unordered_map>
#include <vector>

#include "cornelhead/base/random.h"
#include "cornelhead/net/event-loop.h"
#include "cornelhead/proxy/answer.h"
#include "cornelhead/proxy/counters.h"
#include "cornelhead/proxy/outcome-recorder.h"
#include "cornelhead/proxy/proxy.h"
#include "cornelhead/proxy/upstream-pool.h"
#include "cornelhead/routing/limits.h"
#include "cornelhead/routing/retry.h"
#include "cornelhead/routing/server-choice.h"

namespace cornelhead::detail {

class Call;

/// What all workers of a node share.
struct NodeState
{
    NodeState(ProxySettings from, Metrics &metrics) : settings(std::move(from)), counters(metrics)
    { }

    const ProxySettings settings;
    ProxyCounters counters;
    const RefusalBodies refusalBodies;

    std::mutex limitsMutex;
    // Guarded by limitsMutex.
    CustomerLimits limits;
};

/// What one worker owns.
struct WorkerState
{
    WorkerState(NodeState &shared, std::uint64_t seed);
    ~WorkerState();

    /// Keeps `call` until `dropEnded`.
    void endCall(Call *call);
    /// Drops calls that have ended; never called from inside a call.
    void dropEnded();
    AfterAnswer afterAnswer() const
    {
        return isDraining ? AfterAnswer::Close : AfterAnswer::KeepOpen;
    }

    NodeState &node;
    EventLoop loop;
    UpstreamPool pool;
    ServerBook servers;
    RetryBudget retries;
    OutcomeRecorder outcomes;
    Random random;
    bool isDraining = false;
    // Invariant: a call is in exactly one of the two; evhttp may still use the connections of an
    // ended one until its callback returns.
    std::unordered_map<Call *, std::unique_ptr<Call>> calls;
    std::vector<std::unique_ptr<Call>> ended;
};

} // namespace cornelhead::detail
