// Decides from the configuration alone whether a call may be made.
#pragma once

#include <string>
#include <string_view>

#include <tl/expected.hpp>

#include "cornelhead/config/snapshot.h"
#include "cornelhead/routing/refusal.h"

namespace cornelhead {

/// What admission reads of a call.
struct CallHead
{
    std::string_view customer;
    /// The escaped path without the query.
    std::string_view path;
    std::string_view idempotencyKey;
};

/// An admitted call; valid as long as the snapshot that it points into.
struct Admission
{
    const Customer *customer = nullptr;
    const Plan *plan = nullptr;
    const Service *service = nullptr;
    const Route *route = nullptr;
};

/// Finds customer, service and route of a call, and checks plan and key.
///
/// The route is matched on the decoded path, so that an escape cannot hide from a prefix.
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

/// Decodes escapes.  Fails with `BadRequest` for a bad escape, a control byte, an escaped slash or
/// a segment of one or two dots.
tl::expected<std::string, RefusalReason> decodePath(std::string_view path);

} // namespace cornelhead
