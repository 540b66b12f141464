// Implements the status command.
#include "ctl/status-command.h"

#include <algorithm>
#include <exception>
#include <optional>
#include <utility>

#include "cornelhead/ctl/configuration-store.h"

namespace cornelhead::detail {

namespace {

using Json = nlohmann::ordered_json;

// The status that one node reports.
struct NodeStatus
{
    std::string address;
    std::uint64_t revision = 0;
    std::string digest;
    std::string role;
    std::string dataCentre;
    // Empty if the node returned a valid status.
    std::string problem;
};

// Nodes of other releases may omit fields.
template <typename T>
T valueOr(const nlohmann::json &json, const char *name, T defaultValue)
{
    const auto found = json.find(name);
    return found == json.end() || found->is_null() ? std::move(defaultValue) : found->get<T>();
}

void readStatus(const std::string &body, NodeStatus &status)
{
    try {
        const nlohmann::json json = nlohmann::json::parse(body);
        status.revision = valueOr<std::uint64_t>(json, "revision", 0);
        status.digest = valueOr<std::string>(json, "digest", "-");
        status.role = valueOr<std::string>(json, "role", "-");
        status.dataCentre = valueOr<std::string>(json, "dataCentre", "-");
    } catch (const std::exception &) {
        status.problem = "invalid status response";
    }
}

NodeStatus queryNode(const Address &address, const CommandContext &context)
{
    NodeStatus status;
    status.address = address.toString();
    const Result<HttpResponse> response = context.queryNode(address, "/status");
    if (!response)
        status.problem = response.error().message;
    else if (response->status != 200)
        status.problem = "unexpected HTTP status " + std::to_string(response->status);
    else
        readStatus(response->body, status);
    return status;
}

bool isUpToDate(const NodeStatus &status, const std::optional<StoredManifest> &inForce)
{
    if (!status.problem.empty())
        return false;
    return !inForce
            || (status.revision == inForce->manifest.revision.value()
                && status.digest == inForce->manifest.digest.value());
}

Json nodeToJson(const NodeStatus &status, bool isInForce)
{
    return {{"address", status.address},   {"dataCentre", status.dataCentre},
            {"revision", status.revision}, {"digest", status.digest},
            {"role", status.role},         {"inForce", isInForce},
            {"problem", status.problem}};
}

void addRow(TextTable &table, const NodeStatus &status, bool isInForce)
{
    const bool isReachable = status.problem.empty();
    table.add({status.address, isReachable ? status.dataCentre : "-",
               isReachable ? std::to_string(status.revision) : "-",
               isReachable ? status.digest : "-", isReachable ? status.role : "-",
               isInForce ? "yes" : "no", isReachable ? "-" : status.problem});
}

std::string platformLine(const Result<std::optional<StoredManifest>> &inForce)
{
    if (!inForce)
        return "platform: " + inForce.error().describe() + "\n";
    if (!*inForce)
        return "platform: no configuration was accepted yet\n";
    const Manifest &manifest = (*inForce)->manifest;
    return "platform: revision " + std::to_string(manifest.revision.value()) + " "
            + manifest.digest.value() + "\n";
}

Json platformToJson(const Result<std::optional<StoredManifest>> &inForce)
{
    if (!inForce)
        return {{"available", false}, {"problem", inForce.error().describe()}};
    if (!*inForce)
        return {{"available", true}, {"revision", 0}};
    const Manifest &manifest = (*inForce)->manifest;
    return {{"available", true},
            {"revision", manifest.revision.value()},
            {"digest", manifest.digest.value()}};
}

Json refusalsToJson(const std::vector<NodeRefusal> &refusals)
{
    Json list = Json::array();
    for (const NodeRefusal &refusal : refusals)
        list.push_back({{"node", refusal.node.value()}, {"reason", refusal.reason}});
    return list;
}

std::string refusalsToText(const std::vector<NodeRefusal> &refusals)
{
    std::string text;
    for (const NodeRefusal &refusal : refusals)
        text += "refused by " + refusal.node.value() + ": " + refusal.reason + "\n";
    return text;
}

// Empty if the platform is unavailable, which the platform line reports already.
std::vector<NodeRefusal> refusalsOf(const std::optional<StoredManifest> &manifest,
                                    const PlatformOperations &platform)
{
    if (!manifest)
        return {};
    return readRefusals(platform, manifest->manifest.revision).value_or(std::vector<NodeRefusal>());
}

} // namespace

// If the platform is unavailable, the nodes are still shown, but not whether they are outdated.
ExitCode run(const StatusCommand &command, const CommandContext &context, Output &output)
{
    const Result<std::optional<StoredManifest>> inForce = readManifest(context.platform);
    const std::optional<StoredManifest> manifest = inForce.value_or(std::nullopt);
    TextTable table({"NODE", "DATA CENTRE", "REVISION", "DIGEST", "ROLE", "IN FORCE", "PROBLEM"});
    Json nodes = Json::array();
    bool isAllInForce = true;
    for (const Address &address : command.nodes) {
        const NodeStatus status = queryNode(address, context);
        const bool isInForce = isUpToDate(status, manifest);
        isAllInForce = isAllInForce && isInForce;
        addRow(table, status, isInForce);
        nodes.push_back(nodeToJson(status, isInForce));
    }
    const std::vector<NodeRefusal> refusals = refusalsOf(manifest, context.platform);
    output.write({{"platform", platformToJson(inForce)},
                  {"refusals", refusalsToJson(refusals)},
                  {"nodes", std::move(nodes)}},
                 platformLine(inForce) + refusalsToText(refusals)
                         + (command.nodes.empty() ? "" : table.render()));
    if (!inForce)
        return exitCodeOf(inForce.error());
    return isAllInForce && refusals.empty() ? ExitCode::Ok : ExitCode::Refused;
}

} // namespace cornelhead::detail
