// The settings of cornelhead-node, read from flags and environment variables.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "cornelhead/base/address.h"
#include "cornelhead/base/clock.h"
#include "cornelhead/base/ids.h"
#include "cornelhead/base/settings.h"

namespace cornelhead {

/// The usage text of cornelhead-node.
extern const char *const nodeUsage;

struct NodeSettings
{
    DataCentreId dataCentre;
    /// All data centres of the fleet, over which the home nodes of idempotency keys are spread.
    std::vector<DataCentreId> dataCentres;
    Address listen;
    Address admin;
    Address inner;
    std::vector<Address> platform;
    std::vector<Address> seeds;
    std::uint32_t workers = 1;
    std::uint32_t relays = 2;
    Milliseconds relayLeaseTtl = Milliseconds(3000);
    Milliseconds platformTimeout = Milliseconds(2000);
    Milliseconds drainTimeout = Milliseconds(30000);
    std::string logLevel;
    std::uint64_t seed = 0;
};

/// Reads and validates every setting; faults are collected in `settings`.
NodeSettings readNodeSettings(Settings &settings);

} // namespace cornelhead
