// Invariants that hold in every build, checked where they matter.
#pragma once

#include <string_view>

namespace cornelhead::detail {

/// Logs the broken invariant and aborts.
[[noreturn]] void failCheck(std::string_view condition, std::string_view file, int line);

} // namespace cornelhead::detail

/// Aborts the process with a log line when an invariant does not hold, in every kind of build.
///
///     CORNELHEAD_CHECK(next->revision() > held->revision());
#define CORNELHEAD_CHECK(condition)                                                                \
    ((condition) ? void() : ::cornelhead::detail::failCheck(#condition, __FILE__, __LINE__))
