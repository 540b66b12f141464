// Types that describe backend servers and nodes.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <vector>

#include "cornelhead/base/address.h"
#include "cornelhead/base/ids.h"

namespace cornelhead {

enum class ServerState {
    Starting, ///< Announced, but cold; receives a reduced share of calls.
    Serving,
    Draining, ///< Finishes its calls and receives no new ones.
};

/// One run (process lifetime) of a backend server, as announced to the node on its host.
struct Endpoint
{
    ServerId id;
    ServiceId service;
    VersionId version;
    DataCentreId dataCentre;
    Address address;
    /// Maximum number of concurrent calls.
    std::uint32_t slots = 1;
    /// Maximum number of connections from all nodes together.
    std::uint32_t connections = 1;
    ServerState state = ServerState::Starting;
    /// Increases with each change in this run; an announcement with a lower sequence is stale.
    std::uint64_t sequence = 0;
    /// The node on its host.
    NodeId node;

    friend bool operator==(const Endpoint &, const Endpoint &) = default;
};

/// One run (process lifetime) of a node.
struct NodeInfo
{
    NodeId id;
    DataCentreId dataCentre;
    /// Listens for HTTP calls of callers.
    Address proxy;
    /// Listens for the inner protocol.
    Address inner;
    /// Start time in milliseconds since the Unix epoch; shows whether a node started after an
    /// idempotency key was created.
    std::int64_t startedAtMs = 0;

    friend bool operator==(const NodeInfo &, const NodeInfo &) = default;
};

/// A point-in-time view of all backend servers and nodes; immutable once shared.
struct EndpointTable
{
    std::map<ServiceId, std::vector<Endpoint>> servers;
    std::map<NodeId, NodeInfo> nodes;
    /// Data centres that cannot be reached from here; their servers are kept, but others are
    /// preferred.
    std::set<DataCentreId> unreachable;
};

} // namespace cornelhead
