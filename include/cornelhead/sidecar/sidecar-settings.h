// The settings of cornelhead-sidecar, read from flags and environment variables.
#pragma once

#include <cstdint>
#include <string>

#include "cornelhead/base/address.h"
#include "cornelhead/base/clock.h"
#include "cornelhead/base/ids.h"
#include "cornelhead/base/settings.h"
#include "cornelhead/routing/placement.h"

namespace cornelhead {

/// The usage text of cornelhead-sidecar.
extern const char *const sidecarUsage;

struct SidecarSettings
{
    DataCentreId dataCentre;
    /// The service of this host's backend server.
    ServiceId service;
    /// Where this host's backend server listens.
    Address server;
    /// Where callers of this host connect.
    Address outbound;
    /// Where other nodes connect.
    Address inbound;
    /// Readiness checks and metrics.
    Address readiness;
    /// Where this host's backend server announces itself.
    Address control;
    Address platform;
    /// Capacity of this host's network link, in Mbit/s.
    double linkMbps = 1000.0;
    /// Memory limit of this process, in MB.
    std::uint64_t memoryMb = 256;
    /// Maximum duration of a graceful stop.
    Milliseconds stopTimeout{};
    /// The fleet's limit of retries: this share of the calls in each window.
    double retryRatio = 0.0;
    Milliseconds retryWindow{};
    /// Requests of one connection that callers may have in flight at once.
    std::uint64_t requestsAhead = 1;
    /// When calls leave this data centre.
    DepartureRule departure = DepartureRule::WhenShort;
    /// Refused callers return at paced times and go before first tries, also without customers.
    bool returningFirst = false;
    std::string logLevel;
    std::uint64_t seed = 0;
};

/// Reads and validates every setting; errors are collected in `settings`.
SidecarSettings readSidecarSettings(Settings &settings);

} // namespace cornelhead
