// The relays that hold a slot, and the order in which a node prefers them.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "cornelhead/base/ids.h"
#include "cornelhead/membership/endpoint.h"

namespace cornelhead {

/// The relays as listed at one revision of the store.
struct RelayDirectory
{
    ModRevision storeRevision;
    /// Keyed by the slot's key at the platform.
    std::map<std::string, NodeInfo> relays;

    friend bool operator==(const RelayDirectory &, const RelayDirectory &) = default;
};

/// Returns the key of a slot of `dataCentre`.
std::string relaySlotKey(const DataCentreId &dataCentre, std::uint32_t slot);
std::size_t countRelays(const RelayDirectory &directory, const DataCentreId &dataCentre);
/// Returns whether `node`, one run of a node process, holds a slot.
bool isListed(const RelayDirectory &directory, const NodeId &node);

/// Orders all relays for `self`: those of its data centre first, then by rendezvous hashing.
std::vector<NodeInfo> rankRelays(const RelayDirectory &directory, const NodeInfo &self);

} // namespace cornelhead
