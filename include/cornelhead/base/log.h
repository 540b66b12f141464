// Structured logs: one short sentence a line, with a fixed prefix for each part.
#pragma once

#include <string_view>

#include <easylogging++.h>

#include "cornelhead/base/error.h"

namespace cornelhead {

/// Sends logs of `level` ("debug", "info", "warning" or "error") and above to standard output.
///
/// Fails with `InvalidSetting` for another level.  Writes no file.
Result<void> configureLogging(std::string_view level);

} // namespace cornelhead

/// Logs with the prefix of a part.
///
///     CORNELHEAD_LOG(INFO, "relay") << "Relay serves 12 subscribers.";
#define CORNELHEAD_LOG(level, part) LOG(level) << "[" << (part) << "] "
