// An in-memory key-value store with compare-and-swap, leases and a bounded change log, as a state
// machine with an injected clock.
#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <memory>
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
    /// Changes kept for watches; a watcher that is further behind must list the prefix again.
    std::size_t loggedChanges = 10'000;
    Milliseconds minTtl = Milliseconds(100);
    Milliseconds maxTtl = std::chrono::hours(1);
};

/// Every operation first removes expired leases and their keys.
///
///     KeyValueStore store({}, clock, seed);
///     Result<ModRevision> written = store.put("a", "1", ExpectedRevision{}, std::nullopt);
class KeyValueStore
{
public:
    /// `instance` is part of every lease id, so that leases of an earlier process are not accepted.
    KeyValueStore(StoreLimits limits, Clock clock, std::uint64_t instance);

    std::optional<KeyValue> get(const std::string &key);
    Listing list(std::string_view prefix);
    /// Fails with `Conflict`, `TooLarge`, `InvalidMessage` for an invalid key, or `NotFound` for an
    /// expired lease.
    Result<ModRevision> put(const std::string &key, const std::string &value,
                            ExpectedRevision expected, const std::optional<LeaseId> &lease);
    /// Fails with `Conflict`, or `NotFound` if the key does not exist and the caller expected none.
    Result<void> remove(const std::string &key, ExpectedRevision expected);
    /// Returns the changes under `prefix` after revision `after`, possibly none.  Fails with
    /// `Stale` if the log does not reach back to `after`.
    Result<WatchResponse> changes(std::string_view prefix, ModRevision after);
    /// Fails with `InvalidMessage` if `ttl` is out of range.
    Result<LeaseId> grant(Milliseconds ttl);
    /// Fails with `NotFound` if the lease expired.
    Result<void> keepAlive(const LeaseId &lease);
    /// Removes the lease and its keys.  Fails with `NotFound` if the lease expired.
    Result<void> revoke(const LeaseId &lease);
    void expireLeases();

    class Copy;
    /// Returns a copy of the whole state.
    std::shared_ptr<const Copy> copy() const;
    /// Comes back from an older copy: later writes and leases are lost, revisions and lease ids are
    /// given out again, and a new era begins.  Leases of the copy run from now.
    void restore(const Copy &copy);
    /// Counts the calls of `restore`.
    StoreEra era() const { return era_; }

    ModRevision revision() const { return state_.revision; }
    std::size_t size() const { return state_.entries.size(); }
    std::size_t leaseCount() const { return state_.leases.size(); }
    /// Checks all invariants in time linear in the size of the store.
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

    struct State
    {
        std::uint64_t grantCount = 0;
        std::map<std::string, Entry> entries;
        // Lease::keys holds a key if and only if the entry of that key names the lease.
        std::map<LeaseId, Lease> leases;
        // Revisions are consecutive and end at `revision`.
        std::deque<Change> log;
        // No entry has a higher modification revision.
        ModRevision revision;
    };

    StoreLimits limits_;
    Clock clock_;
    std::uint64_t instance_;
    StoreEra era_;
    State state_;
};

/// The state of a store at one moment.
class KeyValueStore::Copy
{
    friend class KeyValueStore;
    explicit Copy(State state) : state_(std::move(state)) { }
    State state_;
};

} // namespace cornelhead
