// Decides which node is the home of a key, and whether this node has been it for long enough.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

#include "cornelhead/base/address.h"
#include "cornelhead/base/clock.h"
#include "cornelhead/membership/endpoint.h"
#include "cornelhead/routing/key-table.h"

namespace cornelhead {

struct OwnershipLimits
{
    /// Bounds how long two nodes of a data centre may disagree on its nodes.
    Milliseconds maxDisagreement = Milliseconds(3000);
    /// Bounds how far the clocks of callers and nodes are apart.
    Milliseconds maxClockSkew = Milliseconds(1000);
    /// A node that did not run for this long treats its ownership as new.
    Milliseconds maxPause = Milliseconds(1000);
    /// A node counts as a member of its data centre for this long after it was last seen.
    Milliseconds memberRetention = Milliseconds(60'000);
    /// Keys older than this are not remembered any more.
    Milliseconds retention = Milliseconds(300'000);
};

/// What this node may do with a key.
enum class Ownership {
    Owner, ///< It has been the home since before the key was born.
    NewOwner, ///< It became the home after the key may have been used elsewhere.
    NotOwner,
    Expired, ///< The key is older than what any home remembers.
};

/// Where a key's calls are to be sent.
struct KeyHome
{
    DataCentreId dataCentre;
    /// Null when no node of that data centre is known.
    const NodeInfo *node = nullptr;
};

/// Tracks the nodes of the fleet as this node has seen them over time.
///
/// A key's data centre is fixed by rendezvous hashing over all data centres ever known, so that a
/// cut between data centres moves no key.  Within it, rendezvous hashing over the nodes seen now
/// names the home.  Two nodes can both be `Owner` of one key only if they disagreed on the nodes
/// of their data centre for longer than `maxDisagreement`.
class KeyOwnership
{
public:
    KeyOwnership(NodeInfo self, std::vector<DataCentreId> dataCentres, OwnershipLimits limits);

    /// Takes the nodes known now.  `wallMs` is wall-clock time.
    void observe(const std::map<NodeId, NodeInfo> &nodes, std::int64_t wallMs);
    /// Notes that this process runs; to be called several times in `maxPause`.
    void tick(TimePoint time, std::int64_t wallMs);

    /// Notes that changes of the fleet still reach this node.  From the first call on, the node
    /// owns no key when the last one is longer ago than `maxDisagreement`.
    void confirm(TimePoint time, std::int64_t wallMs);

    /// Names the home of a key, as if `leaving` were no member any more.
    KeyHome homeOf(const CallKey &key, const NodeId &leaving = NodeId()) const;
    /// Checks this node's own right to run a call with `key`.  `createdAtMs` is when the key was
    /// made, if it tells.
    Ownership check(const CallKey &key, std::optional<std::int64_t> createdAtMs, TimePoint time,
                    std::int64_t wallMs);
    /// Checks as if `successor` were no member: whether this node alone may have run the key
    /// before `successor` became its home.
    Ownership checkWithout(const NodeId &successor, const CallKey &key,
                           std::optional<std::int64_t> createdAtMs, TimePoint time,
                           std::int64_t wallMs);
    /// Names the node that was the home of a key before this one, for a key that is `NewOwner`
    /// here.
    std::optional<NodeInfo> predecessorOf(const CallKey &key) const;
    /// Counts `node` as no member from now on, as it said that it starts no keyed call any more.
    void markLeaving(const NodeId &node, std::int64_t wallMs);
    /// Counts `node` as no member at any time, as it gave up all keys and told what it knew.
    void retire(const NodeId &node) { retired_.insert(node); }
    /// Returns the present nodes of this data centre but the retired ones, this one included.
    std::vector<NodeInfo> members() const;

private:
    // A time over which this node saw the same nodes.
    struct Era
    {
        std::int64_t fromMs = 0;
        std::set<DataCentreId> dataCentres;
        std::vector<NodeId> members;
        bool hasMajority = true;
    };

    void setNodes(const std::map<NodeId, NodeInfo> &nodes);
    void updateSeen(std::int64_t wallMs);
    bool seesMajority() const;
    bool isStale(TimePoint time) const;
    void startEra(std::int64_t wallMs);
    void startEraIfChanged(std::int64_t wallMs);
    const NodeId *ownerIn(const Era &era, const CallKey &key, const NodeId &without) const;
    bool ownedIn(const Era &era, const CallKey &key, const NodeId &without = NodeId()) const;
    bool isCounted(const NodeId &node, const NodeId &without) const
    {
        return node != without && !retired_.contains(node);
    }
    std::optional<std::int64_t> usableBirth(std::optional<std::int64_t> createdAtMs,
                                            std::int64_t wallMs) const;

    const NodeInfo self_;
    const OwnershipLimits limits_;
    // The nodes known now, this one included.
    std::map<DataCentreId, std::vector<NodeInfo>> nodes_;
    std::set<Address> present_;
    // Only grows: a data centre that cannot be seen keeps its keys.
    std::set<DataCentreId> dataCentres_;
    // When each address of this data centre was last seen; a restarted node keeps its address.
    std::map<Address, std::int64_t> seenAt_;
    // The nodes of this data centre by id, kept for as long as an era may name them.
    std::map<NodeId, NodeInfo> known_;
    std::set<NodeId> retired_;
    // Never members again, though others may still list them.
    std::set<NodeId> leaving_;
    // Invariant: never empty, oldest first.
    std::deque<Era> eras_;
    std::optional<TimePoint> lastTick_;
    // Nothing until the first confirmation.
    std::optional<TimePoint> confirmedAt_;
};

/// Returns the wall-clock birth of a UUIDv7 in milliseconds, or nothing for another key.
std::optional<std::int64_t> keyCreatedAtMs(std::string_view idempotencyKey);

} // namespace cornelhead
