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
    const auto found = state_.entries.find(key);
    if (found == state_.entries.end())
        return std::nullopt;
    return KeyValue{key, found->second.value, found->second.modRevision};
}

Listing KeyValueStore::list(std::string_view prefix)
{
    expireLeases();
    Listing listing;
    listing.storeRevision = state_.revision;
    auto entry = state_.entries.lower_bound(std::string(prefix));
    for (; entry != state_.entries.end() && detail::startsWith(entry->first, prefix); ++entry) {
        listing.entries.push_back(
                KeyValue{entry->first, entry->second.value, entry->second.modRevision});
    }
    return listing;
}

ModRevision KeyValueStore::revisionOf(const std::string &key) const
{
    const auto found = state_.entries.find(key);
    return found == state_.entries.end() ? ModRevision() : found->second.modRevision;
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
    if (lease && !state_.leases.contains(*lease))
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
    Entry &entry = state_.entries[key];
    if (!entry.lease.empty())
        state_.leases.at(entry.lease).keys.erase(key);
    recordChange(key);
    entry = Entry{value, state_.revision, lease.value_or(LeaseId())};
    if (lease)
        state_.leases.at(*lease).keys.insert(key);
    CORNELHEAD_CHECK(entry.modRevision > actual);
    return state_.revision;
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
    state_.revision = state_.revision.next();
    state_.log.push_back(Change{state_.revision, key});
    if (state_.log.size() > limits_.loggedChanges)
        state_.log.pop_front();
    CORNELHEAD_CHECK(state_.log.empty()
                     || state_.revision.value() - state_.log.front().revision.value() + 1
                             == state_.log.size());
}

void KeyValueStore::erase(const std::string &key)
{
    const auto entry = state_.entries.find(key);
    CORNELHEAD_CHECK(entry != state_.entries.end());
    if (!entry->second.lease.empty())
        state_.leases.at(entry->second.lease).keys.erase(key);
    state_.entries.erase(entry);
    recordChange(key);
}

Result<WatchResponse> KeyValueStore::changes(std::string_view prefix, ModRevision after)
{
    expireLeases();
    const std::uint64_t logStart = state_.revision.value() - state_.log.size();
    if (after > state_.revision || after.value() < logStart) {
        return fail(ErrorKind::Stale,
                    "the changes after revision " + std::to_string(after.value())
                            + " are not in the log",
                    "list the prefix and watch from the revision of the listing");
    }
    WatchResponse answer;
    answer.storeRevision = state_.revision;
    std::set<std::string_view> seen;
    const auto first = state_.log.begin() + static_cast<std::ptrdiff_t>(after.value() - logStart);
    for (auto change = first; change != state_.log.end(); ++change) {
        const std::string &key = change->key;
        if (!detail::startsWith(key, prefix) || !seen.insert(key).second)
            continue;
        const auto entry = state_.entries.find(key);
        if (entry == state_.entries.end())
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
    const LeaseId id("lease-" + std::to_string(instance_) + "-"
                     + std::to_string(++state_.grantCount));
    state_.leases[id] = Lease{ttl, now(clock_) + ttl, {}};
    return id;
}

Result<void> KeyValueStore::keepAlive(const LeaseId &lease)
{
    expireLeases();
    const auto found = state_.leases.find(lease);
    if (found == state_.leases.end())
        return detail::leaseNotFound(lease);
    found->second.deadline = now(clock_) + found->second.ttl;
    return {};
}

Result<void> KeyValueStore::revoke(const LeaseId &lease)
{
    expireLeases();
    const auto found = state_.leases.find(lease);
    if (found == state_.leases.end())
        return detail::leaseNotFound(lease);
    removeLease(found);
    return {};
}

void KeyValueStore::expireLeases()
{
    const TimePoint time = now(clock_);
    for (auto lease = state_.leases.begin(); lease != state_.leases.end();) {
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
    state_.leases.erase(lease);
}

std::shared_ptr<const KeyValueStore::Copy> KeyValueStore::copy() const
{
    return std::shared_ptr<const Copy>(new Copy(state_));
}

void KeyValueStore::restore(const Copy &copy)
{
    state_ = copy.state_;
    era_ = era_.next();
    for (auto &[id, lease] : state_.leases)
        lease.deadline = now(clock_) + lease.ttl;
    CORNELHEAD_CHECK(isConsistent());
}

bool KeyValueStore::isConsistent() const
{
    std::size_t unmatchedKeys = 0;
    for (const auto &[key, entry] : state_.entries) {
        if (entry.modRevision > state_.revision || entry.modRevision == ModRevision())
            return false;
        if (entry.lease.empty())
            continue;
        ++unmatchedKeys;
        const auto lease = state_.leases.find(entry.lease);
        if (lease == state_.leases.end() || !lease->second.keys.contains(key))
            return false;
    }
    for (const auto &[id, lease] : state_.leases)
        unmatchedKeys -= lease.keys.size();
    std::uint64_t expected = state_.revision.value() - state_.log.size();
    const bool hasGap
            = std::any_of(state_.log.begin(), state_.log.end(), [&](const Change &change) {
                  return change.revision.value() != ++expected;
              });
    return unmatchedKeys == 0 && !hasGap;
}

} // namespace cornelhead
