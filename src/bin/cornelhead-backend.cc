// A simulated backend server, for tests and demonstrations only.
#include <csignal>

#include "cornelhead/base/log.h"
#include "cornelhead/base/settings.h"
#include "cornelhead/standin/backend-server.h"

namespace {

using namespace cornelhead;

constexpr const char *usage = R"(Stands in for a backend server in tests.

Usage:
  cornelhead-backend [options]

Options:
  --listen ADDR             Serves calls, /health, /metrics and /control [default: 127.0.0.1:7300].
  --service NAME            The service it serves [default: bookings].
  --version-name NAME       The version it runs [default: v1].
  --server NAME             Its id; made from address and start time where absent.
  --node-admin ADDR         Announces itself to this node; none runs it without a node.
  --node-proxy ADDR         Sends the nested calls of X-Call-Chain to this proxy.
  --ledger ADDR             Reports each run of a keyed call by UDP before it begins.
  --slots N                 Calls it runs at once [default: 10].
  --queue N                 Calls that may wait for a slot; others are shed [default: 10].
  --connections N           Connections it accepts [default: 130].
  --latency DURATION        Median time of a call [default: 5ms].
  --spread X                Standard deviation of the logarithm of the time [default: 0.3].
  --cold-start DURATION     Is in state starting, and slower, for so long [default: 0ms].
  --cold-factor X           Multiplies the time of a call during the cold start [default: 3].
  --fail-rate P             Share of calls that fail with status 500 [default: 0].
  --slow-factor X           Multiplies the time of a call [default: 1].
  --fail-after DURATION     Fails and slows calls only after so long [default: 0ms].
  --fail-route PREFIX       Fails and slows only calls of this path prefix [default: /].
  --fail-above-load X       Fails and slows calls only when so many of its slots run,
                            as a share [default: 0].
  --health-lag DURATION     Shows its health and load as they were so long ago [default: 0ms].
  --seed N                  Seeds times and failures [default: 1].
  --log-level LEVEL         One of debug, info, warning, error [default: info].
  --help                    Prints this text.
  --version                 Prints the version.
)";

constexpr std::uint64_t maxSlots = 100'000;
constexpr Milliseconds maxDuration = std::chrono::hours(1);
/// Time for the last responses to be sent before the process exits.
constexpr Milliseconds lingerAfterDrain(200);

BackendSettings readBehaviour(Settings &settings)
{
    BackendSettings behaviour;
    behaviour.slots = static_cast<std::uint32_t>(settings.integer("--slots", 1, maxSlots));
    behaviour.queueLength = static_cast<std::uint32_t>(settings.integer("--queue", 0, maxSlots));
    behaviour.medianLatency = settings.duration("--latency", Milliseconds(0), maxDuration);
    behaviour.spread = settings.real("--spread", 0, 5);
    behaviour.coldStart = settings.duration("--cold-start", Milliseconds(0), maxDuration);
    behaviour.coldFactor = settings.real("--cold-factor", 0, 1000);
    behaviour.failRate = settings.real("--fail-rate", 0, 1);
    behaviour.slowFactor = settings.real("--slow-factor", 0, 1000);
    behaviour.conditions.minUptime
            = settings.duration("--fail-after", Milliseconds(0), maxDuration);
    behaviour.conditions.pathPrefix = settings.text("--fail-route");
    behaviour.conditions.minLoad = settings.real("--fail-above-load", 0, 1);
    return behaviour;
}

std::optional<Address> readOptionalAddress(Settings &settings, const std::string &name)
{
    if (!settings.has(name))
        return std::nullopt;
    return settings.address(name);
}

BackendServerSettings readServer(Settings &settings, const Address &listen)
{
    BackendServerSettings server;
    server.behaviour = readBehaviour(settings);
    server.service = ServiceId(settings.text("--service"));
    server.version = VersionId(settings.text("--version-name"));
    server.server = ServerId(settings.has("--server")
                                     ? settings.text("--server")
                                     : listen.toString() + "-" + std::to_string(wallClockMs()));
    server.maxConnections
            = static_cast<std::uint32_t>(settings.integer("--connections", 1, maxSlots));
    server.nodeAdmin = readOptionalAddress(settings, "--node-admin");
    server.nodeProxy = readOptionalAddress(settings, "--node-proxy");
    server.ledger = readOptionalAddress(settings, "--ledger");
    server.healthLag = settings.duration("--health-lag", Milliseconds(0), maxDuration);
    server.seed = settings.integer("--seed", 0, UINT64_MAX);
    return server;
}

} // namespace

int main(int argc, char **argv)
{
    Settings settings = Settings::parseOrExit(usage, argc, argv);
    const Address listen = settings.address("--listen");
    const BackendServerSettings serverSettings = readServer(settings, listen);
    const std::string level = settings.text("--log-level");
    if (const Result<void> logging = configureLogging(level); !logging)
        settings.addFault("--log-level", level, logging.error().remedy);
    settings.exitOnFaults();

    EventLoop loop;
    Metrics metrics;
    BackendServer server(loop, serverSettings, metrics);
    if (const Result<void> listening = server.listen(listen); !listening) {
        CORNELHEAD_LOG(ERROR, "backend") << listening.error().describe();
        return exitBadUsage;
    }
    Timer exitTimer;
    const auto drain = [&] {
        CORNELHEAD_LOG(INFO, "backend") << "Drains.";
        server.drain([&] { exitTimer = loop.after(lingerAfterDrain, [&] { loop.stop(); }); });
    };
    loop.onSignal(SIGTERM, drain);
    loop.onSignal(SIGINT, drain);
    CORNELHEAD_LOG(INFO, "backend")
            << "Serves " << serverSettings.service.value() << " " << serverSettings.version.value()
            << " on " << listen.toString() << ".";
    loop.run();
    CORNELHEAD_LOG(INFO, "backend") << "Exits; all calls have ended.";
    return 0;
}
