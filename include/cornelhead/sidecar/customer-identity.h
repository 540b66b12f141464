// Decides which customer a call is made for.
#pragma once

#include <string_view>

#include <tl/expected.hpp>

#include "cornelhead/config/route-table.h"

namespace cornelhead {

/// What a call shows of its origin.
struct CallCredentials
{
    /// The value of the authorization header; empty if there is none.
    std::string_view authorization;
    /// How keys are marked in that value, such as "Bearer".
    std::string_view scheme;
    /// Made by this host's server for a call that it is running.
    bool isNested = false;
    /// Its id is that of a nested call, whether or not this host runs the outer one.
    bool hasNestedId = false;
};

/// Why the customer of a call is not known.
enum class IdentityFault {
    UnknownKey, ///< No key, or one that no customer holds.
    UnknownParent, ///< A nested call whose outer call is not known here, as after a restart.
};

/// Returns the customer of a call; null if the call has none and needs none.
///
/// A call that shows no key is allowed on public routes, and if this host's server makes it.
tl::expected<const HostCustomer *, IdentityFault>
identifyCustomer(const RouteTable &table, const HostRoute &route, const CallCredentials &call);

} // namespace cornelhead
