// A node's registry of all nodes and their backend servers, merged from announcements that may
// arrive late, twice or out of order.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "cornelhead/base/clock.h"
#include "cornelhead/base/ids.h"
#include "cornelhead/membership/endpoint.h"

namespace cornelhead {

/// Orders the records of one run of a node; only that node increments it.
using RecordSequence = Number<struct RecordSequenceTag>;

/// One run of a node with the backend servers of its host.
struct NodeRecord
{
    NodeInfo info;
    RecordSequence sequence;
    /// The node has left or timed out; final for this sequence.
    bool gone = false;
    /// The relay that receives the node's heartbeats.  While this relay is alive, no other one may
    /// mark the node as gone.
    NodeId caretaker;
    std::vector<Endpoint> servers;

    friend bool operator==(const NodeRecord &, const NodeRecord &) = default;
};

/// The version of one node's record in another registry; shows which records that one lacks.
struct KnownRecord
{
    NodeId node;
    RecordSequence sequence;
    bool gone = false;
};

struct RegistryTiming
{
    /// A node attached here is gone after this time without a heartbeat.
    Milliseconds heartbeatTimeout = Milliseconds(1500);
    /// Time for a node to attach to another relay after its caretaker is lost.
    Milliseconds orphanGracePeriod = Milliseconds(6000);
    /// Replaces the times above when most nodes of a data centre time out at once.
    Milliseconds massFailureTimeout = Milliseconds(30000);
    /// How long the records of an unreachable data centre are kept.
    Milliseconds unreachableRetention = Milliseconds(300000);
    /// How long records of gone nodes are kept as tombstones; must exceed the time for which an
    /// earlier record can survive on another node.
    Milliseconds tombstoneRetention = Milliseconds(900000);
};

/// Merges records by node and sequence, and marks nodes as gone whose heartbeats time out.
///
/// Invariant: the pair (sequence, gone) of a node never decreases.
class EndpointRegistry
{
public:
    EndpointRegistry(NodeId self, DataCentreId dataCentre, Clock clock, RegistryTiming timing);

    /// Stores `record` if it supersedes the current one; returns whether it was stored.
    bool merge(const NodeRecord &record);
    /// Records a heartbeat of a node attached here.
    void recordHeartbeat(const NodeId &node);
    const NodeRecord *find(const NodeId &node) const;

    /// Marks timed-out nodes as gone and returns their records.  Covers nodes attached here, and
    /// nodes of this data centre whose caretaker is lost.
    ///
    /// `caretakers` are the relays that are alive, including this node.
    std::vector<NodeRecord> expire(const std::set<NodeId> &caretakers);
    /// Removes records whose retention has ended; returns whether the table changed.
    bool collectGarbage();

    /// Sets whether a data centre can be reached; returns whether this changed.
    bool setReachable(const DataCentreId &dataCentre, bool reachable);
    /// Returns the data centres with a live node whose caretaker is one of `caretakers`.
    std::set<DataCentreId> dataCentresServedBy(const std::set<NodeId> &caretakers) const;
    const std::set<DataCentreId> &unreachable() const { return unreachable_; }

    /// Returns a hash that is equal for registries with equal live records of `dataCentre`.
    std::uint64_t hash(const DataCentreId &dataCentre) const;
    /// Returns the hash over all data centres.
    std::uint64_t hash() const;
    /// Removes nodes that are not in `nodes`, except for this one.
    void retainOnly(const std::set<NodeId> &nodes);
    std::set<DataCentreId> dataCentres() const;
    std::vector<NodeRecord> all() const;
    /// Returns the versions of all records of `dataCentre`.
    std::vector<KnownRecord> recordVersions(const DataCentreId &dataCentre) const;
    /// Returns the records of `dataCentre` that supersede those in `known` or are missing there.
    std::vector<NodeRecord> recordsNewerThan(const DataCentreId &dataCentre,
                                             const std::vector<KnownRecord> &known) const;

    /// Returns the live nodes and their servers; the same pointer until something changes.
    std::shared_ptr<const EndpointTable> table() const;

private:
    struct Entry
    {
        NodeRecord record;
        TimePoint lastChange;
        TimePoint lastHeartbeat;
        /// When the loss of its caretaker was noticed; nothing while it has one.
        std::optional<TimePoint> orphanedSince;
    };

    void markEarlierRunsGone(const NodeInfo &info);
    bool hasLaterRun(const NodeInfo &info) const;
    // Adds a live record to the hash of its data centre, or removes it.  Ignores gone records.
    void toggleHash(const NodeRecord &record);
    void markGone(Entry &entry);
    std::vector<Entry *> timedOutEntries(const std::set<NodeId> &caretakers);
    std::optional<TimePoint> timedOutSince(Entry &entry, const std::set<NodeId> &caretakers) const;
    bool isMassFailure(std::size_t timedOut) const;
    std::shared_ptr<const EndpointTable> buildTable() const;

    NodeId self_;
    DataCentreId dataCentre_;
    Clock clock_;
    RegistryTiming timing_;
    std::map<NodeId, Entry> entries_;
    // XOR over the live records of each data centre.
    std::map<DataCentreId, std::uint64_t> hashes_;
    std::set<DataCentreId> unreachable_;
    std::map<DataCentreId, TimePoint> unreachableSince_;
    // Null if the table must be rebuilt.
    mutable std::shared_ptr<const EndpointTable> table_;
};

} // namespace cornelhead
