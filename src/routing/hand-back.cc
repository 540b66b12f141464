// Implements the policy for handing calls back.
#include "cornelhead/routing/hand-back.h"

#include "cornelhead/routing/placement.h"

namespace cornelhead {
namespace detail {

// Each costs a round trip between two nodes.
constexpr std::uint32_t maxHandBacks = 2;
// With more full servers than this, most calls that are handed back find no free slot elsewhere.
constexpr double maxFullShare = 0.6;
// The weight of the latest report.
constexpr double fullShareWeight = 0.05;

} // namespace detail

bool HandBackPolicy::allows(const ServiceId &service, std::uint32_t handBacks) const
{
    if (handBacks >= detail::maxHandBacks)
        return false;
    const auto share = fullShares_.find(service);
    return share == fullShares_.end() || share->second < detail::maxFullShare;
}

void HandBackPolicy::record(const ServiceId &service, const HostReport &report)
{
    const bool isFull = report.running + report.waiting > report.slots
            || (report.notice.limit && report.wait > Microseconds(0));
    double &share = fullShares_[service];
    share += detail::fullShareWeight * ((isFull ? 1.0 : 0.0) - share);
}

} // namespace cornelhead
