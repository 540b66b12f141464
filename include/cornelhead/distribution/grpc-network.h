// Links over gRPC streams: the edge between the network's threads and the node's loop.
#pragma once

#include <functional>
#include <memory>

#include "cornelhead/base/error.h"
#include "cornelhead/base/metrics.h"
#include "cornelhead/distribution/ports.h"
#include "cornelhead/net/event-loop.h"

namespace cornelhead {

struct NetworkHandlers
{
    std::function<void(LinkId, const inner::Frame &)> onFrame;
    std::function<void(LinkId)> onClosed;
};

/// Carries frames; all handlers run on the loop, and all functions belong to it.
///
/// gRPC's own threads only queue frames and post them to the loop.
class GrpcNetwork
{
public:
    GrpcNetwork(EventLoop &loop, Metrics &metrics, NetworkHandlers handlers);
    /// Cancels all links and waits until gRPC's threads have let go.
    ~GrpcNetwork();
    GrpcNetwork(const GrpcNetwork &) = delete;
    GrpcNetwork &operator=(const GrpcNetwork &) = delete;

    /// Fails with `InvalidSetting` when the address is taken.
    Result<void> listen(const Address &address);
    NetworkPort port();

private:
    struct Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace cornelhead
