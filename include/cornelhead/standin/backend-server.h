// A simulated backend server over HTTP: runs calls in slots, announces itself to the node on its
// host, and injects faults on demand.
#pragma once

#include <memory>
#include <optional>
#include <string>

#include "cornelhead/base/address.h"
#include "cornelhead/base/ids.h"
#include "cornelhead/base/metrics.h"
#include "cornelhead/net/http.h"
#include "cornelhead/standin/backend-behaviour.h"

namespace cornelhead {

struct BackendServerSettings
{
    BackendSettings behaviour;
    ServiceId service;
    VersionId version;
    ServerId server;
    /// Calls are shed while more connections than this are open.
    std::uint32_t maxConnections = 130;
    /// The node that receives announcements; without a value none are sent.
    std::optional<Address> nodeAdmin;
    /// The proxy that receives nested calls.
    std::optional<Address> nodeProxy;
    /// The UDP address that receives the records of runs.
    std::optional<Address> ledger;
    /// Age of the health and load that /health reports.
    Milliseconds healthLag{};
    std::uint64_t seed = 0;
};

/// Runs one backend server on a loop.
///
///     BackendServer server(loop, settings, metrics);
///     Result<void> listening = server.listen(address);
///     loop.run();
class BackendServer
{
public:
    BackendServer(EventLoop &loop, BackendServerSettings settings, Metrics &metrics);
    ~BackendServer();
    BackendServer(const BackendServer &) = delete;
    BackendServer &operator=(const BackendServer &) = delete;

    /// Serves calls, /health, /metrics and /control, and starts the announcements.
    Result<void> listen(const Address &address);
    /// Announces the drain, waits for all calls, withdraws the announcement, then calls `done`.
    void drain(std::function<void()> done);
    /// Replaces the exit of the process when a poisoned call runs; for tests.
    void onPoison(std::function<void()> handler);

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace cornelhead
