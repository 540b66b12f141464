// Reads the settings of cornelhead-node.
#include "cornelhead/node/node-settings.h"

#include "cornelhead/base/random.h"

namespace cornelhead {

const char *const nodeUsage
        = R"(cornelhead-node: the proxy and configuration node of one backend server host.

Usage:
  cornelhead-node [options]
  cornelhead-node --help
  cornelhead-node --version

Options:
  --data-centre NAME         Data centre of this host.
  --data-centres NAMES       All data centres of the fleet, the same at each node, separated by
                             commas. [default: ]
  --listen ADDRESS           Where callers connect. [default: 127.0.0.1:8080]
  --admin ADDRESS            Metrics, status and announcements. [default: 127.0.0.1:8081]
  --inner ADDRESS            Where other nodes connect. [default: 127.0.0.1:8082]
  --platform ADDRESSES       Addresses of the platform's service, separated by commas.
  --seeds ADDRESSES          Inner addresses of a few other hosts, separated by commas. [default: ]
  --workers N                Worker threads of the proxy. [default: 1]
  --relays N                 Relays kept in each data centre. [default: 2]
  --relay-lease DURATION     How long a silent relay keeps its slot. [default: 3s]
  --platform-timeout DURATION  How long one call of the platform may take. [default: 2s]
  --drain-timeout DURATION   How long a stop waits for calls in flight. [default: 30s]
  --log-level LEVEL          debug, info, warning or error. [default: info]
  --seed N                   Seed of random choices; 0 takes a fresh one. [default: 0]
  --help                     Print this text.
  --version                  Print the version.

Each flag may also be set by an environment variable: --data-centre by CORNELHEAD_DATA_CENTRE.
)";

namespace detail {

void checkDistinctAddresses(Settings &settings, const NodeSettings &node)
{
    if (node.listen == node.admin || node.listen == node.inner || node.admin == node.inner) {
        settings.addFault("--listen", node.listen.toString(),
                          "give --listen, --admin and --inner three different addresses");
    }
}

} // namespace detail

NodeSettings readNodeSettings(Settings &settings)
{
    constexpr std::uint64_t maxWorkers = 64;
    constexpr std::uint64_t maxRelays = 16;
    NodeSettings node;
    node.dataCentre = DataCentreId(settings.text("--data-centre"));
    for (const std::string &name : settings.list("--data-centres"))
        node.dataCentres.emplace_back(name);
    node.listen = settings.address("--listen");
    node.admin = settings.address("--admin");
    node.inner = settings.address("--inner");
    node.platform = settings.addresses("--platform");
    if (settings.list("--platform").empty())
        settings.addFault("--platform", "", "give at least one address of the platform's service");
    node.seeds = settings.addresses("--seeds");
    node.workers = static_cast<std::uint32_t>(settings.integer("--workers", 1, maxWorkers));
    node.relays = static_cast<std::uint32_t>(settings.integer("--relays", 1, maxRelays));
    node.relayLeaseTtl
            = settings.duration("--relay-lease", Milliseconds(500), std::chrono::minutes(1));
    node.platformTimeout
            = settings.duration("--platform-timeout", Milliseconds(50), std::chrono::minutes(1));
    node.drainTimeout
            = settings.duration("--drain-timeout", Milliseconds(0), std::chrono::hours(1));
    node.logLevel = settings.choice("--log-level", {"info", "debug", "warning", "error"});
    node.seed = settings.integer("--seed", 0, UINT64_MAX);
    if (node.seed == 0)
        node.seed = randomSeed();
    detail::checkDistinctAddresses(settings, node);
    return node;
}

} // namespace cornelhead
