// Merges node records and detects nodes that are gone.
#include "cornelhead/membership/endpoint-registry.h"

#include <algorithm>

#include "cornelhead/base/digest.h"

namespace cornelhead {
namespace detail {

bool supersedes(RecordSequence sequence, bool gone, RecordSequence currentSequence,
                bool currentGone)
{
    return sequence > currentSequence || (sequence == currentSequence && gone && !currentGone);
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
        const NodeRecord &current = found->second.record;
        if (!detail::supersedes(record.sequence, record.gone, current.sequence, current.gone))
            return false;
        toggleHash(current);
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
    entry.lastChange = now(clock_);
    table_ = nullptr;
}

void EndpointRegistry::recordHeartbeat(const NodeId &node)
{
    const auto found = entries_.find(node);
    if (found != entries_.end())
        found->second.lastHeartbeat = now(clock_);
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
        entry.orphanedSince.reset();
        if (time - entry.lastHeartbeat < timing_.heartbeatTimeout)
            return std::nullopt;
        return entry.lastHeartbeat;
    }
    if (caretakers.contains(entry.record.caretaker)) {
        entry.orphanedSince.reset();
        return std::nullopt;
    }
    if (!entry.orphanedSince)
        entry.orphanedSince = time;
    if (time - *entry.orphanedSince < timing_.orphanGracePeriod)
        return std::nullopt;
    return entry.orphanedSince;
}

std::vector<EndpointRegistry::Entry *>
EndpointRegistry::timedOutEntries(const std::set<NodeId> &caretakers)
{
    std::vector<Entry *> timedOut;
    for (auto &[id, entry] : entries_) {
        const bool isLocal = entry.record.info.dataCentre == dataCentre_;
        if (entry.record.gone || id == self_ || (!isLocal && entry.record.caretaker != self_))
            continue;
        if (timedOutSince(entry, caretakers))
            timedOut.push_back(&entry);
    }
    return timedOut;
}

bool EndpointRegistry::isMassFailure(std::size_t timedOut) const
{
    const auto live = std::count_if(entries_.begin(), entries_.end(), [this](const auto &item) {
        const NodeRecord &record = item.second.record;
        return !record.gone && record.info.dataCentre == dataCentre_;
    });
    constexpr std::size_t maxIndividualFailures = 4;
    return timedOut > maxIndividualFailures && timedOut * 2 > static_cast<std::size_t>(live);
}

std::vector<NodeRecord> EndpointRegistry::expire(const std::set<NodeId> &caretakers)
{
    const std::vector<Entry *> timedOut = timedOutEntries(caretakers);
    const bool isMass = isMassFailure(timedOut.size());
    std::vector<NodeRecord> expired;
    for (Entry *entry : timedOut) {
        const TimePoint since = entry->orphanedSince.value_or(entry->lastHeartbeat);
        if (isMass && now(clock_) - since < timing_.massFailureTimeout)
            continue;
        markGone(*entry);
        expired.push_back(entry->record);
    }
    return expired;
}

bool EndpointRegistry::collectGarbage()
{
    const TimePoint time = now(clock_);
    const auto isExpired = [&](const Entry &entry) {
        if (entry.record.gone)
            return time - entry.lastChange >= timing_.tombstoneRetention;
        const auto since = unreachableSince_.find(entry.record.info.dataCentre);
        return since != unreachableSince_.end()
                && time - since->second >= timing_.unreachableRetention;
    };
    bool tableChanged = false;
    for (auto it = entries_.begin(); it != entries_.end();) {
        if (!isExpired(it->second)) {
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

std::vector<KnownRecord> EndpointRegistry::recordVersions(const DataCentreId &dataCentre) const
{
    std::vector<KnownRecord> versions;
    for (const auto &[id, entry] : entries_) {
        if (entry.record.info.dataCentre == dataCentre)
            versions.push_back({id, entry.record.sequence, entry.record.gone});
    }
    return versions;
}

std::vector<NodeRecord>
EndpointRegistry::recordsNewerThan(const DataCentreId &dataCentre,
                                   const std::vector<KnownRecord> &known) const
{
    std::map<NodeId, KnownRecord> knownByNode;
    for (const KnownRecord &record : known)
        knownByNode[record.node] = record;
    std::vector<NodeRecord> records;
    for (const auto &[id, entry] : entries_) {
        const NodeRecord &record = entry.record;
        if (record.info.dataCentre != dataCentre)
            continue;
        const auto found = knownByNode.find(id);
        const bool missing = found == knownByNode.end() && !record.gone;
        const bool newer = found != knownByNode.end()
                && detail::supersedes(record.sequence, record.gone, found->second.sequence,
                                      found->second.gone);
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
