// Admission of calls: checks that depend only on the configuration.
#pragma once

#include <string>
#include <string_view>

#include <tl/expected.hpp>

#include "cornelhead/config/snapshot.h"
#include "cornelhead/routing/refusal.h"

namespace cornelhead {

/// The parts of a request that admission checks.
struct CallHead
{
    std::string_view customer;
    /// Percent-encoded, without the query.
    std::string_view path;
    std::string_view idempotencyKey;
};

/// The configuration records of an admitted call; they point into the snapshot.
struct Admission
{
    const Customer *customer = nullptr;
    const Plan *plan = nullptr;
    const Service *service = nullptr;
    const Route *route = nullptr;
};

/// Finds the customer, service and route of a call, and checks that the plan allows the route and
/// that a keyed route has an idempotency key.
///
/// The route is matched against the decoded path, so that percent-encoding cannot bypass a prefix.
tl::expected<Admission, RefusalReason> admit(const Snapshot &config, const CallHead &head);

/// The first segment of a path and what follows it.
struct SplitPath
{
    std::string_view service;
    /// Begins with '/'.
    std::string_view rest;
};

/// Splits "/bookings/seats/4" into "bookings" and "/seats/4".
SplitPath splitPath(std::string_view path);

/// Percent-decodes a path.  Fails with `BadRequest` for an invalid escape, a control character, an
/// escaped slash or a dot segment ("." or "..").
tl::expected<std::string, RefusalReason> decodePath(std::string_view path);

} // namespace cornelhead
