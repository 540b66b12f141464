// Determines the home node of an idempotency key, and whether this node has been the home for long
// enough to run calls with it.
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
    /// How long two nodes of a data centre may see different members.
    Milliseconds maxDisagreement = Milliseconds(3000);
    /// Between the clocks of callers and nodes.
    Milliseconds maxClockSkew = Milliseconds(1000);
    /// After a longer pause of its process, a node treats its ownership as new.
    Milliseconds maxPause = Milliseconds(1000);
    /// How long after it was last seen a node counts for the majority of its data centre.
    Milliseconds memberRetention = Milliseconds(60'000);
    /// Homes may have removed keys that are older.
    Milliseconds retention = Milliseconds(300'000);
};

/// The right of this node to run calls with a key.
enum class Ownership {
    Owner, ///< The node has been the home since before the key was created.
    NewOwner, ///< The node is or may be the home, but the key may have been used elsewhere before.
    NotOwner,
    Expired, ///< The key is older than the retention of any home.
};

/// The destination of calls with a key.
struct KeyHome
{
    DataCentreId dataCentre;
    /// Null if no node of that data centre is known.
    const NodeInfo *node = nullptr;
};

/// Derives key ownership from the history of the membership that this node has seen.
///
/// Rendezvous hashing over all data centres ever known selects the data centre of a key, so a
/// network partition between data centres moves no key.  Rendezvous hashing over the present nodes
/// of that data centre selects the home.  Two nodes can both be `Owner` of a key only if they saw
/// different members of their data centre for longer than `maxDisagreement`.
class KeyOwnership
{
public:
    KeyOwnership(NodeInfo self, std::vector<DataCentreId> dataCentres, OwnershipLimits limits);

    /// Sets the present nodes of the fleet.  `wallMs` is wall-clock time.
    void observe(const std::map<NodeId, NodeInfo> &nodes, std::int64_t wallMs);
    /// Records that this process is running; must be called several times in each `maxPause`.
    void tick(TimePoint time, std::int64_t wallMs);

    /// Records that this node still receives membership changes.  From the first call on, the node
    /// owns no key while the last call is longer ago than `maxDisagreement`.
    void confirm(TimePoint time, std::int64_t wallMs);

    /// Returns the home of a key as if `leaving` were not a member.
    KeyHome homeOf(const CallKey &key, const NodeId &leaving = NodeId()) const;
    /// Checks this node's right to run a call with `key`.  `createdAtMs` is the key's creation
    /// time, if known.
    Ownership check(const CallKey &key, std::optional<std::int64_t> createdAtMs, TimePoint time,
                    std::int64_t wallMs);
    /// Like `check`, as if `successor` were not a member: `Owner` means that no other node can have
    /// run a call with the key before `successor` became its home.
    Ownership checkWithout(const NodeId &successor, const CallKey &key,
                           std::optional<std::int64_t> createdAtMs, TimePoint time,
                           std::int64_t wallMs);
    /// Returns the previous home of a key for which this node is a `NewOwner`.
    std::optional<NodeInfo> predecessorOf(const CallKey &key) const;
    /// Removes `node` from the members for good; it has announced that it starts no more keyed
    /// calls.
    void markLeaving(const NodeId &node, std::int64_t wallMs);
    /// Removes `node` from past epochs too; it has handed over all its keys.
    void retire(const NodeId &node) { retired_.insert(node); }
    /// Returns the present nodes of this data centre except retired ones, including this node.
    std::vector<NodeInfo> members() const;

private:
    // A period in which the membership that this node saw did not change.
    struct Epoch
    {
        std::int64_t startMs = 0;
        std::set<DataCentreId> dataCentres;
        std::vector<NodeId> members;
        bool hasMajority = true;
    };

    void setNodes(const std::map<NodeId, NodeInfo> &nodes);
    void updateLastSeen(std::int64_t wallMs);
    bool seesMajority() const;
    bool isStale(TimePoint time) const;
    void startEpoch(std::int64_t wallMs);
    void startEpochIfChanged(std::int64_t wallMs);
    const NodeId *ownerIn(const Epoch &epoch, const CallKey &key, const NodeId &without) const;
    bool isOwnedIn(const Epoch &epoch, const CallKey &key, const NodeId &without = NodeId()) const;
    bool isMember(const NodeId &node, const NodeId &without) const
    {
        return node != without && !retired_.contains(node);
    }
    std::optional<std::int64_t> plausibleCreation(std::optional<std::int64_t> createdAtMs,
                                                  std::int64_t wallMs) const;

    const NodeInfo self_;
    const OwnershipLimits limits_;
    // The present nodes, including this one.
    std::map<DataCentreId, std::vector<NodeInfo>> nodes_;
    // The addresses of the present nodes of this data centre.
    std::set<Address> presentAddresses_;
    // Only grows: an unreachable data centre keeps its keys.
    std::set<DataCentreId> dataCentres_;
    // When each address of this data centre was last seen.  Keyed by address because a restarted
    // node keeps its address but not its id.
    std::map<Address, std::int64_t> lastSeenMs_;
    // All nodes of this data centre seen so far; epochs refer to them by id.
    std::map<NodeId, NodeInfo> knownNodes_;
    std::set<NodeId> retired_;
    // Never members again, although other nodes may still list them.
    std::set<NodeId> leaving_;
    // Invariant: never empty, oldest first.
    std::deque<Epoch> epochs_;
    std::optional<TimePoint> lastTick_;
    // Empty until the first confirmation.
    std::optional<TimePoint> confirmedAt_;
};

/// Returns the Unix time in milliseconds that a UUIDv7 key contains, or nothing for any other key.
std::optional<std::int64_t> keyCreatedAtMs(std::string_view idempotencyKey);

} // namespace cornelhead
