// Tells the failure of many hosts from a failure of this host's own link.
//
// Load pattern: a burst of uploads fills this host's link.  Connections to hosts everywhere time
// out, which other nodes reach well; a node that backs off from all of them loses what room there
// is and refuses calls for want of hosts.
#pragma once

#include <cstddef>
#include <map>
#include <vector>

#include "cornelhead/base/address.h"
#include "cornelhead/base/clock.h"
#include "cornelhead/base/ids.h"

namespace cornelhead {

/// Suspects the own link when most hosts that were tried lately failed, and most calls with them.
/// The hosts of the own data centre must be among them, as a cut between data centres fails only
/// the others.
class OwnLink
{
public:
    explicit OwnLink(DataCentreId localDataCentre)
        : localDataCentre_(std::move(localDataCentre)) { }

    /// The host answered a call, or refused a connection.
    void recordAnswer(const Address &node, const DataCentreId &dataCentre, TimePoint now);
    /// The host was silent or unreachable.  Returns whether this begins a suspicion.
    bool recordFailure(const Address &node, const DataCentreId &dataCentre, TimePoint now);
    bool isSuspected(TimePoint now) const { return now < suspectedUntil_; }
    /// Returns the hosts that failed lately and have not answered since.
    std::vector<Address> failedHosts() const;

private:
    struct Tried
    {
        bool isLocal = false;
        bool hasFailed = false;
        TimePoint at{};
    };

    void record(const Address &node, const DataCentreId &dataCentre, bool hasFailed, TimePoint now);
    bool isLikely() const;
    /// Forgets the hosts that were not tried within the window.
    void sweep(TimePoint now);

    DataCentreId localDataCentre_;
    // The hosts tried within the window, with their latest outcomes.
    std::map<Address, Tried> tried_;
    // Calls that failed and calls that were answered, decayed to `countedAt_`.
    double failures_ = 0.0;
    double answers_ = 0.0;
    TimePoint countedAt_{};
    TimePoint sweptAt_{};
    TimePoint suspectedUntil_{};
    // Bounds of a suspicion that hosts that are gone would renew for ever.
    TimePoint latestEnd_{};
    TimePoint mayBeginAt_{};
};

} // namespace cornelhead
