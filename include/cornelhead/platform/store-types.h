// The data types of the key-value service, independent of its wire format.
#pragma once

#include <string>
#include <vector>

#include "cornelhead/base/ids.h"

namespace cornelhead {

/// Identifies a lease granted by the platform.
using LeaseId = Id<struct LeaseTag>;

/// The highest era that a `ModRevision` can hold.
constexpr StoreEra maxStoreEra{(1U << 20U) - 1};

/// Returns `lease` as one that was granted in `era`; a restored store gives lease ids out again.
LeaseId inEra(StoreEra era, const LeaseId &lease);
StoreEra eraOf(const LeaseId &lease);
/// Returns the id of the lease as the store of its era gave it out.
LeaseId withoutEra(const LeaseId &lease);

/// Returns `revision` as one of `era`.
///
/// A store that comes back from an older copy gives out its revisions again, so a revision means
/// nothing without its era.  A `ModRevision` therefore holds both: any revision of a later era is
/// higher, those of one era are ordered as the store orders them, and 0 stays 0.
ModRevision inEra(StoreEra era, ModRevision revision);
/// Returns the era of a revision; 0 for revision 0.
StoreEra eraOf(ModRevision revision);
/// Returns the revision as the store of its era gave it out.
ModRevision withoutEra(ModRevision revision);

/// A key with its value and the revision of its last write.
struct KeyValue
{
    std::string key;
    std::string value;
    ModRevision modRevision;
};

/// How recent a listing must be.
enum class Freshness {
    Current,
    MayBeStale, ///< May be seconds old; cheaper for the store.
};

/// All keys of a prefix.
struct Listing
{
    std::vector<KeyValue> entries;
    /// The store's revision when the listing was read; a watch continues after it.
    ModRevision storeRevision;
};

/// One page of a listing that is too long for one response.
struct ListingPage
{
    Listing listing;
    /// Whether another page follows the last key of this page.
    bool hasMore = false;
};

/// The changes under a prefix up to `storeRevision`.
struct WatchResponse
{
    std::vector<KeyValue> changed;
    std::vector<std::string> removed;
    ModRevision storeRevision;
    /// True if the changes since the requested revision are no longer available individually: then
    /// `changed` has all keys of the prefix, `removed` is empty, and all other keys were removed.
    bool isSnapshot = false;
};

/// The precondition of a compare-and-swap.
struct ExpectedRevision
{
    /// The key's expected revision; 0 if the key must not exist.
    ModRevision modRevision;
};

} // namespace cornelhead
