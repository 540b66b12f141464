// Implements the change journal.
#include "cornelhead/platform/change-journal.h"

#include <algorithm>
#include <set>

namespace cornelhead {

std::size_t ChangeJournal::apply(const WatchResponse &response)
{
    const bool isFirst = revision_ == ModRevision();
    revision_ = std::max(revision_, response.storeRevision);
    if (isFirst)
        removalsCompleteAfter_ = revision_;
    if (response.isSnapshot) {
        std::set<std::string> listed;
        for (const KeyValue &entry : response.changed)
            listed.insert(entry.key);
        std::vector<std::string> missing;
        for (const auto &[key, entry] : entries_) {
            if (!listed.contains(key))
                missing.push_back(key);
        }
        for (const std::string &key : missing)
            recordRemoval(key, revision_);
    }
    std::size_t passedOver = 0;
    for (const KeyValue &entry : response.changed) {
        KeyValue &current = entries_[entry.key];
        if (current.modRevision >= entry.modRevision) {
            ++passedOver;
            continue;
        }
        current = entry;
        lastChangeRevision_ = std::max(lastChangeRevision_, entry.modRevision);
    }
    for (const std::string &key : response.removed)
        recordRemoval(key, revision_);
    return passedOver;
}

void ChangeJournal::recordRemoval(const std::string &key, ModRevision revision)
{
    if (entries_.erase(key) == 0)
        return;
    lastChangeRevision_ = std::max(lastChangeRevision_, revision);
    removals_.push_back(Removal{key, revision});
    if (removals_.size() > maxRemovals) {
        removalsCompleteAfter_ = removals_.front().revision;
        removals_.pop_front();
    }
}

bool ChangeJournal::hasChangesSince(ModRevision after) const
{
    return lastChangeRevision_ > after;
}

WatchResponse ChangeJournal::changesSince(ModRevision after) const
{
    WatchResponse response;
    response.storeRevision = std::max(after, revision_);
    if (after >= revision_ && !hasChangesSince(after))
        return response;
    response.isSnapshot = after < removalsCompleteAfter_;
    for (const auto &[key, entry] : entries_) {
        if (response.isSnapshot || entry.modRevision > after)
            response.changed.push_back(entry);
    }
    if (response.isSnapshot)
        return response;
    for (const Removal &removal : removals_) {
        if (removal.revision > after && !entries_.contains(removal.key))
            response.removed.push_back(removal.key);
    }
    return response;
}

} // namespace cornelhead
