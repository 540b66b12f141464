// Tells which other data centres can be reached.
//
// Load pattern: the links to another data centre are cut.  Each call that is sent there costs its
// caller the time until the connection is given up, and without this each of its hosts has to fail
// by itself.
#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "cornelhead/base/address.h"
#include "cornelhead/base/clock.h"
#include "cornelhead/base/ids.h"

namespace cornelhead {

/// Takes a data centre for cut off when its hosts fail one after another and none answers, and lets
/// single calls try it again.
class DataCentreReach
{
public:
    /// The host could not be reached or did not answer.
    void recordFailure(const DataCentreId &dataCentre, const Address &node, TimePoint now);
    void recordAnswer(const DataCentreId &dataCentre);
    /// Returns whether a call may be sent there now.
    bool isOpen(const DataCentreId &dataCentre, TimePoint now) const;
    /// A call is sent there.  If the data centre is cut off, the next one has to wait.
    void recordSend(const DataCentreId &dataCentre, TimePoint now);

private:
    struct Failing
    {
        /// Failures since the last answer, and whether they were of several hosts.
        std::uint32_t failures = 0;
        Address firstNode;
        bool hasSeveralNodes = false;
        TimePoint lastAt{};
        /// Set while the data centre is taken for cut off.
        std::optional<TimePoint> closedUntil;
        Milliseconds pause{};
    };

    std::map<DataCentreId, Failing> failing_;
};

} // namespace cornelhead
