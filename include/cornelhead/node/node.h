// One node: runs distribution, proxy, rollout and the admin server on one control loop.
#pragma once

#include <functional>
#include <memory>

#include "cornelhead/base/metrics.h"
#include "cornelhead/net/event-loop.h"
#include "cornelhead/node/node-settings.h"

namespace cornelhead {

/// The node process of one host.
///
///     EventLoop loop;
///     Node node(loop, settings);
///     Result<void> started = node.start();
///     loop.run();
class Node
{
public:
    Node(EventLoop &loop, const NodeSettings &settings);
    ~Node();
    Node(const Node &) = delete;
    Node &operator=(const Node &) = delete;

    /// Listens on all addresses.  Fails with `InvalidSetting` if an address is in use.
    Result<void> start();
    /// Stops without aborting calls in flight, then calls `done`; calls it at the latest when the
    /// drain timeout expires.
    void drain(const std::function<void()> &done);

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace cornelhead
