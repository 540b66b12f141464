// Ends the process on a broken invariant.
#include "cornelhead/distribution/invariant.h"

#include <cstdlib>

#include "cornelhead/base/log.h"

namespace cornelhead {

void requireInvariant(bool holds, const char *what)
{
    if (holds)
        return;
    CORNELHEAD_LOG(ERROR, "invariant") << "Broken invariant: " << what << ".";
    std::abort();
}

} // namespace cornelhead
