// The commands that start, edit and report moves of services.
#pragma once

#include "cornelhead/ctl/commands.h"

namespace cornelhead::detail {

ExitCode run(const StartCommand &command, const CommandContext &context, Output &output);
ExitCode run(const RollBackCommand &command, const CommandContext &context, Output &output);
ExitCode run(const PauseCommand &command, const CommandContext &context, Output &output);
ExitCode run(const ResumeCommand &command, const CommandContext &context, Output &output);
ExitCode run(const HastenCommand &command, const CommandContext &context, Output &output);
ExitCode run(const ReportCommand &command, const CommandContext &context, Output &output);

} // namespace cornelhead::detail
