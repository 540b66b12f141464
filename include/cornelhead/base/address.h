// Addresses of processes: an IP number and a port, never a host name.
#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

#include "cornelhead/base/error.h"

namespace cornelhead {

/// Names the listening socket of a process.
struct Address
{
    std::string ip;
    std::uint16_t port = 0;

    /// Renders "10.0.0.1:8080", or "[::1]:8080" for IPv6.
    std::string toString() const;

    friend auto operator<=>(const Address &, const Address &) = default;
};

/// Reads "10.0.0.1:8080" or "[::1]:8080".  Fails with `InvalidSetting` for names and bad ports.
Result<Address> parseAddress(std::string_view text);

} // namespace cornelhead
