// Implements the order of revisions over the eras of a store.
#include "cornelhead/platform/store-types.h"

#include <charconv>

namespace cornelhead {
namespace detail {

// Enough for a hundred thousand changes a second for five years, and for a million eras.
constexpr unsigned revisionBits = 44;
constexpr std::uint64_t revisionMask = (std::uint64_t{1} << revisionBits) - 1;

// Separates the era from the store's own id of a lease.
constexpr char eraSeparator = '@';

} // namespace detail

LeaseId inEra(StoreEra era, const LeaseId &lease)
{
    return LeaseId(std::to_string(era.value()) + detail::eraSeparator + lease.value());
}

StoreEra eraOf(const LeaseId &lease)
{
    std::uint64_t era = 0;
    const std::string &text = lease.value();
    const std::size_t end = text.find(detail::eraSeparator);
    if (end != std::string::npos)
        std::from_chars(text.data(), text.data() + end, era);
    return StoreEra(era);
}

LeaseId withoutEra(const LeaseId &lease)
{
    // Without a separator, npos + 1 is 0.
    return LeaseId(lease.value().substr(lease.value().find(detail::eraSeparator) + 1));
}

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
