// The operators' two lists as typed data: what each plan may use, and the plans of customers.
#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "cornelhead/base/clock.h"
#include "cornelhead/base/ids.h"

namespace cornelhead {

/// Orders calls under overload; a lower value is served first.
enum class CallPriority {
    High, ///< Door lookups and availability checks.
    Normal, ///< Bookings and payments.
    Low, ///< Browsing.
};

/// Says whether a call may be run twice.
enum class Idempotency {
    Idempotent, ///< May be sent again after an unknown outcome.
    Keyed, ///< Runs at most once for each idempotency key.
};

/// A service that backend servers announce.
struct Service
{
    ServiceId id;
    /// Takes all calls until the first move of the service.
    VersionId initialVersion;

    friend auto operator<=>(const Service &, const Service &) = default;
};

/// Calls whose path begins with `pathPrefix` and go to `service`.
struct Route
{
    RouteId id;
    ServiceId service;
    /// Begins with '/' and covers whole segments; the longest matching prefix wins.
    std::string pathPrefix;
    CallPriority priority = CallPriority::Normal;
    Idempotency idempotency = Idempotency::Idempotent;
    Milliseconds timeout = Milliseconds(2000);

    friend auto operator<=>(const Route &, const Route &) = default;
};

/// What the customers of one plan may use.
struct Plan
{
    PlanId id;
    /// Every route of these services.
    std::vector<ServiceId> services;
    /// Single routes of further services.
    std::vector<RouteId> routes;
    /// Calls a second of one customer over the whole fleet.
    std::uint32_t ratePerSecond = 0;
    /// Calls that may come at once above the rate.
    std::uint32_t burst = 0;
    /// Calls of one customer in flight over the whole fleet.
    std::uint32_t concurrency = 0;

    friend auto operator<=>(const Plan &, const Plan &) = default;
};

/// One customer and its plan.
struct Customer
{
    CustomerId id;
    PlanId plan;

    friend auto operator<=>(const Customer &, const Customer &) = default;
};

/// Both lists, validated or not.
struct Declarations
{
    std::vector<Service> services;
    std::vector<Route> routes;
    std::vector<Plan> plans;
    std::vector<Customer> customers;

    friend auto operator<=>(const Declarations &, const Declarations &) = default;
};

} // namespace cornelhead
