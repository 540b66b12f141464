// Reads move records from the platform's store and applies operators' edits to them.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "cornelhead/base/error.h"
#include "cornelhead/ctl/platform-operations.h"
#include "cornelhead/rollout/move.h"

namespace cornelhead {

/// Reads the latest move of a service; empty if the service never had one.
Result<std::optional<Move>> readMove(const PlatformOperations &platform, const ServiceId &service);
/// Reads the latest move of every service.
Result<MoveTable> readMoves(const PlatformOperations &platform);

/// Returns the record to write, given the stored one.
using MoveAction = std::function<Result<Move>(const std::optional<Move> &)>;

/// Reads the record, applies `action` and writes the result by compare-and-swap; retries if the
/// controller wrote in the meantime.
///
/// `action` must store `edit` in the record: after a lost response, reading the record then shows
/// whether the write took effect.  Returns the stored record.  Fails as `action` does, and with
/// `Unknown` if the platform cannot be read after a lost response; the same edit may then be
/// repeated.
Result<Move> editMove(const PlatformOperations &platform, const ServiceId &service,
                      const EditId &edit, const MoveAction &action);

} // namespace cornelhead
