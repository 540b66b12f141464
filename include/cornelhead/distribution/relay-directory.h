// The relays that hold a slot, ordered by the platform's store revision, and whom a node prefers.
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
    /// By the key of the slot.
    std::map<std::string, NodeInfo> relays;

    friend bool operator==(const RelayDirectory &, const RelayDirectory &) = default;
};

/// Returns the key of a slot of `dataCentre`.
std::string relaySlotKey(const DataCentreId &dataCentre, std::uint32_t slot);
/// Counts the relays of `dataCentre`.
std::size_t countRelays(const RelayDirectory &directory, const DataCentreId &dataCentre);
/// Tells whether the run `node` holds a slot.
bool isListed(const RelayDirectory &directory, const NodeId &node);

/// Orders all relays for `self`: those of its data centre first, then by rendezvous hashing.
std::vector<NodeInfo> rankRelays(const RelayDirectory &directory, const NodeInfo &self);

} // namespace cornelhead
