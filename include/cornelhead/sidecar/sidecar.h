// The node beside one backend server: the proxy for calls from its host and for calls to it.
#pragma once

#include <functional>
#include <memory>

#include "cornelhead/net/event-loop.h"
#include "cornelhead/sidecar/dialect.h"
#include "cornelhead/sidecar/sidecar-settings.h"

namespace cornelhead {

/// Runs the outbound proxy, the inbound proxy and the view of the fleet on one event loop.
class Sidecar
{
public:
    Sidecar(EventLoop &loop, SidecarSettings settings, Dialect dialect);
    ~Sidecar();
    Sidecar(const Sidecar &) = delete;
    Sidecar &operator=(const Sidecar &) = delete;

    /// Fails with `InvalidSetting` when an address cannot be used.
    Result<void> start();
    /// Stops gracefully and then runs `done`: reports not ready, stops taking calls of other nodes,
    /// and serves local callers until they have left or the stop timeout ends.
    void stop(std::function<void()> done);
    /// Logs a request to reload; settings are flags and do not change.
    void reload();

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace cornelhead
