// Reads JSON that another program wrote, within bounds.
#pragma once

#include <cstddef>
#include <cstdint>
#include <stdexcept>
#include <string_view>
#include <type_traits>
#include <utility>

#include <nlohmann/json.hpp>

#include "cornelhead/base/error.h"

namespace cornelhead {

/// Bounds of a JSON text; a parsed text takes up to 80 times its size in memory.
struct JsonLimits
{
    std::size_t bytes = 64 * std::size_t(1024);
    /// Arrays and objects inside each other.
    std::size_t depth = 16;
};

/// Parses a JSON text.  Fails with `TooLarge` beyond `limits`, and with `InvalidMessage` for a
/// malformed text.
Result<nlohmann::json> parseUntrustedJson(std::string_view text, const JsonLimits &limits = {});

/// Returns an integer from `min` to `max`.  Throws `std::out_of_range` for any other value, which
/// `nlohmann::json::get` would convert.
template <typename T>
T readInteger(const nlohmann::json &value, std::type_identity_t<T> min, std::type_identity_t<T> max)
{
    if (!value.is_number_integer())
        throw std::out_of_range("a number is not an integer");
    const bool isInRange = value.is_number_unsigned()
            ? std::cmp_greater_equal(value.get<std::uint64_t>(), min)
                    && std::cmp_less_equal(value.get<std::uint64_t>(), max)
            : std::cmp_greater_equal(value.get<std::int64_t>(), min)
                    && std::cmp_less_equal(value.get<std::int64_t>(), max);
    if (!isInRange)
        throw std::out_of_range("a number is out of range");
    return value.get<T>();
}

} // namespace cornelhead
