// The records of moves as they are stored at the platform, and the operators' edits to them.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "cornelhead/base/error.h"
#include "cornelhead/ctl/platform-operations.h"
#include "cornelhead/rollout/move.h"

namespace cornelhead {

/// Reads the latest move of a service; nothing when it never moved.
Result<std::optional<Move>> readMove(const PlatformOperations &platform, const ServiceId &service);
/// Reads the latest move of every service.
Result<MoveTable> readMoves(const PlatformOperations &platform);

/// Turns the record that was read into the one to write.
using MoveAction = std::function<Result<Move>(const std::optional<Move> &)>;

/// Reads, applies `action`, and writes by compare-and-swap; repeats it when the controller wrote
/// meanwhile.
///
/// `edit` must be the edit that `action` puts into the record, so that a lost answer is resolved by
/// reading.  Returns the record in force.  Fails as `action` does, and with `Unknown` when the
/// platform cannot be read after an answer was lost; the same edit may then be repeated.
Result<Move> editMove(const PlatformOperations &platform, const ServiceId &service,
                      const EditId &edit, const MoveAction &action);

} // namespace cornelhead
