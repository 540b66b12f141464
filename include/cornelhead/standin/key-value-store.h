// The stand-in's key-value store: compare-and-swap, leases and a bounded log of changes, as a state
// machine over an injected clock.
#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "cornelhead/base/clock.h"
#include "cornelhead/base/error.h"
#include "cornelhead/base/ids.h"
#include "cornelhead/platform/client.h"

namespace cornelhead {

struct StoreLimits
{
    std::size_t maxValueBytes = 1024 * 1024;
    std::size_t maxKeyBytes = 1024;
    /// Changes kept for watchers; one that is further behind has to list.
    std::size_t loggedChanges = 10'000;
    Milliseconds minTtl = Milliseconds(100);
    Milliseconds maxTtl = std::chrono::hours(1);
};

/// Holds the keys.  Every function first lets leases lapse whose time has come.
///
///     KeyValueStore store({}, clock, seed);
///     Result<ModRevision> written = store.put("a", "1", Expected{}, std::nullopt);
class KeyValueStore
{
public:
    /// `instance` tells the leases of this run from those of an earlier one.
    KeyValueStore(StoreLimits limits, Clock clock, std::uint64_t instance);

    std::optional<KeyValue> get(const std::string &key);
    Listing list(std::string_view prefix);
    /// Fails with `Conflict`, `TooLarge`, `InvalidMessage` for a bad key, or `NotFound` for a
    /// lapsed lease.
    Result<ModRevision> put(const std::string &key, const std::string &value, Expected expected,
                            const std::optional<LeaseId> &lease);
    /// Fails with `Conflict`, or `NotFound` when the key does not exist and this was expected.
    Result<void> remove(const std::string &key, Expected expected);
    /// Returns what changed under `prefix` after `after`; empty when nothing did.  Fails with
    /// `Stale` when the log no longer reaches back so far.
    Result<WatchAnswer> changes(std::string_view prefix, ModRevision after);
    /// Fails with `InvalidMessage` for a ttl out of range.
    Result<LeaseId> grant(Milliseconds ttl);
    /// Fails with `NotFound` when the lease lapsed.
    Result<void> keepAlive(const LeaseId &lease);
    /// Removes the lease's keys at once.  Fails with `NotFound` when the lease lapsed.
    Result<void> revoke(const LeaseId &lease);
    void expireLeases();

    ModRevision revision() const { return revision_; }
    std::size_t size() const { return entries_.size(); }
    std::size_t leaseCount() const { return leases_.size(); }
    /// Checks all invariants; takes time in proportion to the store.
    bool isConsistent() const;

private:
    struct Entry
    {
        std::string value;
        ModRevision modRevision;
        LeaseId lease;
    };
    struct Lease
    {
        Milliseconds ttl{};
        TimePoint deadline;
        std::set<std::string> keys;
    };
    struct Change
    {
        ModRevision revision;
        std::string key;
    };

    ModRevision revisionOf(const std::string &key) const;
    Result<void> checkWrite(const std::string &key, const std::string &value,
                            const std::optional<LeaseId> &lease) const;
    void recordChange(const std::string &key);
    void erase(const std::string &key);
    void removeLease(std::map<LeaseId, Lease>::iterator lease);

    StoreLimits limits_;
    Clock clock_;
    std::uint64_t instance_;
    std::uint64_t grantCount_ = 0;
    std::map<std::string, Entry> entries_;
    // A key is in its lease's set exactly when its entry names the lease.
    std::map<LeaseId, Lease> leases_;
    // Revisions follow each other without a gap and end at revision_.
    std::deque<Change> log_;
    // No entry has a greater modification revision.
    ModRevision revision_;
};

} // namespace cornelhead
