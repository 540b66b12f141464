// Small valid declarations for tests.
#pragma once

#include "cornelhead/config/declarations.h"

namespace cornelhead {

inline Declarations sampleDeclarations()
{
    Declarations all;
    all.services
            = {{ServiceId("doorlist"), VersionId("v1")}, {ServiceId("bookings"), VersionId("v1")}};
    Route lookup{RouteId("doorlist/lookup"), ServiceId("doorlist"),   "/tickets",
                 CallPriority::High,         Idempotency::Idempotent, Milliseconds(500)};
    Route book{RouteId("bookings/book"), ServiceId("bookings"), "/book",
               CallPriority::Normal,     Idempotency::Keyed,    Milliseconds(5000)};
    Route list{RouteId("bookings/list"), ServiceId("bookings"),   "/",
               CallPriority::Low,        Idempotency::Idempotent, Milliseconds(2000)};
    all.routes = {lookup, book, list};
    all.plans = {
            {PlanId("franchisee"), {ServiceId("bookings"), ServiceId("doorlist")}, {}, 50, 100, 20},
            {PlanId("attendee"), {}, {RouteId("bookings/list")}, 5, 10, 4}};
    all.customers = {{CustomerId("wellington"), PlanId("franchisee")},
                     {CustomerId("ana"), PlanId("attendee")}};
    return all;
}

} // namespace cornelhead
