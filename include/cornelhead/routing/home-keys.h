// The part of a node that is home to idempotency keys: ownership and memory together.
#pragma once

#include "cornelhead/routing/key-memory.h"
#include "cornelhead/routing/key-ownership.h"

namespace cornelhead {

/// A call that runs at most once.
struct KeyedCall
{
    CallKey key;
    std::optional<std::int64_t> birthMs;
    /// Of method, path and body.
    Digest request;
};

/// The same moment on both clocks.
struct Moment
{
    TimePoint time{};
    std::int64_t wallMs = 0;
};

/// Decides whether a keyed call may run here, and what a refusal may truly say.
///
///     KeyVerdict verdict = keys.begin(call, moment);
///     // StartRun: run it, then call exactly one of the finish functions.
class HomeKeys
{
public:
    HomeKeys(NodeInfo self, std::vector<DataCentreId> dataCentres, OwnershipLimits ownership,
             KeyMemoryLimits memory)
        : ownership_(std::move(self), std::move(dataCentres), ownership), memory_(memory)
    { }

    void observe(const std::map<NodeId, NodeInfo> &nodes, std::int64_t wallMs);
    /// Notes that changes of the fleet still reach this node.
    void confirm(Moment moment);
    /// To be called several times a second.
    void tick(Moment moment);
    KeyHome homeOf(const KeyedCall &call, std::int64_t wallMs) const
    {
        return ownership_.homeOf(call.key, call.birthMs, wallMs);
    }

    KeyVerdict begin(const KeyedCall &call, Moment moment);
    /// Refuses a call that is not to be run, unless its key is remembered.  The refusal says
    /// `NotRun` only if this node knows that no call with the key was ever run.
    KeyVerdict refuse(const KeyedCall &call, RefusalReason reason, Moment moment);

    KeyMemory &memory() { return memory_; }

private:
    KeyOwnership ownership_;
    KeyMemory memory_;
};

} // namespace cornelhead
