// Backend servers and nodes as the fleet knows them.
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
    Starting, ///< Announced, but cold; takes a small share.
    Serving,
    Draining, ///< Finishes its calls and gets no new ones.
};

/// One run of a backend server, as it announced itself to the node on its host.
struct Endpoint
{
    ServerId id;
    ServiceId service;
    VersionId version;
    DataCentreId dataCentre;
    Address address;
    /// Calls it runs at once.
    std::uint32_t slots = 1;
    /// Connections it accepts from all nodes together.
    std::uint32_t connections = 1;
    ServerState state = ServerState::Starting;
    /// Rises with each change of this run; a lower one is stale.
    std::uint64_t sequence = 0;
    /// The node on its host.
    NodeId node;

    friend bool operator==(const Endpoint &, const Endpoint &) = default;
};

/// One run of a node.
struct NodeInfo
{
    NodeId id;
    DataCentreId dataCentre;
    /// Takes callers' HTTP.
    Address proxy;
    /// Takes the inner protocol.
    Address inner;
    /// Wall-clock start, for telling a node younger than a key.
    std::int64_t startedAtMs = 0;

    friend bool operator==(const NodeInfo &, const NodeInfo &) = default;
};

/// All backend servers and nodes known at one moment; immutable once shared.
struct EndpointTable
{
    std::map<ServiceId, std::vector<Endpoint>> servers;
    std::map<NodeId, NodeInfo> nodes;
    /// Data centres that cannot be reached from here; their servers are kept, but others go first.
    std::set<DataCentreId> unreachable;
};

} // namespace cornelhead
