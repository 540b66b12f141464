// Validates declarations independently of their files: names, references, duplicates, ranges.
#include "cornelhead/config/validation.h"

#include <algorithm>
#include <set>
#include <string_view>
#include <unordered_set>
#include <utility>

#include "config/names.h"

namespace cornelhead {
namespace detail {

// A route is named "route" or "service/route".
bool isRouteName(std::string_view text)
{
    const std::size_t slash = text.find('/');
    if (slash == std::string_view::npos)
        return isName(text);
    return isName(text.substr(0, slash)) && isName(text.substr(slash + 1));
}

bool isPathCharacter(char c)
{
    return c > ' ' && c < 0x7f && c != '?' && c != '#' && c != '%' && c != '\\';
}

bool isPathPrefix(std::string_view text)
{
    return !text.empty() && text.front() == '/' && text.size() <= DeclarationLimits::pathPrefixBytes
            && text.find("//") == std::string_view::npos
            && std::all_of(text.begin(), text.end(), isPathCharacter);
}

std::string rangeRemedy(std::uint64_t min, std::uint64_t max)
{
    return "write a whole number from " + std::to_string(min) + " to " + std::to_string(max);
}

template <typename Record>
bool isStrictlyOrdered(const std::vector<Record> &records)
{
    const auto isBad = [](const Record &left, const Record &right) { return left.id >= right.id; };
    return std::adjacent_find(records.begin(), records.end(), isBad) == records.end();
}

// Collects all faults of one set of declarations.
class Validator
{
public:
    explicit Validator(const Declarations &declarations) : declarations_(declarations) { }

    std::vector<DeclarationFault> run()
    {
        collectNames();
        checkCounts();
        checkServices();
        checkRoutes();
        checkPlans();
        checkCustomers();
        return std::move(faults_);
    }

private:
    void collectNames()
    {
        for (const Service &service : declarations_.services)
            services_.insert(service.id);
        for (const Route &route : declarations_.routes)
            routes_.insert(route.id);
        for (const Plan &plan : declarations_.plans)
            plans_.insert(plan.id);
    }

    void add(RecordPosition record, std::string field, std::string message, std::string remedy,
             std::size_t item = 0)
    {
        faults_.push_back(DeclarationFault{record, std::move(field), item, std::move(message),
                                           std::move(remedy)});
    }

    void checkCount(RecordKind kind, std::size_t count, std::size_t max, const std::string &label)
    {
        if (count > max) {
            add({kind, max}, "name", std::to_string(count) + " " + label + " are too many",
                "declare at most " + std::to_string(max));
        }
    }

    void checkCounts()
    {
        using Limits = DeclarationLimits;
        const Declarations &all = declarations_;
        checkCount(RecordKind::Service, all.services.size(), Limits::services, "services");
        checkCount(RecordKind::Route, all.routes.size(), Limits::routes, "routes");
        checkCount(RecordKind::Plan, all.plans.size(), Limits::plans, "plans");
        checkCount(RecordKind::Customer, all.customers.size(), Limits::customers, "customers");
    }

    void checkName(RecordPosition record, const std::string &field, const std::string &label,
                   const std::string &name, bool isValid)
    {
        if (isValid)
            return;
        add(record, field,
            label + " '" + name.substr(0, DeclarationLimits::nameBytes) + "' is not a valid name",
            "use 1 to " + std::to_string(DeclarationLimits::nameBytes)
                    + " letters, digits, '-', '_' or '.'");
    }

    template <typename IdType>
    void checkUnique(RecordPosition record, const std::string &label, const IdType &id,
                     std::unordered_set<IdType> &seen)
    {
        if (!seen.insert(id).second)
            add(record, "name", label + " '" + id.value() + "' is declared twice",
                "remove or rename one of them");
    }

    void checkRange(RecordPosition record, const std::string &field, std::uint64_t value,
                    std::uint64_t min, std::uint64_t max)
    {
        if (value < min || value > max)
            add(record, field, field + " " + std::to_string(value) + " is out of range",
                rangeRemedy(min, max));
    }

    void checkServices()
    {
        std::unordered_set<ServiceId> seen;
        for (std::size_t i = 0; i < declarations_.services.size(); ++i) {
            const Service &service = declarations_.services[i];
            const RecordPosition record{RecordKind::Service, i};
            checkName(record, "name", "service", service.id.value(), isName(service.id.value()));
            checkName(record, "initial-version", "version", service.initialVersion.value(),
                      isName(service.initialVersion.value()));
            checkUnique(record, "service", service.id, seen);
        }
    }

    void checkRoutes()
    {
        std::unordered_set<RouteId> seen;
        std::set<std::pair<ServiceId, std::string>> prefixes;
        for (std::size_t i = 0; i < declarations_.routes.size(); ++i) {
            const Route &route = declarations_.routes[i];
            const RecordPosition record{RecordKind::Route, i};
            checkName(record, "name", "route", route.id.value(), isRouteName(route.id.value()));
            checkUnique(record, "route", route.id, seen);
            checkRouteTarget(record, route);
            if (!prefixes.emplace(route.service, route.pathPrefix).second)
                add(record, "path-prefix",
                    "another route of service '" + route.service.value() + "' has path prefix '"
                            + route.pathPrefix + "'",
                    "give each route of a service its own path prefix");
        }
    }

    void checkRouteTarget(RecordPosition record, const Route &route)
    {
        using Limits = DeclarationLimits;
        if (!services_.contains(route.service))
            add(record, "service",
                "route '" + route.id.value() + "' names service '" + route.service.value()
                        + "', which is not declared",
                "declare the service or correct its name");
        if (!isPathPrefix(route.pathPrefix))
            add(record, "path-prefix",
                "path prefix '" + route.pathPrefix.substr(0, Limits::nameBytes) + "' is not valid",
                "write up to " + std::to_string(Limits::pathPrefixBytes)
                        + " printable characters that begin with '/', without '//', '?', '#', '%'"
                          " or blanks");
        if (route.timeout < Limits::minTimeout || route.timeout > Limits::maxTimeout)
            add(record, "timeout",
                "timeout " + std::to_string(route.timeout.count()) + "ms is out of range",
                "write a duration from " + std::to_string(Limits::minTimeout.count()) + "ms to "
                        + std::to_string(Limits::maxTimeout.count()) + "ms");
    }

    void checkPlans()
    {
        using Limits = DeclarationLimits;
        std::unordered_set<PlanId> seen;
        for (std::size_t i = 0; i < declarations_.plans.size(); ++i) {
            const Plan &plan = declarations_.plans[i];
            const RecordPosition record{RecordKind::Plan, i};
            checkName(record, "name", "plan", plan.id.value(), isName(plan.id.value()));
            checkUnique(record, "plan", plan.id, seen);
            checkReferences(record, "services", "service", plan.services, services_);
            checkReferences(record, "routes", "route", plan.routes, routes_);
            checkRange(record, "rate", plan.ratePerSecond, 1, Limits::rate);
            checkRange(record, "burst", plan.burst, 1, Limits::rate);
            checkRange(record, "concurrency", plan.concurrency, 1, Limits::concurrency);
        }
    }

    template <typename IdType>
    void checkReferences(RecordPosition record, const std::string &field, const std::string &label,
                         const std::vector<IdType> &names,
                         const std::unordered_set<IdType> &declared)
    {
        if (names.size() > DeclarationLimits::namesPerPlan)
            add(record, field, "the plan names too many " + field,
                "name at most " + std::to_string(DeclarationLimits::namesPerPlan));
        std::unordered_set<IdType> seen;
        for (std::size_t i = 0; i < names.size(); ++i) {
            const std::string &name = names[i].value();
            if (!declared.contains(names[i]))
                addPlanFault(record, field, {label, name}, "which is not declared",
                             "declare the " + label + " or correct its name", i);
            if (!seen.insert(names[i]).second)
                addPlanFault(record, field, {label, name}, "twice", "remove one of them", i);
        }
    }

    struct Reference
    {
        std::string label;
        std::string name;
    };

    void addPlanFault(RecordPosition record, const std::string &field, const Reference &reference,
                      const std::string &problem, std::string remedy, std::size_t item)
    {
        std::string message = "plan '" + declarations_.plans[record.index].id.value();
        message += "' names " + reference.label;
        message += " '" + reference.name;
        message += "', " + problem;
        add(record, field, std::move(message), std::move(remedy), item);
    }

    void checkCustomers()
    {
        // A list in strict order has no duplicates; this saves the set for large lists, which are
        // usually sorted.
        const bool isOrdered = isStrictlyOrdered(declarations_.customers);
        std::unordered_set<CustomerId> seen;
        for (std::size_t i = 0; i < declarations_.customers.size(); ++i) {
            const Customer &customer = declarations_.customers[i];
            const RecordPosition record{RecordKind::Customer, i};
            checkName(record, "name", "customer", customer.id.value(), isName(customer.id.value()));
            if (!isOrdered)
                checkUnique(record, "customer", customer.id, seen);
            if (!plans_.contains(customer.plan))
                add(record, "plan",
                    "customer '" + customer.id.value() + "' is on plan '" + customer.plan.value()
                            + "', which is not declared",
                    "declare the plan in plans.yaml or correct its name");
        }
    }

    const Declarations &declarations_;
    std::vector<DeclarationFault> faults_;
    std::unordered_set<ServiceId> services_;
    std::unordered_set<RouteId> routes_;
    std::unordered_set<PlanId> plans_;
};

template <typename Record>
bool isBefore(const Record &left, const Record &right)
{
    return left.id < right.id;
}

template <typename Record>
bool isSortedById(const std::vector<Record> &records)
{
    return std::is_sorted(records.begin(), records.end(), isBefore<Record>);
}

template <typename Record>
void sortById(std::vector<Record> &records)
{
    std::stable_sort(records.begin(), records.end(), isBefore<Record>);
}

bool hasSortedNames(const Plan &plan)
{
    return std::is_sorted(plan.services.begin(), plan.services.end())
            && std::is_sorted(plan.routes.begin(), plan.routes.end());
}

} // namespace detail

std::vector<DeclarationFault> findFaults(const Declarations &declarations)
{
    return detail::Validator(declarations).run();
}

bool isCanonicalOrder(const Declarations &declarations)
{
    return detail::isSortedById(declarations.services) && detail::isSortedById(declarations.routes)
            && detail::isSortedById(declarations.plans)
            && detail::isSortedById(declarations.customers)
            && std::all_of(declarations.plans.begin(), declarations.plans.end(),
                           detail::hasSortedNames);
}

Declarations canonicalOrder(Declarations declarations)
{
    if (isCanonicalOrder(declarations))
        return declarations;
    for (Plan &plan : declarations.plans) {
        std::sort(plan.services.begin(), plan.services.end());
        std::sort(plan.routes.begin(), plan.routes.end());
    }
    detail::sortById(declarations.services);
    detail::sortById(declarations.routes);
    detail::sortById(declarations.plans);
    detail::sortById(declarations.customers);
    return declarations;
}

} // namespace cornelhead
