// The HTTP proxy of a node: worker threads that accept calls, route them, and forward them to
// backend servers or other nodes.
#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "cornelhead/base/address.h"
#include "cornelhead/base/clock.h"
#include "cornelhead/base/metrics.h"
#include "cornelhead/membership/endpoint.h"
#include "cornelhead/rollout/outcome.h"
#include "cornelhead/routing/key-ownership.h"
#include "cornelhead/routing/view.h"

namespace cornelhead {

struct ProxySettings
{
    NodeInfo self;
    Address listen;
    std::uint32_t workers = 1;
    std::uint64_t seed = 0;
    /// All data centres of the fleet; others are added when first seen.  They determine the homes
    /// of idempotency keys, so all nodes should have the same list.
    std::vector<DataCentreId> dataCentres;
    /// When this node may act as the home of a key; `keyRetention` replaces its `retention`.
    OwnershipLimits ownership;
    /// How long an idempotency key is stored after its call has ended.
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
    /// Replaces the view from which the workers route calls.
    void setView(const std::shared_ptr<const RoutingView> &view);
    /// Confirms that membership changes still reach this node; to be called several times a second
    /// while they do.  A node whose last confirmation is over 3 s old runs no keyed calls, as other
    /// nodes may have become the homes of its keys; this begins with the first confirmation.
    void confirmMembership();
    /// Returns and clears the outcomes of attempts since the last call.
    OutcomeBatch takeOutcomes();
    /// Retires this node as a home of idempotency keys: hands over its stored keys to the other
    /// nodes of its data centre, then calls `onDone` from a worker thread.  Other calls continue.
    void retireKeys(const std::function<void()> &onDone);
    /// Stops accepting, waits for open calls, then calls `onDone` from a worker thread.
    void drain(const std::function<void()> &onDone);

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace cornelhead
