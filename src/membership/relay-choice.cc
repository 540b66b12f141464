// Implements the choice of relays.
#include "cornelhead/membership/relay-choice.h"

#include <algorithm>
#include <vector>

namespace cornelhead {
namespace detail {

// 100 KB for each of 0.4 followers a Mbit/s take a link a third of a second.
constexpr double followersPerMbps = 0.4;
constexpr double minFollowers = 2.0;
// A poll each half second of so many followers costs a relay under a hundredth of a core.
constexpr double maxFollowers = 64.0;

} // namespace detail

std::uint32_t maxFollowersForLink(double linkMbps)
{
    return static_cast<std::uint32_t>(std::clamp(linkMbps * detail::followersPerMbps,
                                                 detail::minFollowers, detail::maxFollowers));
}

std::optional<Address> chooseRelay(const Address &self,
                                   const std::map<Address, HostDirectory::Record> &hosts,
                                   const std::set<Address> &avoided)
{
    const auto own = hosts.find(self);
    if (own == hosts.end())
        return std::nullopt;
    std::vector<const HostEntry *> near;
    for (const auto &[node, known] : hosts) {
        const bool isLive = !known.absentSince && !known.entry.isStopping;
        const bool isCandidate = isLive && !avoided.contains(node)
                && known.entry.dataCentre == own->second.entry.dataCentre;
        if (isCandidate || node == self)
            near.push_back(&known.entry);
    }
    std::stable_sort(near.begin(), near.end(), [](const HostEntry *left, const HostEntry *right) {
        return left->followers > right->followers;
    });
    // The first nodes are relays, each with as many followers from the end as it can feed.
    std::size_t first = 0;
    std::size_t last = near.size();
    while (first < last) {
        const HostEntry &relay = *near[first++];
        if (relay.node == self)
            return std::nullopt;
        for (std::uint32_t fed = 0; fed < relay.followers && first < last; ++fed) {
            if (near[--last]->node == self)
                return relay.node;
        }
    }
    return std::nullopt;
}

} // namespace cornelhead
