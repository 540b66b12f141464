// Notices at a subscriber what its relay has sent in vain, and asks for it again.
#pragma once

#include <cstdint>
#include <optional>

#include "cornelhead/distribution/node-state.h"

namespace cornelhead {

/// Compares heartbeats of the relay with what this node holds.
///
/// What differs may still be under way, so that only the second heartbeat in a row counts.
class Reconciler
{
public:
    explicit Reconciler(const NodeState &state) : state_(&state) { }

    /// Returns what to ask the relay for.
    std::optional<inner::Pull> onHeartbeat(const inner::Heartbeat &heartbeat);
    void reset() { *this = Reconciler(*state_); }

private:
    const NodeState *state_;
    // Heartbeats in a row that found a difference.
    int configMismatches_ = 0;
    int movesMismatches_ = 0;
    int recordsMismatches_ = 0;
    int relaysMismatches_ = 0;
    // Pulls of records since they were last equal.
    int recordPulls_ = 0;
};

} // namespace cornelhead
