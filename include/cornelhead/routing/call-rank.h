// The rank of a call in the queues before backend servers.
#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>

namespace cornelhead {

/// Rank of calls that servers make while they run other calls, which hold slots already.
constexpr std::uint32_t nestedCallRank = 0;
/// Routes of one customer are told apart up to this priority.
constexpr std::uint32_t rankedRoutePriorities = 8;
/// Customers are told apart up to this priority.
constexpr std::uint32_t rankedCustomerPriorities = 8;
/// All ranks of calls of callers are below this value.
constexpr std::uint32_t maxCallRank = 1 + rankedCustomerPriorities * rankedRoutePriorities;

/// Returns the rank of a caller's call; lower ranks start first.  The customer's priority is
/// compared before the route's; without one the route's priority counts alone.
constexpr std::uint32_t callRank(std::optional<std::uint32_t> customerPriority,
                                 std::uint32_t routePriority)
{
    if (!customerPriority)
        return 1 + std::min(routePriority, maxCallRank - 2);
    return 1 + std::min(*customerPriority, rankedCustomerPriorities - 1) * rankedRoutePriorities
            + std::min(routePriority, rankedRoutePriorities - 1);
}

} // namespace cornelhead
