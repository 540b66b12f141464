// A node that stands on both sides of each call, beside one backend server.
#pragma once

#include <functional>
#include <memory>

#include "cornelhead/net/event-loop.h"
#include "cornelhead/sidecar/dialect.h"
#include "cornelhead/sidecar/sidecar-settings.h"

namespace cornelhead {

/// Joins the entry side, the serving side and the view of the fleet in one process and one task.
class Sidecar
{
public:
    Sidecar(EventLoop &loop, SidecarSettings settings, Dialect dialect);
    ~Sidecar();
    Sidecar(const Sidecar &) = delete;
    Sidecar &operator=(const Sidecar &) = delete;

    /// Fails with `InvalidSetting` when an address cannot be used.
    Result<void> start();
    /// Stops gracefully: is no longer ready, takes no call of other nodes, serves its own callers
    /// until they have gone, and then runs `done`.
    void stop(std::function<void()> done);
    /// Notes that the settings may have changed.
    void reload();

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace cornelhead
