// Detects updates that a subscriber missed, and requests them again from its relay.
#pragma once

#include <cstdint>
#include <optional>

#include "cornelhead/distribution/node-state.h"

namespace cornelhead {

/// Compares the relay's heartbeats with the state of this node.
///
/// An update may still be in flight, so a pull is due only after two consecutive mismatches.
class Reconciler
{
public:
    explicit Reconciler(const NodeState &state) : state_(&state) { }

    /// Returns the pull to send to the relay, or nothing when none is due.
    std::optional<inner::Pull> onHeartbeat(const inner::Heartbeat &heartbeat);
    void reset() { *this = Reconciler(*state_); }

private:
    const NodeState *state_;
    // Consecutive heartbeats that differed from the local state.
    int configMismatches_ = 0;
    int movesMismatches_ = 0;
    int recordsMismatches_ = 0;
    int relaysMismatches_ = 0;
    // Pulls of records since the record hashes last matched.
    int recordPulls_ = 0;
};

} // namespace cornelhead
