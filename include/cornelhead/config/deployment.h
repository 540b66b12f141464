// Describes the servers of an example deployment, for the demonstration and for tests.
//
// Cornelhead itself reads no list of servers: they announce themselves.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "cornelhead/base/ids.h"
#include "cornelhead/config/declarations-reader.h"

namespace cornelhead {

/// How many servers of a service run in one data centre.
struct ServerPlacement
{
    DataCentreId dataCentre;
    std::uint32_t servers = 0;
};

/// The servers of one service.
struct DeployedService
{
    ServiceId service;
    /// Calls that one server runs at once.
    std::uint32_t slots = 0;
    /// Connections that one server holds open.
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

/// Reads deployment.yaml and finds all faults at once.
ParsedDeployment readDeployment(const std::string &text);

/// Adds a fault for each service that only one of the two names.
void checkDeployment(const Deployment &deployment, const Declarations &declarations,
                     std::vector<SourceFault> &faults);

/// Reads the file of a folder.  Fails with `NotFound` where it cannot be opened.
Result<std::string> loadDeploymentFile(const std::string &folder);

} // namespace cornelhead
