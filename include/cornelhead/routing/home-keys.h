// The part of a node that is home to idempotency keys: ownership and table together.
#pragma once

#include "cornelhead/routing/key-ownership.h"
#include "cornelhead/routing/key-table.h"

namespace cornelhead {

/// A call that runs at most once.
struct KeyedCall
{
    CallKey key;
    std::optional<std::int64_t> createdAtMs;
    /// Of method, path and body.
    Digest request;
};

/// The same moment on both clocks.
struct Moment
{
    TimePoint time{};
    std::int64_t wallMs = 0;
};

/// What a former home answers when a new one asks for a key.
enum class Release {
    Granted, ///< The former home never ran the key and never will.
    AlreadyUsed, ///< The former home remembers the key; it can answer the call.
    Refused, ///< The former home cannot vouch for the key.
};

/// What a stopping node tells another of its data centre.
struct Retirement
{
    NodeId node;
    /// The members among which the stopping node shared out its keys, without itself.
    std::vector<NodeId> members;
    /// The keys whose home the reader is among these members.
    std::vector<FinishedKey> keys;
};

/// Decides whether a keyed call may run here, and what a refusal may truly say.
///
///     KeyDecision verdict = keys.begin(call, moment);
///     // StartRun: run it, then call exactly one of the finish functions.
class HomeKeys
{
public:
    HomeKeys(NodeInfo self, std::vector<DataCentreId> dataCentres, OwnershipLimits ownership,
             KeyTableLimits table)
        : self_(self.id), ownership_(std::move(self), std::move(dataCentres), ownership),
          table_(table)
    { }

    void observe(const std::map<NodeId, NodeInfo> &nodes, std::int64_t wallMs);
    /// Notes that changes of the fleet still reach this node.
    void confirm(Moment moment);
    /// To be called several times a second.
    void tick(Moment moment);
    /// Names the home of a key; a stopping node names the one after itself.
    KeyHome homeOf(const CallKey &key) const;
    /// Notes that `node` said that it starts no keyed call any more.
    void markLeaving(const NodeId &node, Moment moment);
    /// Names the home of a key after `leaving` has left.
    KeyHome homeWithout(const NodeId &leaving, const CallKey &key) const;

    KeyDecision begin(const KeyedCall &call, Moment moment);
    /// Names the former home that may vouch for a call that `begin` would refuse as `home-young`.
    std::optional<NodeInfo> predecessorOf(const KeyedCall &call, Moment moment);
    /// Begins a call for which the former home granted the release of its key.
    KeyDecision beginReleased(const KeyedCall &call, Moment moment);
    /// Gives up a key to `successor`, which sees itself as its home now.
    Release release(const KeyedCall &call, const NodeId &successor, Moment moment);

    /// Starts no call any more; keys are released on request until `retirementFor`.
    void startRetiring() { isRetiring_ = true; }
    bool isRetiring() const { return isRetiring_; }
    /// Tells whether no call runs any more.
    bool isIdle() const { return table_.runningKeys() == 0; }
    /// Returns the members of this data centre that are to be told of the retirement.
    std::vector<NodeInfo> successors() const;
    /// Makes the message for one of the successors.  To be sent once `isIdle`; from the first one
    /// on, no key is released any more.
    Retirement retirementFor(const NodeId &reader);
    /// Tells whether all successors are still those that the retirements were made for.
    bool areSuccessors(const std::vector<NodeId> &members) const;
    /// Takes over what a stopping node remembers.  Returns false when this node has itself told
    /// others what it remembers, so that the keys would be lost with it.
    bool takeOver(const Retirement &retirement, Moment moment);
    /// Counts a stopping node as no member at any time.  To be called once every successor took
    /// over.  Returns false when the two nodes see different members.
    bool confirmRetired(const NodeId &node, const std::vector<NodeId> &members, Moment moment);
    /// Refuses a call that is not to be run, unless its key is remembered.  The refusal says
    /// `NotRun` only if this node knows that no call with the key was ever run.
    KeyDecision refuse(const KeyedCall &call, RefusalReason reason, Moment moment);

    KeyTable &table() { return table_; }

private:
    const NodeId self_;
    KeyOwnership ownership_;
    KeyTable table_;
    bool isRetiring_ = false;
    // Set once the first retirement was made: what is remembered must not change any more.
    bool isRetired_ = false;
};

} // namespace cornelhead
