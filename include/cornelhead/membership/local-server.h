// A node's view of the backend server on its own host.
#pragma once

#include <cstdint>
#include <optional>

#include "cornelhead/base/clock.h"
#include "cornelhead/membership/host-entry.h"
#include "cornelhead/membership/server-notice.h"

namespace cornelhead {

/// The content of a backend server's heartbeat.
struct ServerAnnouncement
{
    HostedServer server;
    DataCentreId dataCentre;
    /// Start time of this run in milliseconds since the Unix epoch, or 0 if the server does not
    /// report it.  A server may restart under the same id.
    std::int64_t startedAtMs = 0;
    /// Increases with each heartbeat of a run.
    std::uint64_t sequence = 0;
    /// Remaining time during which the server is slow after its start.
    Milliseconds remainingColdTime{};
};

/// A backend server's message that it leaves permanently.
struct ServerDeparture
{
    ServerId id;
    /// When it arrived, in milliseconds since the Unix epoch.  A run that started later is not
    /// meant.
    std::int64_t receivedAtMs = 0;
};

/// Tracks the current run of the host's server.  Heartbeats may arrive late or out of order, also
/// those of an earlier run.
class LocalServer
{
public:
    enum class UpdateResult {
        Changed,
        Unchanged,
        Stale, ///< Ignored: from an earlier run or another server, or not newer than the last.
    };

    UpdateResult apply(const ServerAnnouncement &announcement);
    /// Remembers the departure also of a server that is not known yet, as this process has just
    /// started: an older heartbeat may still arrive.
    UpdateResult apply(const ServerDeparture &departure);
    /// Applies what the known server reported in a response.  A server that leaves is draining for
    /// the rest of its run.
    UpdateResult apply(const ServerNotice &notice);
    /// Applies the limit that the server reported to another node, unless this run of the node has
    /// heard from the server itself.
    UpdateResult applyKnownLimit(CallRate limit);
    /// Sets the server from what an earlier run of this node published, as down until it passes a
    /// health check: it may have announced to the earlier run that it leaves, and a late heartbeat
    /// may say otherwise.  Returns false if a server is known already or this one has left.
    bool adopt(const HostedServer &published);
    /// Marks the server as down, as it refuses connections, until its next announcement or
    /// successful health check.  Returns whether this changed.
    bool markDown();
    /// Records that a server with this `id` passed a health check.  Returns whether the known
    /// server was down and is now up.
    bool markHealthy(const ServerId &id);
    /// Marks the server as down, as a server with another id answered in its place.
    void markReplaced();

    /// The server to publish to other nodes; nothing while no server is known or it is down.
    std::optional<HostedServer> published() const;
    /// The server, or null unless it may receive new calls.
    const HostedServer *usable() const;
    /// What the known run of the server last reported in a response.
    const ServerNotice &notice() const { return notice_; }
    /// Start of the known run, as in `HostedServer`.
    std::int64_t startedAtMs() const { return startedAtMs_; }
    bool isDown() const { return isDown_; }
    bool hasServer() const { return server_.has_value(); }
    /// Returns whether no server is known, or the known one has announced that it leaves for good.
    bool hasLeft() const { return !server_ || departed_ == server_->id; }

private:
    /// Returns whether a run of a server is the one that has left.
    bool isDeparted(const ServerId &id, std::int64_t startedAtMs) const
    {
        return departed_ == id && startedAtMs <= departedStartedAtMs_;
    }

    std::optional<HostedServer> server_;
    std::int64_t startedAtMs_ = 0;
    std::uint64_t sequence_ = 0;
    // Of the current run.
    ServerNotice notice_;
    // The server has reported `notice_` to this node.
    bool hasHeardNotice_ = false;
    bool isDown_ = false;
    // The server was adopted and has not passed a health check since.
    bool isUnconfirmed_ = false;
    // The last server that left.  Its late heartbeats are ignored.
    std::optional<ServerId> departed_;
    // Its start, or an upper bound if it was not known.
    std::int64_t departedStartedAtMs_ = 0;
};

} // namespace cornelhead
