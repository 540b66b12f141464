// Parses deployment.yaml.
#include "cornelhead/config/deployment.h"

#include <set>

#include "config/read-file.h"
#include "config/yaml-record.h"
#include "config/yaml-tree.h"

namespace cornelhead {
namespace detail {

constexpr std::uint32_t maxServersInDataCentre = 1'000;
constexpr std::uint32_t maxSlots = 10'000;
constexpr std::uint32_t maxConnections = 100'000;

class DeploymentReader
{
public:
    ParsedDeployment run(const std::string &text)
    {
        const tl::expected<YamlNode, SourceFault> root = parseYaml(text);
        if (!root) {
            faults_.add(root.error());
            return std::move(result_);
        }
        RecordReader reader(*root, "file", faults_);
        for (std::string &name : reader.names("data-centres"))
            result_.deployment.dataCentres.emplace_back(std::move(name));
        const std::vector<DataCentreId> &names = result_.deployment.dataCentres;
        dataCentres_.insert(names.begin(), names.end());
        if (names.empty() || dataCentres_.size() != names.size())
            faults_.add(root->line, "data-centres is empty or has duplicates",
                        "list each data centre once");
        reader.items("services", [&](const YamlNode &node) { readService(node); });
        reader.finish();
        return std::move(result_);
    }

private:
    void readService(const YamlNode &node)
    {
        RecordReader reader(node, "service", faults_);
        DeployedService service;
        service.service = ServiceId(reader.text("name"));
        service.slots = readNumber(reader, "slots", maxSlots);
        service.connections = readNumber(reader, "connections", maxConnections);
        reader.entries("servers", [&](const YamlEntry &entry) { readServers(entry, service); });
        reader.finish();
        result_.deployment.services.push_back(std::move(service));
    }

    std::uint32_t readNumber(RecordReader &reader, const std::string &field, std::uint32_t max)
    {
        const std::size_t faultsBefore = result_.faults.size();
        const std::uint32_t number = reader.number(field);
        if (faultsBefore == result_.faults.size() && (number == 0 || number > max))
            faults_.add(reader.line(), field + " is out of range",
                        "write a whole number from 1 to " + std::to_string(max));
        return number;
    }

    void readServers(const YamlEntry &entry, DeployedService &service)
    {
        const std::optional<std::uint32_t> servers = parseNumber(entry.value);
        if (!dataCentres_.contains(DataCentreId(entry.key)))
            faults_.add(entry.line, "data centre '" + entry.key + "' is not declared",
                        "add it to data-centres or correct its name");
        if (!servers || *servers > maxServersInDataCentre)
            faults_.add(entry.line, "the number of servers in " + entry.key + " is not valid",
                        "write a whole number up to " + std::to_string(maxServersInDataCentre));
        service.placements.push_back({DataCentreId(entry.key), servers.value_or(0)});
    }

    ParsedDeployment result_;
    FaultSink faults_{deploymentFileName, result_.faults};
    std::set<DataCentreId> dataCentres_;
};

} // namespace detail

ParsedDeployment readDeployment(const std::string &text)
{
    return detail::DeploymentReader().run(text);
}

void checkDeployment(const Deployment &deployment, const Declarations &declarations,
                     std::vector<SourceFault> &faults)
{
    std::set<ServiceId> declared;
    for (const Service &service : declarations.services)
        declared.insert(service.id);
    detail::FaultSink sink(deploymentFileName, faults);
    std::set<ServiceId> deployed;
    for (const DeployedService &service : deployment.services) {
        const std::string &name = service.service.value();
        if (!declared.contains(service.service))
            sink.add(1, "service '" + name + "' is not declared in plans.yaml",
                     "declare it or correct its name");
        if (!deployed.insert(service.service).second)
            sink.add(1, "service '" + name + "' is deployed twice", "remove one of them");
    }
    for (const ServiceId &service : declared) {
        if (!deployed.contains(service))
            sink.add(1, "service '" + service.value() + "' has no servers",
                     "add it to services, or remove it from plans.yaml");
    }
}

Result<std::string> loadDeploymentFile(const std::string &folder)
{
    return detail::readBoundedFile(folder + "/" + deploymentFileName);
}

} // namespace cornelhead
