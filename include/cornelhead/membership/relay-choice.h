// Chooses the nodes of a data centre that follow the key-value service for the others.
//
// Load pattern: each change of the service would otherwise be a call of every node, so its calls
// would grow with the square of the fleet.  A relay feeds no more nodes than its link can send a
// long configuration to in a part of a second.
#pragma once

#include <map>
#include <optional>
#include <set>

#include "cornelhead/membership/host-entry.h"

namespace cornelhead {

/// Returns how many other nodes a node with a link of `linkMbps` can feed.
std::uint32_t maxFollowersForLink(double linkMbps);

/// Returns the node that feeds `self`, or nothing if `self` is to follow the service itself.
/// Nodes in `avoided` are passed over.  All nodes that know the same hosts choose alike.
std::optional<Address> chooseRelay(const Address &self,
                                   const std::map<Address, HostDirectory::Record> &hosts,
                                   const std::set<Address> &avoided);

} // namespace cornelhead
