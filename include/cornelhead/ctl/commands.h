// Runs the commands of cornelheadctl.
#pragma once

#include <cstdint>
#include <functional>

#include "cornelhead/ctl/command-line.h"
#include "cornelhead/ctl/output.h"
#include "cornelhead/ctl/platform-operations.h"
#include "cornelhead/net/http.h"

namespace cornelhead {

/// The dependencies of the commands; tests replace them.
struct CommandContext
{
    PlatformOperations platform;
    /// Wall-clock milliseconds since the Unix epoch, for reports and deadlines.
    std::function<std::int64_t()> nowMs;
    /// Returns a unique edit id.
    std::function<EditId()> makeEditId;
    /// Waits between two polls of `report --watch`.
    std::function<void(Milliseconds)> sleep;
    /// Sends a GET request for `path` to the admin address of a node.
    std::function<Result<HttpResponse>(const Address &, const std::string &path)> queryNode;
};

/// Runs `command` and writes its result to `output`.
ExitCode runCommand(const Command &command, const CommandContext &context, Output &output);

} // namespace cornelhead
