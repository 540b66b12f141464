// Describes the servers of an example deployment, for the demonstration and for tests.
//
// Cornelhead itself needs no list of servers, as servers announce themselves.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "cornelhead/base/ids.h"
#include "cornelhead/config/declarations-reader.h"

namespace cornelhead {

/// The number of servers of a service in one data centre.
struct ServerPlacement
{
    DataCentreId dataCentre;
    std::uint32_t servers = 0;
};

/// The servers of one service.
struct DeployedService
{
    ServiceId service;
    /// Maximum number of concurrent calls per server.
    std::uint32_t slots = 0;
    /// Maximum number of open connections per server.
    std::uint32_t connections = 0;
    std::vector<ServerPlacement> placements;
};

struct Deployment
{
    std::vector<DataCentreId> dataCentres;
    std::vector<DeployedService> services;
};

struct ParsedDeployment
{
    Deployment deployment;
    std::vector<SourceFault> faults;
};

/// Parses deployment.yaml and reports all faults.
ParsedDeployment readDeployment(const std::string &text);

/// Adds a fault for each service that only one of the two files names, or that is deployed twice.
void checkDeployment(const Deployment &deployment, const Declarations &declarations,
                     std::vector<SourceFault> &faults);

/// Loads deployment.yaml from a folder.  Fails with `NotFound` if it cannot be read.
Result<std::string> loadDeploymentFile(const std::string &folder);

} // namespace cornelhead
