// A simulated platform with its key-value service, for tests and demonstrations only.
#include <csignal>

#include "cornelhead/base/log.h"
#include "cornelhead/base/random.h"
#include "cornelhead/base/settings.h"
#include "cornelhead/standin/platform-server.h"

namespace {

using namespace cornelhead;

constexpr const char *usage = R"(Stands in for the platform's key-value service in tests.

Usage:
  cornelhead-platform [options]

Options:
  --listen ADDR             Serves calls, /control, /metrics and /status [default: 127.0.0.1:7200].
  --control ADDR            Serves /control, /metrics and /status also during an outage.
  --reads-per-second N      Admits so many reads; a waiting watch counts as one [default: 2000].
  --writes-per-second N     Admits so many writes [default: 400].
  --logged-changes N        Keeps so many changes for watchers [default: 10000].
  --seed N                  Seeds the faults; 0 takes a fresh seed [default: 0].
  --log-level LEVEL         One of debug, info, warning, error [default: info].
  --help                    Prints this text.
  --version                 Prints the version.
)";

constexpr double maxCallsPerSecond = 1e6;
constexpr std::uint64_t maxLoggedChanges = 10'000'000;

struct ProgramSettings
{
    PlatformServerSettings server;
    Address listen;
    std::optional<Address> control;
};

ProgramSettings readSettings(int argc, const char *const *argv)
{
    Settings settings = Settings::parseOrExit(usage, argc, argv);
    ProgramSettings program;
    program.listen = settings.address("--listen");
    if (settings.has("--control"))
        program.control = settings.address("--control");
    program.server.readsPerSecond = settings.real("--reads-per-second", 1, maxCallsPerSecond);
    program.server.writesPerSecond = settings.real("--writes-per-second", 1, maxCallsPerSecond);
    program.server.limits.loggedChanges = settings.integer("--logged-changes", 1, maxLoggedChanges);
    program.server.seed = settings.integer("--seed", 0, UINT64_MAX);
    if (program.server.seed == 0)
        program.server.seed = randomSeed();
    const std::string level = settings.text("--log-level");
    if (const Result<void> logging = configureLogging(level); !logging)
        settings.addFault("--log-level", level, logging.error().remedy);
    settings.exitOnFaults();
    return program;
}

void exitOnError(const Result<void> &listening)
{
    if (listening)
        return;
    CORNELHEAD_LOG(ERROR, "platform") << listening.error().describe();
    std::exit(exitBadUsage);
}

} // namespace

int main(int argc, char **argv)
{
    const ProgramSettings settings = readSettings(argc, argv);
    EventLoop loop;
    Metrics metrics;
    PlatformServer server(loop, settings.server, metrics);
    exitOnError(server.listen(settings.listen));
    if (settings.control)
        exitOnError(server.listenControl(*settings.control));
    const auto drain = [&] { server.drain([&] { loop.stop(); }); };
    loop.onSignal(SIGTERM, drain);
    loop.onSignal(SIGINT, drain);
    CORNELHEAD_LOG(INFO, "platform") << "Serves on " << settings.listen.toString() << ".";
    loop.run();
    CORNELHEAD_LOG(INFO, "platform") << "Exits; all calls have ended.";
    return 0;
}
