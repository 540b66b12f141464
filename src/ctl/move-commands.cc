// Implements start, take-back, pause, resume, hasten and report.
#include "ctl/move-commands.h"

#include <algorithm>
#include <functional>
#include <set>
#include <utility>

#include "cornelhead/ctl/configuration-store.h"
#include "cornelhead/ctl/html-report.h"
#include "cornelhead/ctl/move-store.h"
#include "cornelhead/ctl/report.h"
#include "cornelhead/rollout/move-actions.h"

namespace cornelhead::detail {

namespace {

constexpr Milliseconds watchPeriod(500);

Result<std::vector<Service>> readServices(const PlatformOperations &platform)
{
    const Result<std::optional<StoredManifest>> stored = readManifest(platform);
    if (!stored)
        return tl::unexpected<Error>(stored.error());
    if (!*stored)
        return std::vector<Service>();
    Result<Declarations> declarations = readDeclarationsOf(platform, (*stored)->manifest);
    if (!declarations)
        return tl::unexpected<Error>(declarations.error());
    return std::move(declarations->services);
}

Result<Service> readService(const PlatformOperations &platform, const ServiceId &id)
{
    const Result<std::vector<Service>> services = readServices(platform);
    if (!services)
        return tl::unexpected<Error>(services.error());
    const auto found = std::find_if(services->begin(), services->end(),
                                    [&](const Service &service) { return service.id == id; });
    if (found != services->end())
        return *found;
    return fail(ErrorKind::NotFound, "service '" + id.value() + "' is not declared",
                "declare the service in plans.yaml and apply, or correct its name");
}

ExitCode showMove(const Result<Move> &move, const CommandContext &context, Output &output)
{
    if (!move)
        return output.fail(move.error());
    const std::int64_t nowMs = context.nowMs();
    output.write(moveToJson(*move, nowMs),
                 reportToText({{move->service, versionInForce(*move), *move}}, nowMs));
    return ExitCode::Ok;
}

using ExistingMoveAction = std::function<Result<Move>(const Move &, const OperatorEdit &)>;

// Edits the latest move of a service, which must exist.
ExitCode editExistingMove(const ServiceId &service, const CommandContext &context, Output &output,
                          const ExistingMoveAction &action)
{
    const OperatorEdit edit{context.makeEditId(), context.nowMs()};
    const auto onExisting = [&](const std::optional<Move> &current) -> Result<Move> {
        if (current)
            return action(*current, edit);
        return fail(ErrorKind::NotFound, "service '" + service.value() + "' has no move",
                    "start a move with 'cornelheadctl start'");
    };
    return showMove(editMove(context.platform, service, edit.id, onExisting), context, output);
}

Result<std::vector<ServiceReport>> readReport(const ReportCommand &command,
                                              const CommandContext &context)
{
    const Result<MoveTable> moves = readMoves(context.platform);
    if (!moves)
        return tl::unexpected<Error>(moves.error());
    const Result<std::vector<Service>> services = readServices(context.platform);
    if (!services)
        return tl::unexpected<Error>(services.error());
    std::vector<ServiceReport> reports = makeReports(*services, *moves);
    if (!command.service)
        return reports;
    std::erase_if(reports, [&](const auto &report) { return report.service != *command.service; });
    if (reports.empty())
        return fail(ErrorKind::NotFound,
                    "service '" + command.service->value() + "' is not declared",
                    "list the services with 'cornelheadctl report'");
    return reports;
}

void showReport(const std::vector<ServiceReport> &reports, bool withEvents, std::int64_t nowMs,
                Output &output)
{
    std::string text = reportToText(reports, nowMs);
    if (withEvents && reports.size() == 1 && reports.front().move)
        text += "\n" + eventsToText(*reports.front().move);
    output.write(reportToJson(reports, nowMs), text);
}

// Polls and shows the report until no move is active.
class ReportWatch
{
public:
    ReportWatch(const ReportCommand &command, const CommandContext &context, Output &output)
        : command_(command), context_(context), output_(output)
    { }

    ExitCode run()
    {
        for (;;) {
            const Result<std::vector<ServiceReport>> reports = readReport(command_, context_);
            if (reports) {
                showIfChanged(*reports);
                if (!followActiveMoves(*reports))
                    return exitCode(*reports);
            } else if (exitCodeOf(reports.error()) == ExitCode::PlatformUnavailable) {
                output_.fail(reports.error());
            } else {
                return output_.fail(reports.error());
            }
            context_.sleep(watchPeriod);
        }
    }

private:
    // Shows the report if it differs from the one shown last.
    void showIfChanged(const std::vector<ServiceReport> &reports)
    {
        std::string text = reportToText(reports, context_.nowMs());
        if (text == lastText_)
            return;
        showReport(reports, false, context_.nowMs(), output_);
        lastText_ = std::move(text);
    }

    bool followActiveMoves(const std::vector<ServiceReport> &reports)
    {
        bool anyActive = false;
        for (const ServiceReport &report : reports) {
            const bool isActive = report.move && !isFinal(report.move->state);
            if (isActive || command_.service)
                followedServices_.insert(report.service);
            anyActive = anyActive || isActive;
        }
        return anyActive;
    }

    ExitCode exitCode(const std::vector<ServiceReport> &reports) const
    {
        const bool anyRolledBack
                = std::any_of(reports.begin(), reports.end(), [&](const ServiceReport &report) {
                      return report.move && report.move->state == MoveState::RolledBack
                              && followedServices_.contains(report.service);
                  });
        return anyRolledBack ? ExitCode::Refused : ExitCode::Ok;
    }

    const ReportCommand &command_;
    const CommandContext &context_;
    Output &output_;
    std::string lastText_;
    // Services with a move that was active in an earlier poll, or the service asked for.
    std::set<ServiceId> followedServices_;
};

} // namespace

ExitCode run(const StartCommand &command, const CommandContext &context, Output &output)
{
    const Result<Service> service = readService(context.platform, command.service);
    if (!service)
        return output.fail(service.error());
    const OperatorEdit edit{context.makeEditId(), context.nowMs()};
    const auto action = [&](const std::optional<Move> &current) {
        // If the service has a move record, `startMove` takes the old version from it.
        const VersionId oldVersion = current ? VersionId() : service->initialVersion;
        return startMove(current,
                         {command.service, oldVersion, command.version,
                          edit.nowMs + command.deadline.count()},
                         edit);
    };
    return showMove(editMove(context.platform, command.service, edit.id, action), context, output);
}

ExitCode run(const RollBackCommand &command, const CommandContext &context, Output &output)
{
    return editExistingMove(command.service, context, output,
                            [&](const Move &move, const OperatorEdit &edit) {
                                return rollBackMove(move, command.reason, edit);
                            });
}

ExitCode run(const PauseCommand &command, const CommandContext &context, Output &output)
{
    return editExistingMove(command.service, context, output, pauseMove);
}

ExitCode run(const ResumeCommand &command, const CommandContext &context, Output &output)
{
    return editExistingMove(command.service, context, output, resumeMove);
}

ExitCode run(const HastenCommand &command, const CommandContext &context, Output &output)
{
    return editExistingMove(
            command.service, context, output, [&](const Move &move, const OperatorEdit &edit) {
                return hastenMove(move, edit.nowMs + command.deadline.count(), edit);
            });
}

ExitCode run(const ReportCommand &command, const CommandContext &context, Output &output)
{
    if (command.isWatching)
        return ReportWatch(command, context, output).run();
    const Result<std::vector<ServiceReport>> reports = readReport(command, context);
    if (!reports)
        return output.fail(reports.error());
    if (command.isHtml)
        output.write({}, reportToHtml(*reports, context.nowMs()));
    else
        showReport(*reports, command.service.has_value(), context.nowMs(), output);
    return ExitCode::Ok;
}

} // namespace cornelhead::detail
