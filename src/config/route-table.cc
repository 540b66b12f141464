// Validates and indexes route tables.
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

// Removes the port of a Host header, as routes do not depend on it.
std::string_view withoutPort(std::string_view host)
{
    const std::size_t colon = host.rfind(':');
    if (colon == std::string_view::npos || host.find(']', colon) != std::string_view::npos)
        return host;
    return host.substr(0, colon);
}

tl::unexpected<Error> invalidRoute(const HostRoute &route, const std::string &problem,
                                   const std::string &remedy)
{
    return fail(ErrorKind::InvalidDeclaration, "route " + route.id.value() + " " + problem, remedy);
}

Result<void> checkRoute(const HostRoute &route)
{
    if (route.host.empty())
        return invalidRoute(route, "has no host", "add the host name that callers use");
    if (route.pathPrefix.empty() || route.pathPrefix.front() != '/'
        || route.pathPrefix.back() != '/')
        return invalidRoute(route, "has an invalid prefix", "start and end the prefix with '/'");
    std::uint64_t weightSum = 0;
    for (const RouteTarget &target : route.targets)
        weightSum += target.weight;
    if (weightSum == 0)
        return invalidRoute(route, "has no target", "give at least one service a weight above 0");
    if (route.timeout <= Milliseconds(0) || route.attempts == 0)
        return invalidRoute(route, "has no timeout or no attempts",
                            "set timeout and attempts to values above 0");
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
    if (table->declarations_.customers) {
        Result<CustomerKeys> customers
                = CustomerKeys::build(std::move(*table->declarations_.customers));
        if (!customers)
            return tl::unexpected(customers.error());
        table->customers_.emplace(std::move(*customers));
        table->declarations_.customers.reset();
    }
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
                return detail::invalidRoute(route, "has a target that is not declared",
                                            "declare service " + target.service.value());
            }
        }
        auto &prefixes = hosts_[detail::lowerCase(route.host)];
        if (!prefixes.emplace(route.pathPrefix, &route).second)
            return detail::invalidRoute(route, "has the same host and prefix as another route",
                                        "remove one of the two routes");
    }
    return {};
}

const HostRoute *RouteTable::match(std::string_view host, std::string_view path) const
{
    const auto prefixes = hosts_.find(detail::lowerCase(detail::withoutPort(host)));
    if (prefixes == hosts_.end())
        return nullptr;
    // All prefixes end with a slash, so only the parts of the path up to a slash can match one.
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
