// The backend servers of this host, as they announce themselves by heartbeat.
#pragma once

#include <map>
#include <optional>
#include <string_view>
#include <vector>

#include "cornelhead/base/clock.h"
#include "cornelhead/base/error.h"
#include "cornelhead/membership/endpoint.h"

namespace cornelhead {

/// Reads the JSON body of an announcement.  Fails with `InvalidMessage`.
///
///     {"server": "b-1", "service": "bookings", "version": "v1", "address": "127.0.0.1:9000",
///      "slots": 10, "connections": 130, "state": "serving"}
Result<Endpoint> readAnnouncement(std::string_view json);
/// Reads the JSON body of a withdrawal, `{"server": "b-1"}`.  Fails with `InvalidMessage`.
Result<ServerId> readWithdrawal(std::string_view json);

/// Remembers which servers of this host are alive.
class LocalServers
{
public:
    /// Servers silent for `heartbeatTimeout` are taken for dead.
    LocalServers(Clock clock, Milliseconds heartbeatTimeout, NodeInfo node);

    /// Takes one heartbeat; returns the endpoint to publish, or nothing when it is unchanged.
    std::optional<Endpoint> heartbeat(const Endpoint &announced);
    /// Removes a server; returns whether it was there.
    bool withdraw(const ServerId &server);
    /// Removes servers that fell silent and returns their ids.
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
    // Rises with every published change, also over restarts of the node, as it starts from the
    // wall clock.
    std::uint64_t sequence_;
};

} // namespace cornelhead
