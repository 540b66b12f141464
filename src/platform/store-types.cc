// Implements the order of revisions over the eras of a store.
#include "cornelhead/platform/store-types.h"

namespace cornelhead {
namespace detail {

// Enough for a hundred thousand changes a second for five years, and for a million eras.
constexpr unsigned revisionBits = 44;
constexpr std::uint64_t revisionMask = (std::uint64_t{1} << revisionBits) - 1;

} // namespace detail

ModRevision inEra(StoreEra era, ModRevision revision)
{
    if (revision == ModRevision())
        return revision;
    return ModRevision((era.value() << detail::revisionBits)
                       | (revision.value() & detail::revisionMask));
}

StoreEra eraOf(ModRevision revision)
{
    return StoreEra(revision.value() >> detail::revisionBits);
}

ModRevision withoutEra(ModRevision revision)
{
    return ModRevision(revision.value() & detail::revisionMask);
}

} // namespace cornelhead
