// Decides whether a busy host may hand a call back, so that the caller's node sends it to another.
//
// Load pattern: a service has room, but no node knows where, as each node meets each host rarely.
// A call that would have to wait before one server then finds a free slot at the second or third.
// While most servers of the service are full, another one is no better, and the messages would only
// add load; then calls wait or are refused where they arrive first.
#pragma once

#include <cstdint>
#include <map>

#include "cornelhead/base/ids.h"

namespace cornelhead {

struct HostReport;

/// Tracks for each service how often its servers are found to be full.  Not thread-safe.
class HandBackPolicy
{
public:
    /// Returns whether the next host may hand back a call that `handBacks` hosts have handed back.
    bool allows(const ServiceId &service, std::uint32_t handBacks) const;
    /// Records the load that a host of the service reported.
    void record(const ServiceId &service, const HostReport &report);

private:
    // Smoothed share of reports of full servers.
    std::map<ServiceId, double> fullShares_;
};

} // namespace cornelhead
