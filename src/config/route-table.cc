// Checks and indexes route tables.
#include "cornelhead/config/route-table.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace cornelhead {
namespace detail {

std::string lowerCase(std::string_view text)
{
    std::string lower(text);
    std::transform(lower.begin(), lower.end(), lower.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return lower;
}

// The port of a Host header says nothing about the route.
std::string_view withoutPort(std::string_view host)
{
    const std::size_t colon = host.rfind(':');
    if (colon == std::string_view::npos || host.find(']', colon) != std::string_view::npos)
        return host;
    return host.substr(0, colon);
}

tl::unexpected<Error> badRoute(const HostRoute &route, const std::string &what,
                               const std::string &remedy)
{
    return fail(ErrorKind::InvalidDeclaration, "route " + route.id.value() + " " + what, remedy);
}

Result<void> checkRoute(const HostRoute &route)
{
    if (route.host.empty())
        return badRoute(route, "names no host", "name the host that callers ask for");
    if (route.pathPrefix.empty() || route.pathPrefix.front() != '/'
        || route.pathPrefix.back() != '/')
        return badRoute(route, "has a bad prefix", "begin and end the prefix with '/'");
    std::uint64_t weights = 0;
    for (const RouteTarget &target : route.targets)
        weights += target.weight;
    if (weights == 0)
        return badRoute(route, "sends calls nowhere", "give a service a weight above 0");
    if (route.timeout <= Milliseconds(0) || route.attempts == 0)
        return badRoute(route, "allows no call", "set a timeout and attempts above 0");
    return {};
}

} // namespace detail

Result<std::shared_ptr<const RouteTable>> RouteTable::build(Revision revision,
                                                            RouteDeclarations declarations)
{
    std::shared_ptr<RouteTable> table(new RouteTable);
    table->revision_ = revision;
    table->declarations_ = std::move(declarations);
    const Result<void> indexed = table->index();
    if (!indexed)
        return tl::unexpected(indexed.error());
    return table;
}

Result<void> RouteTable::index()
{
    for (const HostService &service : declarations_.services)
        services_.emplace(service.id, &service);
    for (const HostRoute &route : declarations_.routes) {
        Result<void> checked = detail::checkRoute(route);
        if (!checked)
            return checked;
        for (const RouteTarget &target : route.targets) {
            if (!services_.contains(target.service)) {
                return detail::badRoute(route, "sends calls to an unknown service",
                                        "declare " + target.service.value());
            }
        }
        auto &prefixes = hosts_[detail::lowerCase(route.host)];
        if (!prefixes.emplace(route.pathPrefix, &route).second)
            return detail::badRoute(route, "repeats another route", "keep one of the two");
    }
    return {};
}

const HostRoute *RouteTable::match(std::string_view host, std::string_view path) const
{
    const auto prefixes = hosts_.find(detail::lowerCase(detail::withoutPort(host)));
    if (prefixes == hosts_.end())
        return nullptr;
    // Prefixes end at a slash, so only the path's own slashes can end one.
    for (std::size_t end = path.rfind('/'); end != std::string_view::npos;
         end = end == 0 ? std::string_view::npos : path.rfind('/', end - 1)) {
        const auto route = prefixes->second.find(path.substr(0, end + 1));
        if (route != prefixes->second.end())
            return route->second;
    }
    return nullptr;
}

const HostService *RouteTable::findService(const ServiceId &id) const
{
    const auto service = services_.find(id);
    return service == services_.end() ? nullptr : service->second;
}

} // namespace cornelhead
