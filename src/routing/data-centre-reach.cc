// Implements the reach of other data centres.
#include "cornelhead/routing/data-centre-reach.h"

#include <algorithm>

namespace cornelhead {
namespace detail {

// Two hosts that fail may do so by chance.
constexpr std::uint32_t minFailures = 3;
// Failures that lie further apart have nothing to do with each other.
constexpr Milliseconds maxFailureGap(2000);
// A link that returns is used again within two seconds.
constexpr Milliseconds firstPause(500);
constexpr Milliseconds maxPauseBetweenTries(2000);

} // namespace detail

void DataCentreReach::recordFailure(const DataCentreId &dataCentre, const Address &node,
                                    TimePoint now)
{
    Failing &failing = failing_[dataCentre];
    if (!failing.closedUntil && now - failing.lastAt > detail::maxFailureGap)
        failing = Failing{0, node, false, now, std::nullopt, {}};
    failing.lastAt = now;
    ++failing.failures;
    failing.hasSeveralNodes = failing.hasSeveralNodes || node != failing.firstNode;
    if (failing.closedUntil || failing.failures < detail::minFailures || !failing.hasSeveralNodes)
        return;
    failing.pause = detail::firstPause;
    failing.closedUntil = now + failing.pause;
}

void DataCentreReach::recordAnswer(const DataCentreId &dataCentre)
{
    failing_.erase(dataCentre);
}

bool DataCentreReach::isOpen(const DataCentreId &dataCentre, TimePoint now) const
{
    const auto found = failing_.find(dataCentre);
    return found == failing_.end() || !found->second.closedUntil
            || now >= *found->second.closedUntil;
}

void DataCentreReach::recordSend(const DataCentreId &dataCentre, TimePoint now)
{
    const auto found = failing_.find(dataCentre);
    if (found == failing_.end() || !found->second.closedUntil)
        return;
    Failing &failing = found->second;
    failing.pause = std::min(failing.pause * 2, detail::maxPauseBetweenTries);
    failing.closedUntil = now + failing.pause;
}

} // namespace cornelhead
