// Decides which version of a service a call goes to.
#pragma once

#include <vector>

#include "cornelhead/config/declarations.h"
#include "cornelhead/rollout/move.h"

namespace cornelhead {

/// The versions that a call may go to, best first; at most two.
///
/// Invariant: never names a version that was taken back.
struct VersionChoice
{
    const VersionId *first = nullptr;
    /// Takes the call when `first` has no server; null when nothing else may.
    const VersionId *second = nullptr;
};

/// Chooses by the move's state and share.  `move` may be null; `draw` is uniform in [0, 1).
///
/// A call that the old version should take never falls back to a new version under judgement.
VersionChoice chooseVersion(const Service &service, const Move *move, double draw);

} // namespace cornelhead
