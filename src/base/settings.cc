// Merges environment variables into the arguments, parses them with docopt and validates values.
#include "cornelhead/base/settings.h"

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <iostream>
#include <regex>
#include <set>
#include <sstream>

namespace cornelhead {
namespace detail {

std::string environmentName(const std::string &flag)
{
    std::string name = "CORNELHEAD_";
    for (const char c : flag.substr(2))
        name += c == '-' ? '_' : static_cast<char>(std::toupper(static_cast<unsigned char>(c)));
    return name;
}

// Only flags with a value can be set by the environment.
std::set<std::string> valueFlags(const std::string &usage)
{
    static const std::regex pattern("^ +(--[a-z][a-z0-9-]*)[ =][A-Z]");
    std::set<std::string> flags;
    std::istringstream lines(usage);
    for (std::string line; std::getline(lines, line);) {
        std::smatch match;
        if (std::regex_search(line, match, pattern))
            flags.insert(match[1]);
    }
    return flags;
}

bool hasFlag(const std::vector<std::string> &args, const std::string &flag)
{
    return std::any_of(args.begin(), args.end(), [&](const std::string &arg) {
        return arg == flag || arg.rfind(flag + "=", 0) == 0;
    });
}

std::vector<std::string> withEnvironment(const std::string &usage, std::vector<std::string> args)
{
    for (const std::string &flag : valueFlags(usage)) {
        const char *value = std::getenv(environmentName(flag).c_str());
        if (value && !hasFlag(args, flag))
            args.push_back(flag + "=" + value);
    }
    return args;
}

std::vector<std::string> splitCommas(const std::string &text)
{
    std::vector<std::string> items;
    std::istringstream in(text);
    for (std::string item; std::getline(in, item, ',');) {
        if (!item.empty())
            items.push_back(item);
    }
    return items;
}

} // namespace detail

Result<Settings> Settings::parse(const std::string &usage, const std::vector<std::string> &args)
{
    try {
        return Settings(
                docopt::docopt_parse(usage, detail::withEnvironment(usage, args), false, false));
    } catch (const std::exception &error) {
        return fail(ErrorKind::InvalidSetting, std::string("invalid command line: ") + error.what(),
                    "see --help for the list of flags");
    }
}

Settings Settings::parseOrExit(const std::string &usage, int argc, const char *const *argv)
{
    const std::vector<std::string> args(argv + 1, argv + argc);
    if (detail::hasFlag(args, "--help")) {
        std::cout << usage;
        std::exit(0);
    }
    if (detail::hasFlag(args, "--version")) {
        std::cout << "cornelhead " << CORNELHEAD_VERSION << '\n';
        std::exit(0);
    }
    Result<Settings> settings = parse(usage, args);
    if (!settings) {
        std::cerr << settings.error().describe() << '\n';
        std::exit(exitBadUsage);
    }
    return *settings;
}

bool Settings::flag(const std::string &name) const
{
    const auto found = values_.find(name);
    return found != values_.end() && found->second.isBool() && found->second.asBool();
}

bool Settings::has(const std::string &name) const
{
    const auto found = values_.find(name);
    return found != values_.end() && found->second.isString();
}

std::string Settings::text(const std::string &name)
{
    if (!has(name)) {
        addFault(name, "", "give it, or set " + detail::environmentName(name));
        return {};
    }
    return values_.at(name).asString();
}

std::vector<std::string> Settings::list(const std::string &name)
{
    return has(name) ? detail::splitCommas(text(name)) : std::vector<std::string>();
}

std::vector<std::string> Settings::all(const std::string &name) const
{
    const auto found = values_.find(name);
    const bool isList = found != values_.end() && found->second.isStringList();
    return isList ? found->second.asStringList() : std::vector<std::string>();
}

Address Settings::address(const std::string &name)
{
    const std::string value = text(name);
    Result<Address> address = parseAddress(value);
    if (!address) {
        addFault(name, value, address.error().remedy);
        return {};
    }
    return *address;
}

std::vector<Address> Settings::addresses(const std::string &name)
{
    std::vector<Address> all;
    for (const std::string &item : list(name)) {
        Result<Address> address = parseAddress(item);
        if (address)
            all.push_back(*address);
        else
            addFault(name, item, address.error().remedy);
    }
    return all;
}

std::uint64_t Settings::integer(const std::string &name, std::uint64_t min, std::uint64_t max)
{
    const std::string value = text(name);
    std::uint64_t number = 0;
    const char *end = value.data() + value.size();
    const auto [parsed, error] = std::from_chars(value.data(), end, number);
    if (error == std::errc() && parsed == end && number >= min && number <= max)
        return number;
    addFault(name, value,
             "give a whole number from " + std::to_string(min) + " to " + std::to_string(max));
    return min;
}

double Settings::real(const std::string &name, double min, double max)
{
    const std::string value = text(name);
    double number = 0;
    const char *end = value.data() + value.size();
    const auto [parsed, error] = std::from_chars(value.data(), end, number);
    if (error == std::errc() && parsed == end && number >= min && number <= max)
        return number;
    addFault(name, value,
             "give a number from " + std::to_string(min) + " to " + std::to_string(max));
    return min;
}

Milliseconds Settings::duration(const std::string &name, Milliseconds min, Milliseconds max)
{
    const std::string value = text(name);
    const Result<Milliseconds> duration = parseDuration(value);
    if (duration && *duration >= min && *duration <= max)
        return *duration;
    addFault(name, value,
             "give a duration from " + std::to_string(min.count()) + "ms to "
                     + std::to_string(max.count()) + "ms");
    return min;
}

std::string Settings::choice(const std::string &name, const std::vector<std::string> &allowed)
{
    std::string value = text(name);
    if (std::find(allowed.begin(), allowed.end(), value) != allowed.end())
        return value;
    std::string remedy = "give one of";
    for (const std::string &item : allowed)
        remedy += " " + item;
    addFault(name, value, remedy);
    return allowed.front();
}

void Settings::addFault(const std::string &name, const std::string &value,
                        const std::string &remedy)
{
    const std::string problem
            = value.empty() ? " is missing" : " has the wrong value '" + value + "'";
    faults_.push_back(Error{ErrorKind::InvalidSetting, name + problem, remedy});
}

void Settings::exitOnFaults() const
{
    if (faults_.empty())
        return;
    for (const Error &fault : faults_)
        std::cerr << fault.describe() << '\n';
    std::exit(exitBadUsage);
}

Result<Milliseconds> parseDuration(std::string_view text)
{
    std::int64_t amount = 0;
    const char *end = text.data() + text.size();
    const auto [parsed, error] = std::from_chars(text.data(), end, amount);
    const std::string_view unit(parsed, static_cast<std::size_t>(end - parsed));
    if (error == std::errc() && amount >= 0 && amount < 1'000'000'000) {
        if (unit == "ms")
            return Milliseconds(amount);
        if (unit == "s")
            return Milliseconds(std::chrono::seconds(amount));
        if (unit == "m")
            return Milliseconds(std::chrono::minutes(amount));
        if (unit == "h")
            return Milliseconds(std::chrono::hours(amount));
    }
    return fail(ErrorKind::InvalidSetting, "'" + std::string(text) + "' is not a duration",
                "write a number and a unit, such as 250ms, 3s, 2m or 1h");
}

} // namespace cornelhead
