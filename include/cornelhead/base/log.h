// Log lines for people: one sentence each, prefixed with the component.
#pragma once

#include <string_view>

#include <easylogging++.h>

#include "cornelhead/base/error.h"

namespace cornelhead {

/// Writes messages of `level` ("debug", "info", "warning" or "error") and above to standard output.
///
/// Fails with `InvalidSetting` for any other level.  No log file is written.
Result<void> configureLogging(std::string_view level);

} // namespace cornelhead

/// Logs with the name of a component as the prefix.
///
///     CORNELHEAD_LOG(INFO, "relay") << "Relay serves 12 subscribers.";
#define CORNELHEAD_LOG(level, component) LOG(level) << "[" << (component) << "] "
