// The operators' declarations as typed data: services, routes, plans and customers.
#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "cornelhead/base/clock.h"
#include "cornelhead/base/ids.h"

namespace cornelhead {

/// Order in which calls are served under overload; a lower value is served first.
enum class CallPriority {
    High, ///< Door lookups and availability checks.
    Normal, ///< Bookings and payments.
    Low, ///< Browsing.
};

/// Whether a call may run more than once.
enum class Idempotency {
    Idempotent, ///< May be retried after an unknown outcome.
    Keyed, ///< Runs at most once per idempotency key.
};

/// A service that backend servers announce.
struct Service
{
    ServiceId id;
    /// Receives all calls until the service is first moved to another version.
    VersionId initialVersion;

    friend auto operator<=>(const Service &, const Service &) = default;
};

/// A route to `service` for calls whose path starts with `pathPrefix`.
struct Route
{
    RouteId id;
    ServiceId service;
    /// Starts with '/' and matches whole path segments; the longest matching prefix wins.
    std::string pathPrefix;
    CallPriority priority = CallPriority::Normal;
    Idempotency idempotency = Idempotency::Idempotent;
    Milliseconds timeout = Milliseconds(2000);

    friend auto operator<=>(const Route &, const Route &) = default;
};

/// The routes and limits of the customers on one plan.
struct Plan
{
    PlanId id;
    /// Services of which all routes are allowed.
    std::vector<ServiceId> services;
    /// Allowed routes of other services.
    std::vector<RouteId> routes;
    /// Calls per second of one customer over all nodes.
    std::uint32_t ratePerSecond = 0;
    /// Calls that may arrive at once above the rate.
    std::uint32_t burst = 0;
    /// Concurrent calls of one customer over all nodes.
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

/// All records of the operators' files; not necessarily valid.
struct Declarations
{
    std::vector<Service> services;
    std::vector<Route> routes;
    std::vector<Plan> plans;
    std::vector<Customer> customers;

    friend auto operator<=>(const Declarations &, const Declarations &) = default;
};

} // namespace cornelhead
