// Reads the command line of cornelheadctl.
#include "cornelhead/ctl/command-line.h"

#include <cstdint>
#include <cstdlib>

namespace cornelhead {

const char *const commandUsage = R"(Runs cornelhead from declarations kept in version control.

Usage:
  cornelheadctl validate DIR [options]
  cornelheadctl diff DIR [options]
  cornelheadctl apply DIR [options]
  cornelheadctl history [options]
  cornelheadctl prune [options]
  cornelheadctl start SERVICE VERSION [options]
  cornelheadctl take-back SERVICE [options]
  cornelheadctl pause SERVICE [options]
  cornelheadctl resume SERVICE [options]
  cornelheadctl hasten SERVICE [options]
  cornelheadctl report [SERVICE] [options]
  cornelheadctl status [options]
  cornelheadctl deployment DIR [options]

Commands:
  validate     Finds every fault of the declarations in DIR.
  diff         Shows what apply would change.
  apply        Puts the declarations in force; changes nothing if they are.
  history      Lists the accepted configurations.
  prune        Removes old configurations and the chunks that only they need.
  start        Starts to move SERVICE to VERSION, to be done within the deadline.
  take-back    Gives all calls of SERVICE back to the old version, for good.
  pause        Holds the share of the new version.
  resume       Goes on after a pause.
  hasten       Brings the deadline forward.
  report       Shows the version and the latest move of each service.
  status       Shows which configuration each node acts on.
  deployment   Prints the servers of an example, one a line.

Options:
  --platform ADDRS       Addresses of the platform [default: 127.0.0.1:7200].
  --nodes ADDRS          Admin addresses of the nodes that status asks.
  --timeout DURATION     Repeats calls that were not run for so long [default: 10s].
  --output FORMAT        One of table, json, or for a report html [default: table].
  --author NAME          Who applies; taken from USER when not given.
  --expect-revision N    Applies only on this revision; 0 stands for none.
  --deadline DURATION    When the move is to be done, from now.
  --reason TEXT          Why a version is taken back [default: ].
  --keep N               Configurations that prune keeps [default: 100].
  --watch                Goes on until no move is under way.
  --help                 Prints this text.
  --version              Prints the version.

Exit codes: 0 done, 1 refused, 2 bad usage, 3 platform unavailable, 4 outcome unknown.
)";

namespace detail {

constexpr Milliseconds minDeadline = std::chrono::seconds(1);
constexpr Milliseconds maxDeadline = std::chrono::hours(24 * 7);
constexpr Milliseconds minRetryTimeout = Milliseconds(100);
constexpr Milliseconds maxRetryTimeout = std::chrono::hours(1);
constexpr std::uint64_t maxKeptManifests = 1'000'000;
constexpr std::size_t maxTextBytes = 200;

std::string shortText(Settings &settings, const std::string &name)
{
    std::string text = settings.text(name);
    if (text.size() > maxTextBytes)
        settings.addFault(name, text.substr(0, maxTextBytes),
                          "write at most " + std::to_string(maxTextBytes) + " bytes");
    return text;
}

std::string readAuthor(Settings &settings)
{
    if (settings.has("--author"))
        return shortText(settings, "--author");
    const char *user = std::getenv("USER");
    return user && *user ? user : "unknown";
}

ServiceId readService(Settings &settings)
{
    return ServiceId(shortText(settings, "SERVICE"));
}

Milliseconds readDeadline(Settings &settings)
{
    if (settings.has("--deadline"))
        return settings.duration("--deadline", minDeadline, maxDeadline);
    settings.addFault("--deadline", "", "give a duration from now, such as 2m");
    return {};
}

ApplyCommand readApply(Settings &settings)
{
    ApplyCommand command{settings.text("DIR"), readAuthor(settings), std::nullopt};
    if (settings.has("--expect-revision"))
        command.expectedRevision = Revision(settings.integer("--expect-revision", 0, UINT64_MAX));
    return command;
}

ReportCommand readReport(Settings &settings)
{
    ReportCommand command;
    if (settings.has("SERVICE"))
        command.service = readService(settings);
    command.isWatching = settings.flag("--watch");
    return command;
}

StatusCommand readStatus(Settings &settings)
{
    return StatusCommand{settings.addresses("--nodes")};
}

Command readMoveCommand(Settings &settings)
{
    if (settings.flag("start"))
        return StartCommand{readService(settings), VersionId(shortText(settings, "VERSION")),
                            readDeadline(settings)};
    if (settings.flag("take-back"))
        return RollBackCommand{readService(settings), shortText(settings, "--reason")};
    if (settings.flag("pause"))
        return PauseCommand{readService(settings)};
    if (settings.flag("resume"))
        return ResumeCommand{readService(settings)};
    if (settings.flag("hasten"))
        return HastenCommand{readService(settings), readDeadline(settings)};
    return readReport(settings);
}

Command readCommand(Settings &settings)
{
    if (settings.flag("validate"))
        return ValidateCommand{settings.text("DIR")};
    if (settings.flag("diff"))
        return DiffCommand{settings.text("DIR")};
    if (settings.flag("apply"))
        return readApply(settings);
    if (settings.flag("history"))
        return HistoryCommand();
    if (settings.flag("prune"))
        return PruneCommand{settings.integer("--keep", 1, maxKeptManifests)};
    if (settings.flag("status"))
        return readStatus(settings);
    if (settings.flag("deployment"))
        return DeploymentCommand{settings.text("DIR")};
    return readMoveCommand(settings);
}

} // namespace detail

namespace detail {

void readOutput(Settings &settings, CommandLine &line)
{
    const std::string output = settings.choice("--output", {"table", "json", "html"});
    line.format = output == "json" ? OutputFormat::Json : OutputFormat::Table;
    if (output != "html")
        return;
    auto *report = std::get_if<ReportCommand>(&line.command);
    if (report && !report->isWatching)
        report->isHtml = true;
    else
        settings.addFault("--output", output, "use html only for a report without --watch");
}

} // namespace detail

CommandLine readCommandLine(Settings &settings)
{
    CommandLine line;
    line.command = detail::readCommand(settings);
    line.platform = settings.addresses("--platform");
    if (line.platform.empty())
        settings.addFault("--platform", "", "give at least one address");
    line.retryTimeout
            = settings.duration("--timeout", detail::minRetryTimeout, detail::maxRetryTimeout);
    detail::readOutput(settings, line);
    return line;
}

} // namespace cornelhead
