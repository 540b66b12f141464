// Settings from flags and environment variables, checked together at start.
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

/// The exit code of a program whose settings or arguments are wrong.
constexpr int exitBadUsage = 2;

/// Reads the settings of a program and collects every fault before reporting them.
///
/// A flag `--some-flag VALUE` that is absent from the command line is taken from the environment
/// variable `CORNELHEAD_SOME_FLAG`, then from docopt's default in the usage text.
///
///     Settings settings = Settings::parseOrExit(usage, argc, argv);
///     Address listen = settings.address("--listen");
///     settings.exitOnFaults();
class Settings
{
public:
    /// Parses the command line; prints help or version and exits where asked to, and exits with
    /// `exitBadUsage` where the line does not fit the usage text.
    static Settings parseOrExit(const std::string &usage, int argc, const char *const *argv);
    /// Parses arguments without the program name.  Fails with `InvalidSetting`.
    static Result<Settings> parse(const std::string &usage, const std::vector<std::string> &args);

    bool flag(const std::string &name) const;
    bool has(const std::string &name) const;
    std::string text(const std::string &name);
    std::vector<std::string> list(const std::string &name);
    /// Returns every value of a flag that may be repeated.
    std::vector<std::string> all(const std::string &name) const;
    Address address(const std::string &name);
    /// Reads a comma-separated list of addresses; empty text gives an empty list.
    std::vector<Address> addresses(const std::string &name);
    std::uint64_t integer(const std::string &name, std::uint64_t least, std::uint64_t most);
    double real(const std::string &name, double least, double most);
    /// Reads a duration such as "250ms", "3s" or "2m".
    Milliseconds duration(const std::string &name, Milliseconds least, Milliseconds most);
    /// Reads one of `allowed`.
    std::string choice(const std::string &name, const std::vector<std::string> &allowed);
    /// Adds a fault found by the caller.
    void addFault(const std::string &name, const std::string &value, const std::string &remedy);

    const std::vector<Error> &faults() const { return faults_; }
    /// Prints all faults to standard error and exits with `exitBadUsage`, if there are any.
    void exitOnFaults() const;

private:
    explicit Settings(std::map<std::string, docopt::value> values) : values_(std::move(values)) { }

    std::map<std::string, docopt::value> values_;
    std::vector<Error> faults_;
};

/// Reads a duration such as "250ms", "3s", "2m" or "1h".  Fails with `InvalidSetting`.
Result<Milliseconds> parseDuration(std::string_view text);

} // namespace cornelhead
