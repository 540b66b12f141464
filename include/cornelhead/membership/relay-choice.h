// Chooses the nodes of a data centre that watch the key-value service on behalf of the others.
//
// Load pattern: without relays every node fetches each change from the service, so the service's
// load grows with the square of the number of nodes.  A relay serves only as many nodes as its link
// can send a large configuration to in a fraction of a second.
#pragma once

#include <map>
#include <optional>
#include <set>

#include "cornelhead/membership/host-entry.h"

namespace cornelhead {

/// Returns the maximum number of followers for a node with a link of `linkMbps`.
std::uint32_t maxFollowersForLink(double linkMbps);

/// Returns the relay of `self`, or nothing if `self` has to watch the service itself.  Nodes in
/// `excluded` are not chosen.  The choice is deterministic: nodes with equal `hosts` agree on it. A
/// node that is not in `hosts` yet follows the first relay of its data centre.
std::optional<Address> chooseRelay(const Address &self, const DataCentreId &dataCentre,
                                   const std::map<Address, HostDirectory::Record> &hosts,
                                   const std::set<Address> &excluded);

} // namespace cornelhead
