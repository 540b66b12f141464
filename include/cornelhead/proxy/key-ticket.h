// The right to run one keyed call at its home.
#pragma once

#include "cornelhead/proxy/worker-state.h"

namespace cornelhead::detail {

/// Holds a key in the state `running` and settles it exactly once; as unknown on destruction.
class KeyTicket
{
public:
    KeyTicket(NodeState &node, CallKey key) : node_(node), key_(std::move(key)) { }
    ~KeyTicket();
    KeyTicket(const KeyTicket &) = delete;
    KeyTicket &operator=(const KeyTicket &) = delete;

    void settle(RunStatus proof);
    /// Keeps the answer for callers that send the key again.
    void settleAnswered(evhttp_request *answer);

private:
    NodeState &node_;
    const CallKey key_;
    bool isSettled_ = false;
};

} // namespace cornelhead::detail
