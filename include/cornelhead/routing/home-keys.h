// At-most-once execution of keyed calls at the home node of their idempotency key: ownership checks
// and the key table together.
#pragma once

#include "cornelhead/routing/key-ownership.h"
#include "cornelhead/routing/key-table.h"

namespace cornelhead {

/// A call with an idempotency key; it runs at most once.
struct KeyedCall
{
    CallKey key;
    /// Creation time of the key, if the key contains it.
    std::optional<std::int64_t> createdAtMs;
    /// The digest of method, path and body.
    Digest request;
};

/// One instant on the steady clock and on the wall clock.
struct Moment
{
    TimePoint time{};
    std::int64_t wallMs = 0;
};

/// The reply of a key's former home to a new home that asks for the release of the key.
enum class Release {
    Granted, ///< The former home never ran a call with the key and never will.
    AlreadyUsed, ///< The former home has an entry for the key; send the call there.
    Refused, ///< The former home cannot guarantee that the key is unused.
};

/// The handover message of a stopping node to another node of its data centre.
struct Retirement
{
    NodeId node;
    /// The nodes that the keys were divided among, without the stopping node.
    std::vector<NodeId> members;
    /// The finished keys whose home among `members` is the recipient.
    std::vector<FinishedKey> keys;
};

/// Decides whether a keyed call may run at this node, and whether a refusal may say `NotRun`.
///
///     KeyDecision decision = keys.begin(call, moment);
///     // StartRun: run the call, then call exactly one finish function of `table()`.
class HomeKeys
{
public:
    HomeKeys(NodeInfo self, std::vector<DataCentreId> dataCentres, OwnershipLimits ownershipLimits,
             KeyTableLimits tableLimits)
        : self_(self.id), ownership_(std::move(self), std::move(dataCentres), ownershipLimits),
          table_(tableLimits)
    { }

    void observe(const std::map<NodeId, NodeInfo> &nodes, std::int64_t wallMs);
    /// Records that this node still receives membership changes.
    void confirm(Moment moment);
    /// Must be called several times a second.
    void tick(Moment moment);
    /// Returns the home of a key; at a stopping node, the home once this node has left.
    KeyHome homeOf(const CallKey &key) const;
    /// Records that `node` has announced that it starts no more keyed calls.
    void markLeaving(const NodeId &node, Moment moment);
    /// Returns the home of a key as if `leaving` had left.
    KeyHome homeWithout(const NodeId &leaving, const CallKey &key) const;

    /// Decides about a call and, for `StartRun`, marks its key as running.
    KeyDecision begin(const KeyedCall &call, Moment moment);
    /// Returns the former home to ask for the release of a key for which `begin` would refuse the
    /// call as `home-young`.
    std::optional<NodeInfo> predecessorOf(const KeyedCall &call, Moment moment);
    /// Like `begin`, after the former home has granted the release of the key.
    KeyDecision beginReleased(const KeyedCall &call, Moment moment);
    /// Releases a key to `successor`, which now considers itself its home.
    Release release(const KeyedCall &call, const NodeId &successor, Moment moment);

    /// Stops starting calls; keys are still released on request until the first `retirementFor`.
    void startRetiring() { isRetiring_ = true; }
    bool isRetiring() const { return isRetiring_; }
    /// Returns whether no keyed call is running.
    bool isIdle() const { return table_.runningKeys() == 0; }
    /// Returns the nodes of this data centre that take over the keys.
    std::vector<NodeInfo> successors() const;
    /// Returns the message for one of the successors.  Requires `isRetiring` and `isIdle`.  After
    /// the first call, no key is released any more.
    Retirement retirementFor(const NodeId &recipient);
    /// Returns whether `members`, for which the messages were made, are still the successors.
    bool areSuccessors(const std::vector<NodeId> &members) const;
    /// Imports the keys of a stopping node.  Returns false if this node has already handed over its
    /// own keys, as the imported ones would be lost when it stops.
    bool takeOver(const Retirement &retirement, Moment moment);
    /// Treats a stopping node as if it had never been a member.  Must be called only after every
    /// successor has imported its keys.  Returns false if the two nodes see different members.
    bool confirmRetired(const NodeId &node, const std::vector<NodeId> &members, Moment moment);
    /// Refuses a call for `reason`, unless its key has an entry.  The refusal says `NotRun` only if
    /// this node is certain that no call with the key has ever run.
    KeyDecision refuse(const KeyedCall &call, RefusalReason reason, Moment moment);

    KeyTable &table() { return table_; }

private:
    const NodeId self_;
    KeyOwnership ownership_;
    KeyTable table_;
    bool isRetiring_ = false;
    // Set by the first `retirementFor`; the key table must not change after it.
    bool isRetired_ = false;
};

} // namespace cornelhead
