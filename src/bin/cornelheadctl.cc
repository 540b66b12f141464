// The command line tool for operators.
#include <array>
#include <cstdio>
#include <iostream>
#include <thread>

#include "cornelhead/base/log.h"
#include "cornelhead/base/random.h"
#include "cornelhead/ctl/command-line.h"
#include "cornelhead/ctl/commands.h"

namespace {

using namespace cornelhead;

constexpr Milliseconds nodeTimeout(2000);

EditId randomEdit()
{
    Random random(randomSeed());
    std::array<char, 33> text{};
    std::snprintf(text.data(), text.size(), "%016llx%016llx",
                  static_cast<unsigned long long>(random.engine()()),
                  static_cast<unsigned long long>(randomSeed()));
    return EditId(text.data());
}

Result<HttpResponse> queryNode(const Address &address, const std::string &path)
{
    HttpRequest request;
    request.path = path;
    return callBlocking(address, request, nodeTimeout);
}

CommandContext makeContext(PlatformSession &session)
{
    CommandContext context;
    context.platform = session.operations();
    context.nowMs = wallClockMs;
    context.makeEditId = randomEdit;
    context.sleep = [](Milliseconds duration) { std::this_thread::sleep_for(duration); };
    context.queryNode = queryNode;
    return context;
}

} // namespace

int main(int argc, char **argv)
{
    // Logs only errors, so that the output is the result of the command.
    if (const Result<void> logging = configureLogging("error"); !logging)
        return static_cast<int>(exitCodeOf(logging.error()));
    Settings settings = Settings::parseOrExit(commandUsage, argc, argv);
    const CommandLine line = readCommandLine(settings);
    settings.exitOnFaults();
    PlatformSession session(line.platform, line.retryTimeout);
    Output output(line.format, std::cout, std::cerr);
    return static_cast<int>(runCommand(line.command, makeContext(session), output));
}
