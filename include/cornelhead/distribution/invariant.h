// Checks of what must always hold, in every build.
#pragma once

namespace cornelhead {

/// Logs and ends the process when `holds` is false: a wrong state must not be acted on.
void requireInvariant(bool holds, const char *what);

} // namespace cornelhead
