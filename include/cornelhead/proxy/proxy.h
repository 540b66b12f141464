// The caller's proxy: worker tasks that accept HTTP calls, decide, and forward them.
#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "cornelhead/base/address.h"
#include "cornelhead/base/clock.h"
#include "cornelhead/base/metrics.h"
#include "cornelhead/membership/endpoint.h"
#include "cornelhead/rollout/outcome.h"
#include "cornelhead/routing/poison.h"
#include "cornelhead/routing/view.h"

namespace cornelhead {

struct ProxySettings
{
    NodeInfo self;
    Address listen;
    std::uint32_t workers = 1;
    std::uint64_t seed = 0;
    /// All data centres of the fleet; those seen later are added.  They fix where keys live, so
    /// all nodes should be told the same ones.
    std::vector<DataCentreId> dataCentres;
    /// How long an idempotency key is remembered after its call has ended.
    Milliseconds keyRetention = Milliseconds(300'000);
};

/// Owns the worker threads.  All functions are safe to call from any thread.
class Proxy
{
public:
    Proxy(ProxySettings settings, Metrics &metrics);
    ~Proxy();
    Proxy(const Proxy &) = delete;
    Proxy &operator=(const Proxy &) = delete;

    /// Listens and starts the workers.  Calls are refused as `not-run` until the first view.
    Result<void> start();
    /// Replaces what every worker decides from.
    void setView(const std::shared_ptr<const RoutingView> &view);
    /// Notes that changes of the fleet still reach this node; to be called several times a second
    /// while they do.  A node that was confirmed once and then is not for 3 s runs no keyed calls,
    /// as others may have become the homes of its keys.
    void confirmMembership();
    /// Takes the outcomes of finished calls since the last take.
    OutcomeBatch takeOutcomes();
    /// Takes the deaths of servers under a request that this node saw since the last take, to be
    /// told to the other nodes of the data centre.
    std::vector<SuspectedDeath> takeSuspectedDeaths();
    /// Notes deaths that other nodes of the data centre saw.
    void addSuspectedDeaths(const std::vector<SuspectedDeath> &deaths);
    /// Stops accepting, lets calls end, then calls `done` from a worker thread.
    void drain(const std::function<void()> &done);

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace cornelhead
