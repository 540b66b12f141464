// Parses and formats socket addresses.
#include "cornelhead/base/address.h"

#include <arpa/inet.h>

#include <array>
#include <charconv>

namespace cornelhead {
namespace detail {

bool isIpAddress(const std::string &ip)
{
    std::array<unsigned char, sizeof(in6_addr)> buffer{};
    return inet_pton(AF_INET, ip.c_str(), buffer.data()) == 1
            || inet_pton(AF_INET6, ip.c_str(), buffer.data()) == 1;
}

bool parsePort(std::string_view text, std::uint16_t &port)
{
    const char *end = text.data() + text.size();
    const auto [parsed, error] = std::from_chars(text.data(), end, port);
    return error == std::errc() && parsed == end && port != 0;
}

} // namespace detail

std::string Address::toString() const
{
    const bool isV6 = ip.find(':') != std::string::npos;
    return (isV6 ? "[" + ip + "]" : ip) + ":" + std::to_string(port);
}

Result<Address> parseAddress(std::string_view text)
{
    const auto invalid = [&] {
        return fail(ErrorKind::InvalidSetting, "'" + std::string(text) + "' is not an address",
                    "use an IP address and a port, such as 127.0.0.1:8080");
    };
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return invalid();
    std::string ip(text.substr(0, colon));
    if (ip.size() > 2 && ip.front() == '[' && ip.back() == ']')
        ip = ip.substr(1, ip.size() - 2);
    Address address{ip, 0};
    if (!detail::isIpAddress(ip) || !detail::parsePort(text.substr(colon + 1), address.port))
        return invalid();
    return address;
}

} // namespace cornelhead
