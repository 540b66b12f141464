// Runtime checks of invariants, enabled in every build type.
#pragma once

#include <string_view>

namespace cornelhead::detail {

/// Logs the violated invariant and aborts.
[[noreturn]] void failCheck(std::string_view condition, std::string_view file, int line);

} // namespace cornelhead::detail

/// Logs an error and aborts the process if `condition` is false, in release builds too.
///
///     CORNELHEAD_CHECK(next->revision() > held->revision());
#define CORNELHEAD_CHECK(condition)                                                                \
    ((condition) ? void() : ::cornelhead::detail::failCheck(#condition, __FILE__, __LINE__))
