// The highest revision sent to each address, so that a restarted node never gets an older one.
#pragma once

#include <map>

#include "cornelhead/base/address.h"
#include "cornelhead/base/ids.h"

namespace cornelhead {

/// Records the highest revision sent to each address and to each data centre.
///
/// Invariant: no entry ever decreases.
class FloorTable
{
public:
    /// Records that `address` may have applied `revision`; returns whether that raised its floor.
    bool raise(const Address &address, Revision revision)
    {
        Revision &floor = addresses_[address];
        if (revision <= floor)
            return false;
        floor = revision;
        changed_[address] = revision;
        return true;
    }
    bool raise(const DataCentreId &dataCentre, Revision revision)
    {
        Revision &floor = dataCentres_[dataCentre];
        if (revision <= floor)
            return false;
        floor = revision;
        return true;
    }

    /// Returns the minimum revision for `address`: its own entry, or that of its data centre for an
    /// address without an entry.
    Revision floorOf(const Address &address, const DataCentreId &dataCentre) const
    {
        if (const auto found = addresses_.find(address); found != addresses_.end())
            return found->second;
        const auto found = dataCentres_.find(dataCentre);
        return found == dataCentres_.end() ? Revision(0) : found->second;
    }

    const std::map<Address, Revision> &addresses() const { return addresses_; }
    const std::map<DataCentreId, Revision> &dataCentres() const { return dataCentres_; }
    /// Returns the addresses raised since the last call.
    std::map<Address, Revision> drainChanged() { return std::exchange(changed_, {}); }

private:
    std::map<Address, Revision> addresses_;
    std::map<DataCentreId, Revision> dataCentres_;
    std::map<Address, Revision> changed_;
};

} // namespace cornelhead
