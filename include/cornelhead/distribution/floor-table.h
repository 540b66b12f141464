// What each address was given last, so that a restarted node is never given less.
#pragma once

#include <map>

#include "cornelhead/base/address.h"
#include "cornelhead/base/ids.h"

namespace cornelhead {

/// Remembers the highest revision sent to each address and to each data centre.
///
/// Invariant: no entry ever goes down.
class FloorTable
{
public:
    /// Notes that `address` may act on `revision`; tells whether that is news.
    bool raise(const Address &address, Revision revision)
    {
        Revision &held = addresses_[address];
        if (revision <= held)
            return false;
        held = revision;
        changed_[address] = revision;
        return true;
    }
    bool raise(const DataCentreId &dataCentre, Revision revision)
    {
        Revision &held = dataCentres_[dataCentre];
        if (revision <= held)
            return false;
        held = revision;
        return true;
    }

    /// Returns what `address` must not act below: its own entry, or for an unknown address that of
    /// its data centre.
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
