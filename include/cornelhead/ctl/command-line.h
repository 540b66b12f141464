// The commands of cornelheadctl as typed values.
#pragma once

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "cornelhead/base/address.h"
#include "cornelhead/base/clock.h"
#include "cornelhead/base/ids.h"
#include "cornelhead/base/settings.h"
#include "cornelhead/ctl/output.h"

namespace cornelhead {

struct ValidateCommand
{
    std::string folder;
};

struct DiffCommand
{
    std::string folder;
};

struct ApplyCommand
{
    std::string folder;
    std::string author;
    std::optional<Revision> expectedRevision;
};

struct HistoryCommand
{ };

struct PruneCommand
{
    std::size_t keep = 0;
};

struct StartCommand
{
    ServiceId service;
    VersionId version;
    Milliseconds deadline{};
};

struct RollBackCommand
{
    ServiceId service;
    std::string reason;
};

struct PauseCommand
{
    ServiceId service;
};

struct ResumeCommand
{
    ServiceId service;
};

struct HastenCommand
{
    ServiceId service;
    Milliseconds deadline{};
};

struct ReportCommand
{
    std::optional<ServiceId> service;
    bool isWatching = false;
    /// Renders an HTML page instead of a table.
    bool isHtml = false;
};

struct StatusCommand
{
    std::vector<Address> nodes;
};

struct DeploymentCommand
{
    std::string folder;
};

using Command
        = std::variant<ValidateCommand, DiffCommand, ApplyCommand, HistoryCommand, PruneCommand,
                       StartCommand, RollBackCommand, PauseCommand, ResumeCommand, HastenCommand,
                       ReportCommand, StatusCommand, DeploymentCommand>;

struct CommandLine
{
    Command command;
    std::vector<Address> platform;
    /// How long to retry a platform call that was certainly not executed.
    Milliseconds retryTimeout{};
    OutputFormat format = OutputFormat::Table;
};

/// The usage text, parsed by docopt.
extern const char *const commandUsage;

/// Reads the command line; faults are collected in `settings`.
CommandLine readCommandLine(Settings &settings);

} // namespace cornelhead
