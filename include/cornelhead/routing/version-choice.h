// Chooses the version of a service for a call.
#pragma once

#include <vector>

#include "cornelhead/config/declarations.h"
#include "cornelhead/rollout/move.h"

namespace cornelhead {

/// The versions that a call may go to, in order of preference.
///
/// Invariant: never contains a version that was rolled back.
struct VersionChoice
{
    const VersionId *first = nullptr;
    /// The fallback if `first` has no server; null if there is none.
    const VersionId *second = nullptr;
};

/// Chooses by the state and share of `move`, which may be null.  `draw` is a uniform
/// random number in [0, 1).
///
/// A call for the old version never falls back to a new version that is still being evaluated.
VersionChoice chooseVersion(const Service &service, const Move *move, double draw);

} // namespace cornelhead
