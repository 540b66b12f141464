// Dispatches each command to its function.
#include "cornelhead/ctl/commands.h"

#include "ctl/config-commands.h"
#include "ctl/move-commands.h"
#include "ctl/status-command.h"

namespace cornelhead {
namespace detail {

// Calls the overload of `run` for each command; the first two need no platform.
struct CommandRunner
{
    const CommandContext &context;
    Output &output;

    ExitCode operator()(const ValidateCommand &command) const
    {
        return runValidate(command, output);
    }
    ExitCode operator()(const DeploymentCommand &command) const
    {
        return runDeployment(command, output);
    }
    template <typename Other>
    ExitCode operator()(const Other &command) const
    {
        return run(command, context, output);
    }
};

} // namespace detail

ExitCode runCommand(const Command &command, const CommandContext &context, Output &output)
{
    return std::visit(detail::CommandRunner{context, output}, command);
}

} // namespace cornelhead
