// Runs one sidecar on the users' platform; reloads on SIGHUP and stops gracefully on SIGTERM or
// SIGINT.
#include <csignal>
#include <iostream>

#include "cornelhead/base/log.h"
#include "cornelhead/sidecar/sidecar.h"
#include "platform/users-dialect.h"

int main(int argc, char **argv)
{
    using namespace cornelhead;
    Settings settings = Settings::parseOrExit(sidecarUsage, argc, argv);
    const SidecarSettings sidecarSettings = readSidecarSettings(settings);
    settings.exitOnFaults();
    Result<void> started = configureLogging(sidecarSettings.logLevel);
    EventLoop loop;
    Sidecar sidecar(loop, sidecarSettings, adapter::usersDialect());
    if (started)
        started = sidecar.start();
    if (!started) {
        std::cerr << started.error().describe() << '\n';
        return exitBadUsage;
    }
    const auto stop = [&] { sidecar.stop([&] { loop.stop(); }); };
    loop.onSignal(SIGTERM, stop);
    loop.onSignal(SIGINT, stop);
    loop.onSignal(SIGHUP, [&] { sidecar.reload(); });
    loop.run();
    return 0;
}
