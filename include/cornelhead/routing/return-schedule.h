// Decides when refused callers should come back, so that each finds a place.
//
// Load pattern: a service is over capacity for seconds, and its refused callers come back within
// their deadlines.  If all were told the same short time they would return as one crowd, be refused
// again, and take the places of first tries meanwhile.  So each node spreads the returns that it
// asks for over the rate at which its calls to the service are being answered, and books a place
// for each.
#pragma once

#include <map>

#include "cornelhead/base/clock.h"
#include "cornelhead/base/ids.h"
#include "cornelhead/base/random.h"
#include "cornelhead/routing/customer-shares.h"

namespace cornelhead {

/// A refused call whose caller may return.  Times count from the refusal.
struct RefusedCall
{
    ServiceId service;
    /// The shortest wait that a host reported.
    Microseconds wait{};
    /// A call that returns later than this misses its objective; negative if it does already.
    Microseconds lastUsefulReturn{};
    /// How long its caller goes on waiting for the call.
    Microseconds timeLeft{};
};

/// When a caller should return, counted from the refusal.
struct ReturnTime
{
    Microseconds after{};
    /// A place is kept for the call.  Else it returns late if it can, as it would take a place of
    /// others before.
    bool isBooked = false;
};

/// The returns that one node asks for.  Does no I/O and reads no clock.  Not thread-safe.
class ReturnSchedule
{
public:
    /// No caller is asked to return earlier.
    static constexpr Microseconds minReturnTime{50'000};

    /// Records a call to the service that a server answered.
    void recordAnswer(const ServiceId &service, TimePoint now);
    ReturnTime book(const RefusedCall &call, TimePoint now, Random &random);

private:
    struct Service
    {
        detail::DecayingSum answers;
        // The earliest place that is not booked.
        TimePoint nextPlace{};

        Service();
    };

    // Bounded by the services of the configurations that this process has had.
    std::map<ServiceId, Service> services_;
};

} // namespace cornelhead
