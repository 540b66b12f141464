// Merges records and decides which nodes are gone.
#include "cornelhead/membership/endpoint-registry.h"

#include <algorithm>

#include "cornelhead/base/digest.h"

namespace cornelhead {
namespace detail {

bool supersedes(RecordSequence sequence, bool gone, RecordSequence heldSequence, bool heldGone)
{
    return sequence > heldSequence || (sequence == heldSequence && gone && !heldGone);
}

} // namespace detail

EndpointRegistry::EndpointRegistry(NodeId self, DataCentreId dataCentre, Clock clock,
                                   RegistryTiming timing)
    : self_(std::move(self)), dataCentre_(std::move(dataCentre)), clock_(std::move(clock)),
      timing_(timing)
{ }

bool EndpointRegistry::merge(const NodeRecord &record)
{
    const TimePoint time = now(clock_);
    const auto found = entries_.find(record.info.id);
    if (found != entries_.end()) {
        const NodeRecord &held = found->second.record;
        if (!detail::supersedes(record.sequence, record.gone, held.sequence, held.gone))
            return false;
        toggleHash(held);
    }
    Entry &entry = entries_[record.info.id] = Entry{record, time, time, std::nullopt};
    toggleHash(record);
    if (!record.gone && hasLaterRun(record.info))
        markGone(entry);
    else if (!record.gone)
        markEarlierRunsGone(record.info);
    table_ = nullptr;
    return true;
}

bool EndpointRegistry::hasLaterRun(const NodeInfo &info) const
{
    return std::any_of(entries_.begin(), entries_.end(), [&](const auto &item) {
        const NodeInfo &other = item.second.record.info;
        return other.inner == info.inner && other.startedAtMs > info.startedAtMs;
    });
}

void EndpointRegistry::markEarlierRunsGone(const NodeInfo &info)
{
    for (auto &[id, entry] : entries_) {
        const NodeInfo &other = entry.record.info;
        if (id != info.id && other.inner == info.inner && other.startedAtMs < info.startedAtMs)
            markGone(entry);
    }
}

void EndpointRegistry::markGone(Entry &entry)
{
    if (entry.record.gone)
        return;
    toggleHash(entry.record);
    entry.record.gone = true;
    entry.record.servers.clear();
    entry.changed = now(clock_);
    table_ = nullptr;
}

void EndpointRegistry::heard(const NodeId &node)
{
    const auto found = entries_.find(node);
    if (found != entries_.end())
        found->second.heard = now(clock_);
}

const NodeRecord *EndpointRegistry::find(const NodeId &node) const
{
    const auto found = entries_.find(node);
    return found == entries_.end() ? nullptr : &found->second.record;
}

std::optional<TimePoint> EndpointRegistry::timedOutSince(Entry &entry,
                                                         const std::set<NodeId> &caretakers) const
{
    const TimePoint time = now(clock_);
    if (entry.record.caretaker == self_) {
        entry.orphaned.reset();
        if (time - entry.heard < timing_.heartbeatTimeout)
            return std::nullopt;
        return entry.heard;
    }
    if (caretakers.contains(entry.record.caretaker)) {
        entry.orphaned.reset();
        return std::nullopt;
    }
    if (!entry.orphaned)
        entry.orphaned = time;
    if (time - *entry.orphaned < timing_.orphanGracePeriod)
        return std::nullopt;
    return entry.orphaned;
}

std::vector<EndpointRegistry::Entry *>
EndpointRegistry::timedOutEntries(const std::set<NodeId> &caretakers)
{
    std::vector<Entry *> silent;
    for (auto &[id, entry] : entries_) {
        const bool isNear = entry.record.info.dataCentre == dataCentre_;
        if (entry.record.gone || id == self_ || (!isNear && entry.record.caretaker != self_))
            continue;
        if (timedOutSince(entry, caretakers))
            silent.push_back(&entry);
    }
    return silent;
}

bool EndpointRegistry::isMassFailure(std::size_t silent) const
{
    const auto living = std::count_if(entries_.begin(), entries_.end(), [this](const auto &item) {
        const NodeRecord &record = item.second.record;
        return !record.gone && record.info.dataCentre == dataCentre_;
    });
    constexpr std::size_t fewNodes = 4;
    return silent > fewNodes && silent * 2 > static_cast<std::size_t>(living);
}

std::vector<NodeRecord> EndpointRegistry::expire(const std::set<NodeId> &caretakers)
{
    const std::vector<Entry *> silent = timedOutEntries(caretakers);
    const bool mass = isMassFailure(silent.size());
    std::vector<NodeRecord> expired;
    for (Entry *entry : silent) {
        const TimePoint since = entry->orphaned.value_or(entry->heard);
        if (mass && now(clock_) - since < timing_.massFailureTimeout)
            continue;
        markGone(*entry);
        expired.push_back(entry->record);
    }
    return expired;
}

bool EndpointRegistry::collectGarbage()
{
    const TimePoint time = now(clock_);
    const auto isDue = [&](const Entry &entry) {
        if (entry.record.gone)
            return time - entry.changed >= timing_.tombstoneRetention;
        const auto since = unreachableSince_.find(entry.record.info.dataCentre);
        return since != unreachableSince_.end()
                && time - since->second >= timing_.unreachableRetention;
    };
    bool tableChanged = false;
    for (auto it = entries_.begin(); it != entries_.end();) {
        if (!isDue(it->second)) {
            ++it;
            continue;
        }
        tableChanged |= !it->second.record.gone;
        toggleHash(it->second.record);
        it = entries_.erase(it);
    }
    if (tableChanged)
        table_ = nullptr;
    return tableChanged;
}

bool EndpointRegistry::setReachable(const DataCentreId &dataCentre, bool reachable)
{
    if (reachable == !unreachable_.contains(dataCentre))
        return false;
    if (reachable) {
        unreachable_.erase(dataCentre);
        unreachableSince_.erase(dataCentre);
    } else {
        unreachable_.insert(dataCentre);
        unreachableSince_[dataCentre] = now(clock_);
    }
    table_ = nullptr;
    return true;
}

std::set<DataCentreId>
EndpointRegistry::dataCentresServedBy(const std::set<NodeId> &caretakers) const
{
    std::set<DataCentreId> found;
    for (const auto &[id, entry] : entries_) {
        if (!entry.record.gone && caretakers.contains(entry.record.caretaker))
            found.insert(entry.record.info.dataCentre);
    }
    return found;
}

std::uint64_t EndpointRegistry::hash(const DataCentreId &dataCentre) const
{
    const auto found = hashes_.find(dataCentre);
    return found == hashes_.end() ? 0 : found->second;
}

std::uint64_t EndpointRegistry::hash() const
{
    std::uint64_t sum = 0;
    for (const auto &[dataCentre, hash] : hashes_)
        sum ^= hash;
    return sum;
}

void EndpointRegistry::toggleHash(const NodeRecord &record)
{
    if (record.gone)
        return;
    hashes_[record.info.dataCentre]
            ^= rendezvousWeight(record.info.id.value(), std::to_string(record.sequence.value()));
}

void EndpointRegistry::retainOnly(const std::set<NodeId> &nodes)
{
    for (auto it = entries_.begin(); it != entries_.end();) {
        if (it->first == self_ || nodes.contains(it->first)) {
            ++it;
            continue;
        }
        toggleHash(it->second.record);
        it = entries_.erase(it);
        table_ = nullptr;
    }
}

std::set<DataCentreId> EndpointRegistry::dataCentres() const
{
    std::set<DataCentreId> found;
    for (const auto &[id, entry] : entries_)
        found.insert(entry.record.info.dataCentre);
    return found;
}

std::vector<NodeRecord> EndpointRegistry::all() const
{
    std::vector<NodeRecord> records;
    for (const auto &[id, entry] : entries_)
        records.push_back(entry.record);
    return records;
}

std::vector<KnownRecord> EndpointRegistry::known(const DataCentreId &dataCentre) const
{
    std::vector<KnownRecord> list;
    for (const auto &[id, entry] : entries_) {
        if (entry.record.info.dataCentre == dataCentre)
            list.push_back({id, entry.record.sequence, entry.record.gone});
    }
    return list;
}

std::vector<NodeRecord>
EndpointRegistry::recordsNewerThan(const DataCentreId &dataCentre,
                                   const std::vector<KnownRecord> &known) const
{
    std::map<NodeId, KnownRecord> theirs;
    for (const KnownRecord &record : known)
        theirs[record.node] = record;
    std::vector<NodeRecord> records;
    for (const auto &[id, entry] : entries_) {
        const NodeRecord &record = entry.record;
        if (record.info.dataCentre != dataCentre)
            continue;
        const auto held = theirs.find(id);
        const bool missing = held == theirs.end() && !record.gone;
        const bool newer = held != theirs.end()
                && detail::supersedes(record.sequence, record.gone, held->second.sequence,
                                      held->second.gone);
        if (missing || newer)
            records.push_back(record);
    }
    return records;
}

std::shared_ptr<const EndpointTable> EndpointRegistry::table() const
{
    if (!table_)
        table_ = buildTable();
    return table_;
}

std::shared_ptr<const EndpointTable> EndpointRegistry::buildTable() const
{
    auto table = std::make_shared<EndpointTable>();
    for (const auto &[id, entry] : entries_) {
        if (entry.record.gone)
            continue;
        table->nodes[id] = entry.record.info;
        for (const Endpoint &server : entry.record.servers)
            table->servers[server.service].push_back(server);
    }
    table->unreachable = unreachable_;
    return table;
}

} // namespace cornelhead
