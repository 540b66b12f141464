// One node: joins distribution, proxy, rollout and the admin listener on one control loop.
#pragma once

#include <functional>
#include <memory>

#include "cornelhead/base/metrics.h"
#include "cornelhead/net/event-loop.h"
#include "cornelhead/node/node-settings.h"

namespace cornelhead {

/// Runs everything of one host.
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

    /// Listens on all addresses.  Fails with `InvalidSetting` when one is taken.
    Result<void> start();
    /// Stops without cutting a call, then calls `done`.
    void drain(const std::function<void()> &done);

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace cornelhead
