// Assigns followers to relays.
#include "cornelhead/membership/relay-choice.h"

#include <algorithm>
#include <vector>

namespace cornelhead {
namespace detail {

// Sending 100 KB to 0.4 followers for each Mbit/s occupies the link for a third of a second.
constexpr double followersPerMbps = 0.4;
constexpr double minFollowers = 2.0;
// Polls of 64 followers every half second cost a relay less than 1 % of a core.
constexpr double maxFollowers = 64.0;

} // namespace detail

std::uint32_t maxFollowersForLink(double linkMbps)
{
    return static_cast<std::uint32_t>(std::clamp(linkMbps * detail::followersPerMbps,
                                                 detail::minFollowers, detail::maxFollowers));
}

std::optional<Address> chooseRelay(const Address &self, const DataCentreId &dataCentre,
                                   const std::map<Address, HostDirectory::Record> &hosts,
                                   const std::set<Address> &excluded)
{
    std::vector<const HostEntry *> candidates;
    for (const auto &[node, record] : hosts) {
        const bool isLive = !record.absentSince && !record.entry.isStopping;
        const bool isCandidate
                = isLive && !excluded.contains(node) && record.entry.dataCentre == dataCentre;
        if (isCandidate || node == self)
            candidates.push_back(&record.entry);
    }
    std::stable_sort(candidates.begin(), candidates.end(),
                     [](const HostEntry *left, const HostEntry *right) {
                         return left->followers > right->followers;
                     });
    if (!hosts.contains(self))
        return candidates.empty() ? std::nullopt : std::optional(candidates.front()->node);
    // Relays are taken from the front, followers from the back, up to the maximum of each relay.
    std::size_t front = 0;
    std::size_t back = candidates.size();
    while (front < back) {
        const HostEntry &relay = *candidates[front++];
        if (relay.node == self)
            return std::nullopt;
        for (std::uint32_t assigned = 0; assigned < relay.followers && front < back; ++assigned) {
            if (candidates[--back]->node == self)
                return relay.node;
        }
    }
    return std::nullopt;
}

} // namespace cornelhead
