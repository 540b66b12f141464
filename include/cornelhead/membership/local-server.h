// What a node knows of the one backend server on its own host.
#pragma once

#include <cstdint>
#include <optional>

#include "cornelhead/base/clock.h"
#include "cornelhead/membership/host-entry.h"

namespace cornelhead {

/// What a backend server says of itself in a heartbeat.
struct ServerAnnouncement
{
    HostedServer server;
    DataCentreId dataCentre;
    /// When this run of the server started, in milliseconds since the Unix epoch.  A server may
    /// start again under its former id.
    std::int64_t startedAtMs = 0;
    /// Rises with each heartbeat of a run.
    std::uint64_t sequence = 0;
    /// How much longer the server is slow after its start.
    Milliseconds remainingColdTime{};
};

/// A backend server says that it is leaving for good.
struct ServerDeparture
{
    ServerId id;
};

/// Follows the runs of the host's server.  Heartbeats may arrive late, also those of a former run.
class LocalServer
{
public:
    enum class UpdateResult {
        Changed,
        Unchanged,
        Stale, ///< From an older run, or overtaken by a later heartbeat.
    };

    UpdateResult apply(const ServerAnnouncement &announcement);
    UpdateResult apply(const ServerDeparture &departure);
    /// Takes what an earlier run of this node published, until the server says something itself.
    /// Returns whether it was taken.
    bool adopt(const HostedServer &published);
    /// The server refuses connections; nothing goes to it until it announces itself or answers.
    bool markDown();
    /// The server answered a health check as `id`.  Returns whether it may apply calls again.
    bool markHealthy(const ServerId &id);
    /// Another server than the known one answered.
    void markReplaced();

    /// The server as others should know it; nothing while none is known or it is down.
    std::optional<HostedServer> published() const;
    /// The server, if it may be given new calls.
    const HostedServer *usable() const;
    bool isDown() const { return isDown_; }
    bool hasServer() const { return server_.has_value(); }

private:
    std::optional<HostedServer> server_;
    std::int64_t startedAtMs_ = 0;
    std::uint64_t sequence_ = 0;
    bool isDown_ = false;
    // The last server that departed, whose late heartbeats must not bring it back.
    std::optional<ServerId> departed_;
    std::int64_t departedStartedAtMs_ = 0;
};

} // namespace cornelhead
