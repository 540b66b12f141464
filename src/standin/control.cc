// Parses and runs the control commands of the simulated servers.
#include "cornelhead/standin/control.h"

#include <charconv>
#include <sstream>

#include "cornelhead/base/settings.h"
#include "cornelhead/platform/wire.h"

namespace cornelhead {
namespace detail {

constexpr std::string_view controlPrefix = "/control/";

template <typename T>
std::optional<T> parseNumber(const std::string &text, T max)
{
    T value{};
    const char *end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, value);
    if (error != std::errc() || stop != end || value < T{} || value > max)
        return std::nullopt;
    return value;
}

} // namespace detail

void ControlParameters::addFault(const std::string &name, const std::string &remedy)
{
    if (fault_)
        return;
    const std::string value = has(name) ? query_->at(name) : "";
    const std::string problem = has(name) ? " has the wrong value '" + value + "'" : " is missing";
    fault_ = Error{ErrorKind::InvalidMessage, name + problem, remedy};
}

std::string ControlParameters::text(const std::string &name)
{
    if (has(name))
        return query_->at(name);
    addFault(name, "add it to the query string");
    return {};
}

std::uint64_t ControlParameters::integer(const std::string &name, std::uint64_t max)
{
    const auto value = detail::parseNumber<std::uint64_t>(text(name), max);
    if (!value)
        addFault(name, "give a whole number from 0 to " + std::to_string(max));
    return value.value_or(0);
}

double ControlParameters::real(const std::string &name, double max)
{
    const auto value = detail::parseNumber<double>(text(name), max);
    if (!value)
        addFault(name, "give a number from 0 to " + std::to_string(max));
    return value.value_or(0);
}

Milliseconds ControlParameters::duration(const std::string &name)
{
    const Result<Milliseconds> value = parseDuration(text(name));
    if (!value)
        addFault(name, value.error().remedy);
    return value.value_or(Milliseconds());
}

std::vector<std::string> ControlParameters::list(const std::string &name)
{
    std::vector<std::string> items;
    std::istringstream in(text(name));
    for (std::string item; std::getline(in, item, ',');) {
        if (!item.empty())
            items.push_back(item);
    }
    return items;
}

bool isControlPath(const std::string &path)
{
    return std::string_view(path).substr(0, detail::controlPrefix.size()) == detail::controlPrefix;
}

HttpResponse ControlTable::run(const HttpRequest &request) const
{
    const auto command = commands_.find(request.path.substr(detail::controlPrefix.size()));
    if (command == commands_.end() || request.method != HttpMethod::Post) {
        std::string remedy = "POST to one of";
        for (const auto &[name, ignored] : commands_)
            remedy += " /control/" + name;
        return detail::errorResponse(Error{ErrorKind::NotFound, "unknown control command", remedy});
    }
    ControlParameters parameters(request.query);
    const std::function<void()> action = command->second(parameters);
    if (parameters.fault())
        return detail::errorResponse(*parameters.fault());
    action();
    return jsonResponse(200, "{}");
}

} // namespace cornelhead
