// The command that compares each node with the configuration in force.
#pragma once

#include "cornelhead/ctl/commands.h"

namespace cornelhead::detail {

ExitCode run(const StatusCommand &command, const CommandContext &context, Output &output);

} // namespace cornelhead::detail
