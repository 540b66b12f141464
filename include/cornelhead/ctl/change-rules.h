// What an edit of the declarations may not do to services in use.
#pragma once

#include "cornelhead/base/error.h"
#include "cornelhead/config/declarations.h"
#include "cornelhead/rollout/move.h"

namespace cornelhead {

/// Checks the step from the declarations in force to the desired ones.
///
/// Fails with `Conflict` when the edit would send all calls of a service to another version at
/// once, which is the work of a move, or when it removes a service whose move is under way.
Result<void> checkChange(const Declarations &inForce, const Declarations &desired,
                         const MoveTable &moves);

} // namespace cornelhead
