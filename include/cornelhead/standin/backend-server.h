// Serves the stand-in of a backend server: runs calls in slots, announces itself to the node on its
// host, and shows faults on demand.
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
    /// Connections it accepts from all callers together.
    std::uint32_t connections = 130;
    /// Takes announcements; none runs the server without a node.
    std::optional<Address> nodeAdmin;
    /// Takes nested calls.
    std::optional<Address> nodeProxy;
    /// Takes records of runs.
    std::optional<Address> ledger;
    /// How old the health and load are that the server shows.
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

    /// Serves calls, /health, /metrics and /control, and starts to announce.
    Result<void> listen(const Address &address);
    /// Announces the drain, ends all calls, withdraws, then calls `done`.
    void drain(std::function<void()> done);
    /// Called in place of ending the process when a poisoned call runs; for tests.
    void onPoison(std::function<void()> handler);

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace cornelhead
