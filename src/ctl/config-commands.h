// The commands that read and replace the configuration.
#pragma once

#include "cornelhead/ctl/commands.h"

namespace cornelhead::detail {

ExitCode runValidate(const ValidateCommand &command, Output &output);
ExitCode runDeployment(const DeploymentCommand &command, Output &output);
ExitCode run(const DiffCommand &command, const CommandContext &context, Output &output);
ExitCode run(const ApplyCommand &command, const CommandContext &context, Output &output);
ExitCode run(const HistoryCommand &command, const CommandContext &context, Output &output);
ExitCode run(const PruneCommand &command, const CommandContext &context, Output &output);

} // namespace cornelhead::detail
