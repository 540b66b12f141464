// Runs one node and stops it gracefully on SIGTERM or SIGINT.
#include <csignal>
#include <iostream>

#include "cornelhead/base/log.h"
#include "cornelhead/node/node.h"

int main(int argc, char **argv)
{
    using namespace cornelhead;
    Settings settings = Settings::parseOrExit(nodeUsage, argc, argv);
    const NodeSettings nodeSettings = readNodeSettings(settings);
    settings.exitOnFaults();
    Result<void> started = configureLogging(nodeSettings.logLevel);
    EventLoop loop;
    Node node(loop, nodeSettings);
    if (started)
        started = node.start();
    if (!started) {
        std::cerr << started.error().describe() << '\n';
        return exitBadUsage;
    }
    const auto stop = [&] { node.drain([&] { loop.stop(); }); };
    loop.onSignal(SIGTERM, stop);
    loop.onSignal(SIGINT, stop);
    loop.run();
    return 0;
}
