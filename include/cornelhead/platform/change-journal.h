// What is known of one prefix of the key-value service, told on as changes since a revision.
#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <string>

#include "cornelhead/platform/store-types.h"

namespace cornelhead {

/// Keeps a prefix as watches of the service tell it, and answers like the service itself.
class ChangeJournal
{
public:
    /// Takes the answer to a listing or to a watch after `revision()`.
    void take(const WatchAnswer &answer);
    /// Returns what changed after `after`, or the whole prefix where single changes since then are
    /// no longer known; nothing for a reader that is further than this journal.
    WatchAnswer since(ModRevision after) const;
    bool hasChangesSince(ModRevision after) const;
    /// All changes up to it are known; 0 before the first answer.
    ModRevision revision() const { return revision_; }

private:
    struct Removal
    {
        std::string key;
        ModRevision revision;
    };

    /// Removals are small, and readers are hardly ever more than a few behind.
    static constexpr std::size_t mostRemovals = 500;

    void noteRemoved(const std::string &key, ModRevision revision);

    std::map<std::string, KeyValue> entries_;
    // Oldest first.
    std::deque<Removal> removals_;
    ModRevision revision_;
    // Invariant: every removal after it is in `removals_`.
    ModRevision removalsKnownAfter_;
    // The revision of the last change.
    ModRevision changedAt_;
};

} // namespace cornelhead
