// Reads the settings of cornelhead-sidecar.
#include "cornelhead/sidecar/sidecar-settings.h"

#include "cornelhead/base/random.h"

namespace cornelhead {

const char *const sidecarUsage
        = R"(cornelhead-sidecar: the proxy beside one backend server, for calls from and to its host.

Usage:
  cornelhead-sidecar [options]
  cornelhead-sidecar --help
  cornelhead-sidecar --version

Options:
  --data-centre NAME       Data centre of this host.
  --service NAME           Service of this host's backend server.
  --server ADDRESS         Where this host's backend server listens. [default: 127.0.0.1:8085]
  --outbound ADDRESS       Where callers of this host connect. [default: 127.0.0.1:8080]
  --inbound ADDRESS        Where other nodes connect. [default: 127.0.0.1:8082]
  --readiness ADDRESS      Readiness checks and metrics. [default: 127.0.0.1:8081]
  --control ADDRESS        Where the backend server announces itself. [default: 127.0.0.1:8083]
  --platform ADDRESS       Address of the platform's key-value store. [default: 127.0.0.1:8090]
  --link-mbps RATE         Capacity of this host's link, in Mbit/s. [default: 1000]
  --memory-mb SIZE         Memory limit of this process, in MB; a quarter of it is for the bytes of
                           calls and messages. [default: 256]
  --stop-timeout DURATION  Maximum duration of a graceful stop. [default: 6s]
  --retry-ratio RATIO      Retries allowed per call, over all nodes. [default: 0.2]
  --retry-window DURATION  The window to which --retry-ratio applies. [default: 10s]
  --requests-ahead N       Requests that a caller may have in flight on one connection; those that it
                           sends ahead beyond that wait. [default: 1]
  --leave-data-centre RULE  When calls leave this data centre. when-short: also a share of them
                           while it is short of room; by-cost: only if the one host that is
                           compared there costs less. [default: when-short]
  --returning-first        Pace the returns of refused callers, and let them go before first tries,
                           also where the configuration names no customers.
  --log-level LEVEL        debug, info, warning or error. [default: info]
  --seed N                 Seed of random choices; 0 for a random seed. [default: 0]
  --help                   Print this text.
  --version                Print the version.

Each flag that takes a value may also be set by an environment variable: --data-centre by
CORNELHEAD_DATA_CENTRE.
)";

SidecarSettings readSidecarSettings(Settings &settings)
{
    SidecarSettings sidecar;
    sidecar.dataCentre = DataCentreId(settings.text("--data-centre"));
    sidecar.service = ServiceId(settings.text("--service"));
    sidecar.server = settings.address("--server");
    sidecar.outbound = settings.address("--outbound");
    sidecar.inbound = settings.address("--inbound");
    sidecar.readiness = settings.address("--readiness");
    sidecar.control = settings.address("--control");
    sidecar.platform = settings.address("--platform");
    sidecar.linkMbps = settings.real("--link-mbps", 0.1, 1e6);
    sidecar.memoryMb = settings.integer("--memory-mb", 32, 1U << 20U);
    sidecar.stopTimeout
            = settings.duration("--stop-timeout", Milliseconds(100), std::chrono::hours(1));
    sidecar.retryRatio = settings.real("--retry-ratio", 0.0, 1.0);
    sidecar.retryWindow
            = settings.duration("--retry-window", Milliseconds(100), std::chrono::hours(1));
    sidecar.requestsAhead = settings.integer("--requests-ahead", 1, 1024);
    sidecar.departure
            = settings.choice("--leave-data-centre", {"when-short", "by-cost"}) == "by-cost"
            ? DepartureRule::ByCost
            : DepartureRule::WhenShort;
    sidecar.returningFirst = settings.flag("--returning-first");
    sidecar.logLevel = settings.choice("--log-level", {"info", "debug", "warning", "error"});
    sidecar.seed = settings.integer("--seed", 0, UINT64_MAX);
    if (sidecar.seed == 0)
        sidecar.seed = randomSeed();
    return sidecar;
}

} // namespace cornelhead
