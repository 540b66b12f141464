// The backend servers of this host, registered by their heartbeats.
#pragma once

#include <map>
#include <optional>
#include <string_view>
#include <vector>

#include "cornelhead/base/clock.h"
#include "cornelhead/base/error.h"
#include "cornelhead/membership/endpoint.h"

namespace cornelhead {

/// Parses the JSON body of an announcement.  Fails with `InvalidMessage`.
///
///     {"server": "b-1", "service": "bookings", "version": "v1", "address": "127.0.0.1:9000",
///      "slots": 10, "connections": 130, "state": "serving"}
Result<Endpoint> readAnnouncement(std::string_view json);
/// Parses the JSON body of a withdrawal, `{"server": "b-1"}`.  Fails with `InvalidMessage`.
Result<ServerId> readWithdrawal(std::string_view json);

/// Tracks the live backend servers of this host by their heartbeats.
class LocalServers
{
public:
    /// A server without a heartbeat for `heartbeatTimeout` counts as dead.
    LocalServers(Clock clock, Milliseconds heartbeatTimeout, NodeInfo node);

    /// Records a heartbeat; returns the endpoint to publish, or nothing if the endpoint is
    /// unchanged.
    std::optional<Endpoint> heartbeat(const Endpoint &announced);
    /// Removes a server; returns whether it was registered.
    bool withdraw(const ServerId &server);
    /// Removes the servers whose heartbeat timed out and returns their ids.
    std::vector<ServerId> removeTimedOut();
    std::size_t size() const { return servers_.size(); }

private:
    struct Entry
    {
        Endpoint endpoint;
        TimePoint lastHeartbeat;
    };

    Clock clock_;
    Milliseconds heartbeatTimeout_;
    NodeInfo node_;
    std::map<ServerId, Entry> servers_;
    // Increases with every published change.  Starts from the wall clock, so that it also increases
    // across restarts of the node.
    std::uint64_t sequence_;
};

} // namespace cornelhead
