// What the key-value service stores and answers, independent of how it is spelled on the wire.
#pragma once

#include <string>
#include <vector>

#include "cornelhead/base/ids.h"

namespace cornelhead {

/// Names a lease that the platform granted.
using LeaseId = Id<struct LeaseTag>;

/// One key with its value and the revision of its last write.
struct KeyValue
{
    std::string key;
    std::string value;
    ModRevision modRevision;
};

/// All keys of a prefix at one moment.
struct Listing
{
    std::vector<KeyValue> entries;
    /// The store's revision at that moment; a watch continues after it.
    ModRevision storeRevision;
};

/// A part of a listing that is too long for one answer.
struct ListingPage
{
    Listing listing;
    /// Another page begins after the last key of this one.
    bool hasMore = false;
};

/// What changed under a prefix.
struct WatchAnswer
{
    std::vector<KeyValue> changed;
    std::vector<std::string> removed;
    ModRevision storeRevision;
    /// True when the store no longer knows single changes since then: `changed` is the whole
    /// prefix, `removed` is empty, and every key that `changed` lacks is gone.
    bool isWhole = false;
};

/// What a write expects to replace.
struct Expected
{
    /// 0 expects that the key does not exist.
    ModRevision modRevision;
};

} // namespace cornelhead
