// The right to run one keyed call at its home.
#pragma once

#include "cornelhead/proxy/worker-state.h"

namespace cornelhead::detail {

/// Holds a key in the state `running` and settles it exactly once; as unknown on destruction.
class KeyClaim
{
public:
    KeyClaim(NodeState &node, CallKey key) : node_(node), key_(std::move(key)) { }
    ~KeyClaim();
    KeyClaim(const KeyClaim &) = delete;
    KeyClaim &operator=(const KeyClaim &) = delete;

    void settle(RunProof proof);
    /// Keeps the answer for callers that send the key again.
    void settleAnswered(evhttp_request *answer);

private:
    NodeState &node_;
    const CallKey key_;
    bool isSettled_ = false;
};

} // namespace cornelhead::detail
