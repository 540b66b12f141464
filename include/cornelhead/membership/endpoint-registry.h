// What a node knows of all nodes and their backend servers, merged from announcements that may
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

/// Orders the records of one run of a node; only the node itself raises it.
using RecordSequence = Number<struct RecordSequenceTag>;

/// One run of a node with the backend servers of its host.
struct NodeRecord
{
    NodeInfo info;
    RecordSequence sequence;
    /// The node has left or was given up; final for this sequence.
    bool gone = false;
    /// The relay that hears the node's heartbeats and alone may give it up while it lives.
    NodeId caretaker;
    std::vector<Endpoint> servers;

    friend bool operator==(const NodeRecord &, const NodeRecord &) = default;
};

/// What another registry holds of one node, for finding out what it lacks.
struct KnownRecord
{
    NodeId node;
    RecordSequence sequence;
    bool gone = false;
};

struct RegistryTiming
{
    /// A node attached here that says nothing for so long is gone.
    Milliseconds heartbeatTimeout = Milliseconds(1500);
    /// A node whose caretaker is lost has so long to attach elsewhere.
    Milliseconds orphanGracePeriod = Milliseconds(6000);
    /// Replaces the times above when most of a data centre seems silent at once.
    Milliseconds massFailureTimeout = Milliseconds(30000);
    /// Records of a data centre that cannot be reached are kept so long.
    Milliseconds unreachableRetention = Milliseconds(300000);
    /// Tombstones outlive every copy of the record that they markGone.
    Milliseconds tombstoneRetention = Milliseconds(900000);
};

/// Merges records by node and sequence, and gives up silent nodes.
///
/// Invariant: for one node, (sequence, gone) never goes down.
class EndpointRegistry
{
public:
    EndpointRegistry(NodeId self, DataCentreId dataCentre, Clock clock, RegistryTiming timing);

    /// Takes a record that supersedes the one held; tells whether it did.
    bool merge(const NodeRecord &record);
    /// Notes a sign of life of a node attached here.
    void heard(const NodeId &node);
    const NodeRecord *find(const NodeId &node) const;

    /// Marks nodes gone whose heartbeatTimeout lasted; returns their records.  Judges nodes
    /// attached here, and those of this data centre whose caretaker is lost.
    ///
    /// `caretakers` are the relays heard of now, this node among them.
    std::vector<NodeRecord> expire(const std::set<NodeId> &caretakers);
    /// Drops what was kept long enough; tells whether the table changed.
    bool collectGarbage();

    /// Notes whether a data centre can be reached; tells whether that is news.
    bool setReachable(const DataCentreId &dataCentre, bool reachable);
    /// Returns the data centres of which some node lives in the care of one of `caretakers`.
    std::set<DataCentreId> dataCentresServedBy(const std::set<NodeId> &caretakers) const;
    const std::set<DataCentreId> &unreachable() const { return unreachable_; }

    /// Returns a number that is equal for registries with equal living records of `dataCentre`.
    std::uint64_t hash(const DataCentreId &dataCentre) const;
    /// Returns such a number over all data centres.
    std::uint64_t hash() const;
    /// Forgets nodes that are not in `nodes`, but for this one.
    void retainOnly(const std::set<NodeId> &nodes);
    std::set<DataCentreId> dataCentres() const;
    std::vector<NodeRecord> all() const;
    std::vector<KnownRecord> known(const DataCentreId &dataCentre) const;
    /// Returns records of `dataCentre` that supersede those of `known` or are missing there.
    std::vector<NodeRecord> recordsNewerThan(const DataCentreId &dataCentre,
                                             const std::vector<KnownRecord> &known) const;

    /// Returns the living nodes and their servers; the same pointer until something changes.
    std::shared_ptr<const EndpointTable> table() const;

private:
    struct Entry
    {
        NodeRecord record;
        TimePoint changed;
        TimePoint heard;
        /// Since when its caretaker is lost.
        std::optional<TimePoint> orphaned;
    };

    void markEarlierRunsGone(const NodeInfo &info);
    bool hasLaterRun(const NodeInfo &info) const;
    // Adds a living record to the hash of its data centre, or takes it out.
    void toggleHash(const NodeRecord &record);
    void markGone(Entry &entry);
    std::vector<Entry *> timedOutEntries(const std::set<NodeId> &caretakers);
    std::optional<TimePoint> timedOutSince(Entry &entry, const std::set<NodeId> &caretakers) const;
    bool isMassFailure(std::size_t silent) const;
    std::shared_ptr<const EndpointTable> buildTable() const;

    NodeId self_;
    DataCentreId dataCentre_;
    Clock clock_;
    RegistryTiming timing_;
    std::map<NodeId, Entry> entries_;
    // Over the living records of each data centre.
    std::map<DataCentreId, std::uint64_t> hashes_;
    std::set<DataCentreId> unreachable_;
    std::map<DataCentreId, TimePoint> unreachableSince_;
    // Null when the table must be built again.
    mutable std::shared_ptr<const EndpointTable> table_;
};

} // namespace cornelhead
