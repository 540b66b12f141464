// Reports violated invariants.
#include "cornelhead/base/check.h"

#include <cstdlib>

#include "cornelhead/base/log.h"

namespace cornelhead::detail {

void failCheck(std::string_view condition, std::string_view file, int line)
{
    CORNELHEAD_LOG(ERROR, "check")
            << "Invariant violated: " << condition << " at " << file << ":" << line << ".";
    std::abort();
}

} // namespace cornelhead::detail
