// Implements validate, diff, apply, history, prune and deployment.
#include "ctl/config-commands.h"

#include <utility>
#include <vector>

#include "cornelhead/config/declarations-reader.h"
#include "cornelhead/config/delta.h"
#include "cornelhead/config/deployment.h"
#include "cornelhead/config/validation.h"
#include "cornelhead/ctl/configuration-store.h"
#include "cornelhead/ctl/report.h"

namespace cornelhead::detail {

namespace {

using Json = nlohmann::ordered_json;

Json faultToJson(const SourceFault &fault)
{
    return {{"file", fault.file},
            {"line", fault.line},
            {"message", fault.message},
            {"remedy", fault.remedy}};
}

ExitCode showFaults(const std::vector<SourceFault> &faults, Output &output)
{
    Json list = Json::array();
    std::string text;
    for (const SourceFault &fault : faults) {
        list.push_back(faultToJson(fault));
        text += fault.describe() + "\n";
    }
    text += faults.empty() ? "The declarations are valid.\n"
                           : std::to_string(faults.size()) + " faults.\n";
    output.write({{"valid", faults.empty()}, {"faults", std::move(list)}}, text);
    return faults.empty() ? ExitCode::Ok : ExitCode::Refused;
}

// Adds the faults of deployment.yaml if the folder contains it.
void checkOptionalDeployment(const std::string &folder, ParsedDeclarations &parsed)
{
    const Result<std::string> text = loadDeploymentFile(folder);
    if (!text)
        return;
    ParsedDeployment deployed = readDeployment(*text);
    if (deployed.faults.empty() && parsed.faults.empty())
        checkDeployment(deployed.deployment, parsed.declarations, deployed.faults);
    parsed.faults.insert(parsed.faults.end(), deployed.faults.begin(), deployed.faults.end());
}

Result<ParsedDeclarations> readFolder(const std::string &folder)
{
    const Result<DeclarationFiles> files = loadDeclarationFiles(folder);
    if (!files)
        return tl::unexpected<Error>(files.error());
    ParsedDeclarations parsed = readDeclarations(*files);
    checkOptionalDeployment(folder, parsed);
    return parsed;
}

Result<Declarations> readDeclarationsInForce(const PlatformOperations &platform)
{
    const Result<std::optional<StoredManifest>> stored = readManifest(platform);
    if (!stored)
        return tl::unexpected<Error>(stored.error());
    return *stored ? readDeclarationsOf(platform, (*stored)->manifest)
                   : Result<Declarations>(Declarations());
}

void showApplied(const ApplyOutcome &outcome, Output &output)
{
    const Manifest &manifest = outcome.manifest;
    const std::string revision = std::to_string(manifest.revision.value());
    const Json json
            = {{"revision", manifest.revision.value()},  {"digest", manifest.digest.value()},
               {"edit", manifest.edit.value()},          {"changed", outcome.isNew},
               {"chunksWritten", outcome.chunksWritten}, {"bytesWritten", outcome.bytesWritten}};
    const std::string text = outcome.isNew
            ? "Revision " + revision + " was accepted: " + manifest.digest.value() + ".\n"
            : "Revision " + revision + " is already in force; nothing was changed.\n";
    output.write(json, text);
}

std::string deploymentToText(const Deployment &deployment)
{
    std::string text;
    for (const DataCentreId &dataCentre : deployment.dataCentres)
        text += "datacentre " + dataCentre.value() + "\n";
    for (const DeployedService &service : deployment.services) {
        const std::string rest = service.service.value() + " " + std::to_string(service.slots) + " "
                + std::to_string(service.connections) + "\n";
        for (const ServerPlacement &placement : service.placements) {
            for (std::uint32_t i = 0; i < placement.servers; ++i)
                text.append("server ")
                        .append(placement.dataCentre.value())
                        .append(" ")
                        .append(rest);
        }
    }
    return text;
}

Json deploymentToJson(const Deployment &deployment)
{
    Json dataCentres = Json::array();
    for (const DataCentreId &dataCentre : deployment.dataCentres)
        dataCentres.push_back(dataCentre.value());
    Json services = Json::array();
    for (const DeployedService &service : deployment.services) {
        Json servers = Json::object();
        for (const ServerPlacement &placement : service.placements)
            servers[placement.dataCentre.value()] = placement.servers;
        services.push_back({{"service", service.service.value()},
                            {"slots", service.slots},
                            {"connections", service.connections},
                            {"servers", std::move(servers)}});
    }
    return {{"dataCentres", std::move(dataCentres)}, {"services", std::move(services)}};
}

} // namespace

ExitCode runValidate(const ValidateCommand &command, Output &output)
{
    const Result<ParsedDeclarations> parsed = readFolder(command.folder);
    return parsed ? showFaults(parsed->faults, output) : output.fail(parsed.error());
}

ExitCode runDeployment(const DeploymentCommand &command, Output &output)
{
    const Result<std::string> text = loadDeploymentFile(command.folder);
    if (!text)
        return output.fail(text.error());
    const ParsedDeployment parsed = readDeployment(*text);
    if (!parsed.faults.empty())
        return showFaults(parsed.faults, output);
    output.write(deploymentToJson(parsed.deployment), deploymentToText(parsed.deployment));
    return ExitCode::Ok;
}

ExitCode run(const DiffCommand &command, const CommandContext &context, Output &output)
{
    const Result<ParsedDeclarations> parsed = readFolder(command.folder);
    if (!parsed)
        return output.fail(parsed.error());
    if (!parsed->faults.empty())
        return showFaults(parsed->faults, output);
    const Result<Declarations> inForce = readDeclarationsInForce(context.platform);
    if (!inForce)
        return output.fail(inForce.error());
    const Declarations desired = canonicalOrder(parsed->declarations);
    const std::vector<RecordChange> changes = changesOf(*inForce, makeDelta(*inForce, desired));
    output.write(changesToJson(changes),
                 changes.empty() ? "No differences from the configuration in force.\n"
                                 : changesToText(changes));
    return ExitCode::Ok;
}

ExitCode run(const ApplyCommand &command, const CommandContext &context, Output &output)
{
    Result<ParsedDeclarations> parsed = readFolder(command.folder);
    if (!parsed)
        return output.fail(parsed.error());
    if (!parsed->faults.empty())
        return showFaults(parsed->faults, output);
    const ApplyRequest request{std::move(parsed->declarations), command.author,
                               context.makeEditId(), context.nowMs(), command.expectedRevision};
    const Result<ApplyOutcome> outcome = applyDeclarations(context.platform, request);
    if (!outcome)
        return output.fail(outcome.error());
    showApplied(*outcome, output);
    return ExitCode::Ok;
}

ExitCode run(const HistoryCommand &, const CommandContext &context, Output &output)
{
    const Result<std::vector<Manifest>> history = readHistory(context.platform);
    if (!history)
        return output.fail(history.error());
    output.write(historyToJson(*history), historyToText(*history));
    return ExitCode::Ok;
}

ExitCode run(const PruneCommand &command, const CommandContext &context, Output &output)
{
    const Result<PruneOutcome> outcome = pruneHistory(context.platform, command.keep);
    if (!outcome)
        return output.fail(outcome.error());
    output.write({{"chunksRemoved", outcome->chunksRemoved},
                  {"manifestsRemoved", outcome->manifestsRemoved}},
                 std::to_string(outcome->manifestsRemoved) + " old configurations and "
                         + std::to_string(outcome->chunksRemoved) + " chunks removed.\n");
    return ExitCode::Ok;
}

} // namespace cornelhead::detail
