// A simulated platform: the key-value service over HTTP, with fault injection on demand.
#pragma once

#include <memory>

#include "cornelhead/base/address.h"
#include "cornelhead/base/metrics.h"
#include "cornelhead/net/http.h"
#include "cornelhead/standin/key-value-store.h"

namespace cornelhead {

struct PlatformServerSettings
{
    StoreLimits limits;
    double readsPerSecond = 2000;
    double writesPerSecond = 400;
    std::uint64_t seed = 0;
};

/// Owns the store and its listeners.
///
///     PlatformServer server(loop, {}, metrics);
///     Result<void> listening = server.listen(address);
///     loop.run();
class PlatformServer
{
public:
    PlatformServer(EventLoop &loop, PlatformServerSettings settings, Metrics &metrics);
    ~PlatformServer();
    PlatformServer(const PlatformServer &) = delete;
    PlatformServer &operator=(const PlatformServer &) = delete;

    /// Serves calls, /control, /metrics and /status.
    Result<void> listen(const Address &address);
    /// Serves /control, /metrics and /status only; keeps serving during an outage.
    Result<void> listenControl(const Address &address);
    /// Stops accepting connections, answers waiting watches, and calls `done` once no call is in
    /// flight.
    void drain(std::function<void()> done);

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace cornelhead
