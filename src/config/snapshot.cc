// Builds snapshots: validates, sorts, hashes and indexes the declarations.
#include "cornelhead/config/snapshot.h"

#include <algorithm>
#include <string>

#include "cornelhead/base/digest.h"
#include "cornelhead/config/manifest.h"
#include "cornelhead/config/validation.h"

namespace cornelhead {
namespace detail {

// Keeps the message short; `cornelheadctl validate` lists all faults.
constexpr std::size_t maxFaultsInMessage = 3;

Error describeFaults(const std::vector<DeclarationFault> &faults)
{
    std::string message = std::to_string(faults.size()) + " faults";
    const std::size_t shown = std::min(faults.size(), maxFaultsInMessage);
    for (std::size_t i = 0; i < shown; ++i)
        message += (i == 0 ? ": " : "; ") + faults[i].message;
    return Error{ErrorKind::InvalidDeclaration, message, faults.front().remedy};
}

template <typename Map>
typename Map::mapped_type findIn(const Map &map, const typename Map::key_type &id)
{
    const auto found = map.find(id);
    return found == map.end() ? nullptr : found->second;
}

// Matches whole path segments: "/seats" covers "/seats/7" but not "/seatsale".
bool coversPath(std::string_view prefix, std::string_view path)
{
    if (!path.starts_with(prefix))
        return false;
    if (prefix.ends_with('/') || path.size() == prefix.size())
        return true;
    return path[prefix.size()] == '/' || path[prefix.size()] == '?';
}

} // namespace detail

Result<std::shared_ptr<const Snapshot>> Snapshot::build(Revision revision,
                                                        Declarations declarations)
{
    const std::vector<DeclarationFault> faults = findFaults(declarations);
    if (!faults.empty())
        return tl::unexpected<Error>(detail::describeFaults(faults));
    const std::shared_ptr<Snapshot> snapshot(new Snapshot());
    snapshot->revision_ = revision;
    snapshot->declarations_ = canonicalOrder(std::move(declarations));
    snapshot->digest_ = digestOf(encodeDeclarations(snapshot->declarations_));
    snapshot->index();
    return std::shared_ptr<const Snapshot>(snapshot);
}

void Snapshot::index()
{
    for (const Service &service : declarations_.services)
        services_.emplace(service.id, &service);
    for (const Route &route : declarations_.routes) {
        routes_.emplace(route.id, &route);
        routesOfService_[route.service].push_back(&route);
    }
    for (auto &[service, routes] : routesOfService_) {
        std::stable_sort(routes.begin(), routes.end(), [](const Route *left, const Route *right) {
            return left->pathPrefix.size() > right->pathPrefix.size();
        });
    }
    for (const Plan &plan : declarations_.plans) {
        plans_.emplace(plan.id, &plan);
        std::unordered_set<RouteId> &allowed = allowed_[plan.id];
        allowed.insert(plan.routes.begin(), plan.routes.end());
        for (const ServiceId &service : plan.services) {
            for (const Route *route : routesOfService_[service])
                allowed.insert(route->id);
        }
    }
}

const Customer *Snapshot::findCustomer(const CustomerId &id) const
{
    const std::vector<Customer> &customers = declarations_.customers;
    const auto found = std::lower_bound(customers.begin(), customers.end(), id,
                                        [](const Customer &customer, const CustomerId &wanted) {
                                            return customer.id < wanted;
                                        });
    return found == customers.end() || found->id != id ? nullptr : &*found;
}

const Plan *Snapshot::findPlan(const PlanId &id) const
{
    return detail::findIn(plans_, id);
}

const Service *Snapshot::findService(const ServiceId &id) const
{
    return detail::findIn(services_, id);
}

const Route *Snapshot::findRoute(const RouteId &id) const
{
    return detail::findIn(routes_, id);
}

const Route *Snapshot::matchRoute(const ServiceId &service, std::string_view path) const
{
    const auto found = routesOfService_.find(service);
    if (found == routesOfService_.end())
        return nullptr;
    for (const Route *route : found->second) {
        if (detail::coversPath(route->pathPrefix, path))
            return route;
    }
    return nullptr;
}

bool Snapshot::allows(const Plan &plan, const Route &route) const
{
    const auto found = allowed_.find(plan.id);
    return found != allowed_.end() && found->second.contains(route.id);
}

} // namespace cornelhead
