// Implements reads, writes, watches and lease expiry of the store.
#include "cornelhead/standin/key-value-store.h"

#include <algorithm>

#include "cornelhead/base/check.h"

namespace cornelhead {
namespace detail {

bool startsWith(std::string_view text, std::string_view prefix)
{
    return text.substr(0, prefix.size()) == prefix;
}

tl::unexpected<Error> leaseNotFound(const LeaseId &lease)
{
    return fail(ErrorKind::NotFound, "the lease '" + lease.value() + "' does not exist",
                "grant a new lease and read the state before writing");
}

tl::unexpected<Error> conflict(const std::string &key, ModRevision expected, ModRevision actual)
{
    return fail(ErrorKind::Conflict,
                key + " is at revision " + std::to_string(actual.value()) + ", not "
                        + std::to_string(expected.value()),
                "read the key again and retry with its current revision");
}

} // namespace detail

KeyValueStore::KeyValueStore(StoreLimits limits, Clock clock, std::uint64_t instance)
    : limits_(limits), clock_(std::move(clock)), instance_(instance)
{ }

std::optional<KeyValue> KeyValueStore::get(const std::string &key)
{
    expireLeases();
    const auto found = entries_.find(key);
    if (found == entries_.end())
        return std::nullopt;
    return KeyValue{key, found->second.value, found->second.modRevision};
}

Listing KeyValueStore::list(std::string_view prefix)
{
    expireLeases();
    Listing listing;
    listing.storeRevision = revision_;
    auto entry = entries_.lower_bound(std::string(prefix));
    for (; entry != entries_.end() && detail::startsWith(entry->first, prefix); ++entry) {
        listing.entries.push_back(
                KeyValue{entry->first, entry->second.value, entry->second.modRevision});
    }
    return listing;
}

ModRevision KeyValueStore::revisionOf(const std::string &key) const
{
    const auto found = entries_.find(key);
    return found == entries_.end() ? ModRevision() : found->second.modRevision;
}

Result<void> KeyValueStore::checkWrite(const std::string &key, const std::string &value,
                                       const std::optional<LeaseId> &lease) const
{
    if (key.empty() || key.size() > limits_.maxKeyBytes) {
        return fail(ErrorKind::InvalidMessage, "the key is empty or too long",
                    "use 1 to " + std::to_string(limits_.maxKeyBytes) + " bytes");
    }
    if (value.size() > limits_.maxValueBytes) {
        return fail(ErrorKind::TooLarge,
                    "the value of " + key + " has " + std::to_string(value.size()) + " bytes",
                    "split it into values of at most " + std::to_string(limits_.maxValueBytes)
                            + " bytes");
    }
    if (lease && !leases_.contains(*lease))
        return detail::leaseNotFound(*lease);
    return {};
}

Result<ModRevision> KeyValueStore::put(const std::string &key, const std::string &value,
                                       ExpectedRevision expected,
                                       const std::optional<LeaseId> &lease)
{
    expireLeases();
    if (Result<void> valid = checkWrite(key, value, lease); !valid)
        return tl::unexpected(valid.error());
    const ModRevision actual = revisionOf(key);
    if (actual != expected.modRevision)
        return detail::conflict(key, expected.modRevision, actual);
    Entry &entry = entries_[key];
    if (!entry.lease.empty())
        leases_.at(entry.lease).keys.erase(key);
    recordChange(key);
    entry = Entry{value, revision_, lease.value_or(LeaseId())};
    if (lease)
        leases_.at(*lease).keys.insert(key);
    CORNELHEAD_CHECK(entry.modRevision > actual);
    return revision_;
}

Result<void> KeyValueStore::remove(const std::string &key, ExpectedRevision expected)
{
    expireLeases();
    const ModRevision actual = revisionOf(key);
    if (actual != expected.modRevision)
        return detail::conflict(key, expected.modRevision, actual);
    if (actual == ModRevision())
        return fail(ErrorKind::NotFound, key + " does not exist", "nothing is left to remove");
    erase(key);
    return {};
}

void KeyValueStore::recordChange(const std::string &key)
{
    revision_ = revision_.next();
    log_.push_back(Change{revision_, key});
    if (log_.size() > limits_.loggedChanges)
        log_.pop_front();
    CORNELHEAD_CHECK(log_.empty()
                     || revision_.value() - log_.front().revision.value() + 1 == log_.size());
}

void KeyValueStore::erase(const std::string &key)
{
    const auto entry = entries_.find(key);
    CORNELHEAD_CHECK(entry != entries_.end());
    if (!entry->second.lease.empty())
        leases_.at(entry->second.lease).keys.erase(key);
    entries_.erase(entry);
    recordChange(key);
}

Result<WatchResponse> KeyValueStore::changes(std::string_view prefix, ModRevision after)
{
    expireLeases();
    const std::uint64_t logStart = revision_.value() - log_.size();
    if (after > revision_ || after.value() < logStart) {
        return fail(ErrorKind::Stale,
                    "the changes after revision " + std::to_string(after.value())
                            + " are not in the log",
                    "list the prefix and watch from the revision of the listing");
    }
    WatchResponse answer;
    answer.storeRevision = revision_;
    std::set<std::string_view> seen;
    const auto first = log_.begin() + static_cast<std::ptrdiff_t>(after.value() - logStart);
    for (auto change = first; change != log_.end(); ++change) {
        const std::string &key = change->key;
        if (!detail::startsWith(key, prefix) || !seen.insert(key).second)
            continue;
        const auto entry = entries_.find(key);
        if (entry == entries_.end())
            answer.removed.push_back(key);
        else
            answer.changed.push_back(KeyValue{key, entry->second.value, entry->second.modRevision});
    }
    return answer;
}

Result<LeaseId> KeyValueStore::grant(Milliseconds ttl)
{
    expireLeases();
    if (ttl < limits_.minTtl || ttl > limits_.maxTtl) {
        return fail(ErrorKind::InvalidMessage,
                    "a lease of " + std::to_string(ttl.count()) + " ms is out of range",
                    "ask for " + std::to_string(limits_.minTtl.count()) + " to "
                            + std::to_string(limits_.maxTtl.count()) + " ms");
    }
    const LeaseId id("lease-" + std::to_string(instance_) + "-" + std::to_string(++grantCount_));
    leases_[id] = Lease{ttl, now(clock_) + ttl, {}};
    return id;
}

Result<void> KeyValueStore::keepAlive(const LeaseId &lease)
{
    expireLeases();
    const auto found = leases_.find(lease);
    if (found == leases_.end())
        return detail::leaseNotFound(lease);
    found->second.deadline = now(clock_) + found->second.ttl;
    return {};
}

Result<void> KeyValueStore::revoke(const LeaseId &lease)
{
    expireLeases();
    const auto found = leases_.find(lease);
    if (found == leases_.end())
        return detail::leaseNotFound(lease);
    removeLease(found);
    return {};
}

void KeyValueStore::expireLeases()
{
    const TimePoint time = now(clock_);
    for (auto lease = leases_.begin(); lease != leases_.end();) {
        const auto current = lease++;
        if (current->second.deadline <= time)
            removeLease(current);
    }
}

void KeyValueStore::removeLease(std::map<LeaseId, Lease>::iterator lease)
{
    const std::set<std::string> keys = lease->second.keys;
    for (const std::string &key : keys)
        erase(key);
    CORNELHEAD_CHECK(lease->second.keys.empty());
    leases_.erase(lease);
}

bool KeyValueStore::isConsistent() const
{
    std::size_t unmatchedKeys = 0;
    for (const auto &[key, entry] : entries_) {
        if (entry.modRevision > revision_ || entry.modRevision == ModRevision())
            return false;
        if (entry.lease.empty())
            continue;
        ++unmatchedKeys;
        const auto lease = leases_.find(entry.lease);
        if (lease == leases_.end() || !lease->second.keys.contains(key))
            return false;
    }
    for (const auto &[id, lease] : leases_)
        unmatchedKeys -= lease.keys.size();
    std::uint64_t expected = revision_.value() - log_.size();
    const bool hasGap = std::any_of(log_.begin(), log_.end(), [&](const Change &change) {
        return change.revision.value() != ++expected;
    });
    return unmatchedKeys == 0 && !hasGap;
}

} // namespace cornelhead
