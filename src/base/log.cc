// Configures easylogging++ and defines its global storage.
#include "cornelhead/base/log.h"

#include <string>

INITIALIZE_EASYLOGGINGPP

namespace cornelhead {
namespace detail {

void setEnabledLevels(el::Configurations &config, bool debug, bool info, bool warning)
{
    const auto set = [&](el::Level level, bool enabled) {
        config.set(level, el::ConfigurationType::Enabled, enabled ? "true" : "false");
    };
    set(el::Level::Debug, debug);
    set(el::Level::Info, info);
    set(el::Level::Warning, warning);
}

} // namespace detail

Result<void> configureLogging(std::string_view level)
{
    if (level != "debug" && level != "info" && level != "warning" && level != "error") {
        return fail(ErrorKind::InvalidSetting, "log level '" + std::string(level) + "' is unknown",
                    "use debug, info, warning or error");
    }
    el::Loggers::addFlag(el::LoggingFlag::ImmediateFlush);
    el::Loggers::addFlag(el::LoggingFlag::DisableApplicationAbortOnFatalLog);
    el::Configurations config;
    config.setToDefault();
    config.setGlobally(el::ConfigurationType::ToFile, "false");
    config.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
    config.setGlobally(el::ConfigurationType::Format,
                       "%datetime{%Y-%M-%dT%H:%m:%s.%g} %levshort %msg");
    const bool debug = level == "debug";
    const bool info = debug || level == "info";
    detail::setEnabledLevels(config, debug, info, info || level == "warning");
    el::Loggers::setDefaultConfigurations(config, true);
    el::Loggers::reconfigureAllLoggers(config);
    return {};
}

} // namespace cornelhead
