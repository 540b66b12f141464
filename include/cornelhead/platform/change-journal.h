// A cache of one prefix of the key-value store, which answers watches from other processes.
#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <string>

#include "cornelhead/platform/store-types.h"

namespace cornelhead {

/// Mirrors a prefix from the results of a watch, and returns the changes after any revision in the
/// same form as the service.
class ChangeJournal
{
public:
    /// Applies the result of a listing or of a watch after `revision()`.  Returns how many entries
    /// were passed over as not newer than those held.
    std::size_t apply(const WatchResponse &response);
    /// Returns the changes after `after`, or a snapshot if removals since then were discarded.  A
    /// reader that is ahead of this journal gets no changes.
    WatchResponse changesSince(ModRevision after) const;
    bool hasChangesSince(ModRevision after) const;
    /// The revision up to which all changes are applied; 0 before the first `take`.
    ModRevision revision() const { return revision_; }

private:
    struct Removal
    {
        std::string key;
        ModRevision revision;
    };

    /// Enough, as readers are rarely more than a few changes behind; a removal takes little memory.
    static constexpr std::size_t maxRemovals = 500;

    void recordRemoval(const std::string &key, ModRevision revision);

    std::map<std::string, KeyValue> entries_;
    // Oldest first.
    std::deque<Removal> removals_;
    ModRevision revision_;
    // Invariant: `removals_` has every removal after this revision.
    ModRevision removalsCompleteAfter_;
    // The revision of the last change under the prefix.
    ModRevision lastChangeRevision_;
};

} // namespace cornelhead
