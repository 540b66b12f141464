// Ranks relays by rendezvous hashing.
#include "cornelhead/distribution/relay-directory.h"

#include <algorithm>
#include <tuple>

#include "cornelhead/base/digest.h"
#include "cornelhead/config/manifest.h"

namespace cornelhead {

std::string relaySlotKey(const DataCentreId &dataCentre, std::uint32_t slot)
{
    return relayPrefix + dataCentre.value() + "/" + std::to_string(slot);
}

std::size_t countRelays(const RelayDirectory &directory, const DataCentreId &dataCentre)
{
    return static_cast<std::size_t>(
            std::count_if(directory.relays.begin(), directory.relays.end(), [&](const auto &entry) {
                return entry.second.dataCentre == dataCentre;
            }));
}

bool isListed(const RelayDirectory &directory, const NodeId &node)
{
    return std::any_of(directory.relays.begin(), directory.relays.end(),
                       [&](const auto &entry) { return entry.second.id == node; });
}

std::vector<NodeInfo> rankRelays(const RelayDirectory &directory, const NodeInfo &self)
{
    std::vector<NodeInfo> ranked;
    for (const auto &[key, info] : directory.relays) {
        if (info.id != self.id)
            ranked.push_back(info);
    }
    // Hashed by address, so that a restarted node reconnects to the same relay.
    const std::string key = self.inner.toString();
    const auto rank = [&](const NodeInfo &info) {
        return std::tuple(info.dataCentre == self.dataCentre,
                          rendezvousWeight(key, info.id.value()));
    };
    std::sort(ranked.begin(), ranked.end(),
              [&](const NodeInfo &a, const NodeInfo &b) { return rank(a) > rank(b); });
    return ranked;
}

} // namespace cornelhead
