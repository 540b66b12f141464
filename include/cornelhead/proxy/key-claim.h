// The claim of a running keyed call on its idempotency key.
#pragma once

#include "cornelhead/proxy/worker-state.h"

namespace cornelhead::detail {

/// Holds a key in the state `running` and settles it exactly once; an unsettled key becomes
/// `unknown` on destruction.
class KeyClaim
{
public:
    KeyClaim(NodeState &node, CallKey key) : node_(node), key_(std::move(key)) { }
    ~KeyClaim();
    KeyClaim(const KeyClaim &) = delete;
    KeyClaim &operator=(const KeyClaim &) = delete;

    /// Settles a key whose call got no response.
    void settle(RunStatus proof);
    /// Stores the response for callers that send the key again; a response over 64 KiB is dropped.
    void settleAnswered(evhttp_request *response);

private:
    NodeState &node_;
    const CallKey key_;
    bool isSettled_ = false;
};

} // namespace cornelhead::detail
