// Socket addresses: an IP address literal and a port, never a host name.
#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

#include "cornelhead/base/error.h"

namespace cornelhead {

/// The address of a listening socket.
struct Address
{
    std::string ip;
    std::uint16_t port = 0;

    /// Formats as "10.0.0.1:8080", or "[::1]:8080" for IPv6.
    std::string toString() const;

    friend auto operator<=>(const Address &, const Address &) = default;
};

/// Parses "10.0.0.1:8080" or "[::1]:8080".  Fails with `InvalidSetting` for a host name, an
/// invalid port or port 0.
Result<Address> parseAddress(std::string_view text);

} // namespace cornelhead
