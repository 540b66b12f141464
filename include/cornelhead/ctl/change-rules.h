// Checks whether new declarations are compatible with the services in use.
#pragma once

#include "cornelhead/base/error.h"
#include "cornelhead/config/declarations.h"
#include "cornelhead/rollout/move.h"

namespace cornelhead {

/// Checks the change from the declarations in force to the desired ones.
///
/// Fails with `Conflict` if the edit changes the version of a service, which only a move may do
/// since it shifts calls gradually, or if it removes a service that has an active move.
Result<void> checkChange(const Declarations &inForce, const Declarations &desired,
                         const MoveTable &moves);

} // namespace cornelhead
