// Implements the journal of a prefix.
#include "cornelhead/platform/change-journal.h"

#include <algorithm>
#include <set>

namespace cornelhead {

void ChangeJournal::take(const WatchAnswer &answer)
{
    const bool isFirst = revision_ == ModRevision();
    revision_ = std::max(revision_, answer.storeRevision);
    if (isFirst)
        removalsKnownAfter_ = revision_;
    if (answer.isWhole) {
        std::set<std::string> listed;
        for (const KeyValue &entry : answer.changed)
            listed.insert(entry.key);
        std::vector<std::string> gone;
        for (const auto &[key, entry] : entries_) {
            if (!listed.contains(key))
                gone.push_back(key);
        }
        for (const std::string &key : gone)
            noteRemoved(key, revision_);
    }
    for (const KeyValue &entry : answer.changed) {
        KeyValue &known = entries_[entry.key];
        if (known.modRevision >= entry.modRevision)
            continue;
        known = entry;
        changedAt_ = std::max(changedAt_, entry.modRevision);
    }
    for (const std::string &key : answer.removed)
        noteRemoved(key, revision_);
}

void ChangeJournal::noteRemoved(const std::string &key, ModRevision revision)
{
    if (entries_.erase(key) == 0)
        return;
    changedAt_ = std::max(changedAt_, revision);
    removals_.push_back(Removal{key, revision});
    if (removals_.size() > mostRemovals) {
        removalsKnownAfter_ = removals_.front().revision;
        removals_.pop_front();
    }
}

bool ChangeJournal::hasChangesSince(ModRevision after) const
{
    return changedAt_ > after;
}

WatchAnswer ChangeJournal::since(ModRevision after) const
{
    WatchAnswer answer;
    answer.storeRevision = std::max(after, revision_);
    if (after >= revision_ && !hasChangesSince(after))
        return answer;
    answer.isWhole = after < removalsKnownAfter_;
    for (const auto &[key, entry] : entries_) {
        if (answer.isWhole || entry.modRevision > after)
            answer.changed.push_back(entry);
    }
    if (answer.isWhole)
        return answer;
    for (const Removal &removal : removals_) {
        if (removal.revision > after && !entries_.contains(removal.key))
            answer.removed.push_back(removal.key);
    }
    return answer;
}

} // namespace cornelhead
