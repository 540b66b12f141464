// Links over gRPC streams, bridging gRPC's threads and the node's event loop.
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

/// Sends and receives frames.  All functions must be called on the event loop, where all handlers
/// run too.
///
/// gRPC's own threads only post received frames to the loop.
class GrpcNetwork
{
public:
    GrpcNetwork(EventLoop &loop, Metrics &metrics, NetworkHandlers handlers);
    /// Cancels all links and waits up to 2 s for gRPC to finish their streams.
    ~GrpcNetwork();
    GrpcNetwork(const GrpcNetwork &) = delete;
    GrpcNetwork &operator=(const GrpcNetwork &) = delete;

    /// Fails with `InvalidSetting` when `address` cannot be bound.
    Result<void> listen(const Address &address);
    NetworkPort port();

private:
    struct Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace cornelhead
