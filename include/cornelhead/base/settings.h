// Settings from flags and environment variables, validated at start.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include <docopt/docopt.h>

#include "cornelhead/base/address.h"
#include "cornelhead/base/clock.h"
#include "cornelhead/base/error.h"

namespace cornelhead {

/// The exit code of a program with invalid settings or arguments.
constexpr int exitBadUsage = 2;

/// Reads the settings of a program and collects all faults, which are reported together.
///
/// A flag `--some-flag VALUE` that is absent from the command line is read from the environment
/// variable `CORNELHEAD_SOME_FLAG`, else from docopt's default in the usage text.  A getter that
/// finds a missing or invalid value adds a fault and returns a placeholder.
///
///     Settings settings = Settings::parseOrExit(usage, argc, argv);
///     Address listen = settings.address("--listen");
///     settings.exitOnFaults();
class Settings
{
public:
    /// Parses the command line.  Handles `--help` and `--version`, and exits with `exitBadUsage` if
    /// the arguments do not match the usage text.
    static Settings parseOrExit(const std::string &usage, int argc, const char *const *argv);
    /// Parses arguments, which exclude the program name.  Fails with `InvalidSetting`.
    static Result<Settings> parse(const std::string &usage, const std::vector<std::string> &args);

    bool flag(const std::string &name) const;
    bool has(const std::string &name) const;
    std::string text(const std::string &name);
    /// Reads a comma-separated list; empty if the flag has no value.
    std::vector<std::string> list(const std::string &name);
    /// Returns all values of a repeatable flag.
    std::vector<std::string> all(const std::string &name) const;
    Address address(const std::string &name);
    /// Reads a comma-separated list of addresses; empty if the flag has no value.
    std::vector<Address> addresses(const std::string &name);
    /// Reads a whole number from `min` to `max`.
    std::uint64_t integer(const std::string &name, std::uint64_t min, std::uint64_t max);
    /// Reads a number from `min` to `max`.
    double real(const std::string &name, double min, double max);
    /// Reads a duration from `min` to `max`; see `parseDuration`.
    Milliseconds duration(const std::string &name, Milliseconds min, Milliseconds max);
    /// Reads one of `allowed`.
    std::string choice(const std::string &name, const std::vector<std::string> &allowed);
    /// Reports an invalid value found by the caller; an empty value is reported as missing.
    void addFault(const std::string &name, const std::string &value, const std::string &remedy);

    const std::vector<Error> &faults() const { return faults_; }
    /// If there are faults, prints them to standard error and exits with `exitBadUsage`.
    void exitOnFaults() const;

private:
    explicit Settings(std::map<std::string, docopt::value> values) : values_(std::move(values)) { }

    std::map<std::string, docopt::value> values_;
    std::vector<Error> faults_;
};

/// Parses a duration such as "250ms", "3s", "2m" or "1h".  Fails with `InvalidSetting`.
Result<Milliseconds> parseDuration(std::string_view text);

} // namespace cornelhead
