// Finds entries without effect, contradictions and differences of route tables.
#include "cornelhead/config/configuration-check.h"

#include <algorithm>
#include <map>
#include <set>
#include <sstream>
#include <utility>

namespace cornelhead {
namespace detail {

namespace {

std::string textOf(Milliseconds duration)
{
    return std::to_string(duration.count()) + " ms";
}

std::string textOf(double amount)
{
    std::ostringstream text;
    text << amount;
    return text.str();
}

std::string textOf(bool value)
{
    return value ? "yes" : "no";
}

std::string textOf(const std::optional<std::uint32_t> &priority)
{
    return priority ? std::to_string(*priority) : "none";
}

std::string textOf(const std::vector<RouteTarget> &targets)
{
    std::string text;
    for (const RouteTarget &target : targets) {
        text += text.empty() ? "" : ", ";
        text += target.service.value() + " " + std::to_string(target.weight);
    }
    return text;
}

ConfigurationEntry entryOf(const HostRoute &route)
{
    return {EntryKind::Route, route.id.value()};
}

ConfigurationEntry entryOf(const HostService &service)
{
    return {EntryKind::Service, service.id.value()};
}

ConfigurationEntry entryOf(const HostCustomer &customer)
{
    return {EntryKind::Customer, customer.id.value()};
}

class Check
{
public:
    explicit Check(const RouteTable &table) : table_(table) { }

    Findings run()
    {
        for (const HostRoute &route : table_.routes()) {
            checkEffect(route);
            checkLimits(route);
        }
        checkServices();
        if (table_.customers())
            checkCustomers(table_.customers()->customers());
        return std::move(findings_);
    }

private:
    void add(ConcernKind kind, ConfigurationEntry entry, std::string message)
    {
        findings_.push_back(Concern{kind, std::move(entry), std::move(message)});
    }

    void checkEffect(const HostRoute &route)
    {
        // The path that is the prefix itself has no longer match, so only the host can fail.
        if (table_.match(route.host, route.pathPrefix) != &route)
            add(ConcernKind::NeverMatches, entryOf(route),
                "host " + route.host + " has a port, which is not compared; remove the port");
        if (!routeNames_.insert(route.id).second)
            add(ConcernKind::SameName, entryOf(route),
                "another route has this name, so logs and metrics show both as one");
        if (route.isPublic && !table_.customers())
            add(ConcernKind::Ignored, entryOf(route),
                "is public, but no caller needs a key as the configuration names no customers");
        for (const RouteTarget &target : route.targets) {
            targets_.insert(target.service);
            if (target.weight == 0)
                add(ConcernKind::NoCalls, entryOf(route),
                    "service " + target.service.value()
                            + " has weight 0 and gets none of its calls");
        }
    }

    void checkLimits(const HostRoute &route)
    {
        if (route.objective > route.timeout)
            add(ConcernKind::ObjectiveAboveTimeout, entryOf(route),
                "objective " + textOf(route.objective) + " is above timeout "
                        + textOf(route.timeout));
        if (!route.isIdempotent && route.attempts > 1)
            add(ConcernKind::AttemptsOfSingleRun, entryOf(route),
                std::to_string(route.attempts)
                        + " attempts, but a call may run only once: another server is tried only "
                          "if the last one certainly did not run it");
        const Milliseconds idleTimeout = table_.limits().idleTimeout;
        if (route.timeout > idleTimeout)
            add(ConcernKind::TimeoutAboveIdleTimeout, entryOf(route),
                "timeout " + textOf(route.timeout) + " is above the callers' idle timeout "
                        + textOf(idleTimeout));
    }

    void checkServices()
    {
        for (const HostService &service : table_.services()) {
            if (table_.findService(service.id) != &service) {
                add(ConcernKind::Ignored, entryOf(service),
                    "is declared twice; only the first declaration counts");
                continue;
            }
            if (!targets_.contains(service.id))
                add(ConcernKind::NoCalls, entryOf(service), "no route refers to it");
            if (service.connections == 0)
                add(ConcernKind::NoConnections, entryOf(service),
                    "its servers may accept no connection");
        }
    }

    void checkCustomers(const std::vector<HostCustomer> &customers)
    {
        bool hasKeys = false;
        for (const HostCustomer &customer : customers) {
            hasKeys = hasKeys || !customer.keys.empty();
            if (customer.keys.empty())
                add(ConcernKind::NoKeys, entryOf(customer), "has no key, so no caller can name it");
            checkQuota(customer);
        }
        const bool needsKeys = std::any_of(table_.routes().begin(), table_.routes().end(),
                                           [](const HostRoute &route) { return !route.isPublic; });
        if (!hasKeys && needsKeys)
            add(ConcernKind::NoKeys, {EntryKind::Configuration, {}},
                "no customer has a key, so only public routes can be called");
    }

    void checkQuota(const HostCustomer &customer)
    {
        const CallQuota &quota = customer.quota;
        const std::string burst = "burst " + textOf(quota.burst);
        if (!quota.isLimited()) {
            if (quota.burst > 0.0)
                add(ConcernKind::Ignored, entryOf(customer),
                    burst + " has no rate, and rate 0 means no limit");
            return;
        }
        if (quota.burst < 1.0)
            add(ConcernKind::BurstBelowOne, entryOf(customer),
                burst + " is less than one call; nodes take it as 1");
        else if (quota.burst < quota.ratePerSecond)
            add(ConcernKind::BurstBelowRate, entryOf(customer),
                burst + " is less than the " + textOf(quota.ratePerSecond)
                        + " calls of one second");
    }

    const RouteTable &table_;
    Findings findings_;
    std::set<RouteId> routeNames_;
    // Services that a route refers to, with any weight.
    std::set<ServiceId> targets_;
};

class Comparison
{
public:
    Findings run(const RouteTable &before, const RouteTable &after)
    {
        const ConfigurationEntry whole{EntryKind::Configuration, {}};
        changed(whole, "callers need keys", textOf(before.customers() != nullptr),
                textOf(after.customers() != nullptr));
        compareLimits(before.limits(), after.limits());
        compareAll(before.routes(), after.routes());
        compareAll(before.services(), after.services());
        static const std::vector<HostCustomer> none;
        compareAll(before.customers() ? before.customers()->customers() : none,
                   after.customers() ? after.customers()->customers() : none);
        const bool isNewer = after.revision() > before.revision();
        if (!isNewer && !findings_.empty())
            findings_.push_back(
                    Concern{ConcernKind::NotNewer, whole, staleRevision(before, after)});
        return std::move(findings_);
    }

private:
    static std::string staleRevision(const RouteTable &before, const RouteTable &after)
    {
        return "revision " + std::to_string(after.revision().value()) + " is not above "
                + std::to_string(before.revision().value())
                + ", which is in force, so nodes ignore it";
    }

    void changed(const ConfigurationEntry &entry, const std::string &field,
                 const std::string &before, const std::string &after)
    {
        if (before != after)
            findings_.push_back(FieldChanged{entry, field, before, after});
    }

    template <typename Entry>
    void compareAll(const std::vector<Entry> &before, const std::vector<Entry> &after)
    {
        std::map<std::string, const Entry *> former;
        std::map<std::string, const Entry *> current;
        for (const Entry &entry : before)
            former.emplace(entry.id.value(), &entry);
        for (const Entry &entry : after)
            current.emplace(entry.id.value(), &entry);
        for (const auto &[name, entry] : former) {
            if (!current.contains(name))
                findings_.push_back(EntryRemoved{entryOf(*entry)});
        }
        for (const auto &[name, entry] : current) {
            const auto old = former.find(name);
            if (old == former.end())
                findings_.push_back(EntryAdded{entryOf(*entry)});
            else
                compare(*old->second, *entry);
        }
    }

    void compareLimits(const CallerLimits &before, const CallerLimits &after)
    {
        const ConfigurationEntry entry{EntryKind::Limits, {}};
        changed(entry, "header bytes", std::to_string(before.headerBytes),
                std::to_string(after.headerBytes));
        changed(entry, "body bytes", std::to_string(before.bodyBytes),
                std::to_string(after.bodyBytes));
        changed(entry, "idle timeout", textOf(before.idleTimeout), textOf(after.idleTimeout));
    }

    void compare(const HostRoute &before, const HostRoute &after)
    {
        const ConfigurationEntry entry = entryOf(after);
        changed(entry, "host", before.host, after.host);
        changed(entry, "prefix", before.pathPrefix, after.pathPrefix);
        changed(entry, "idempotent", textOf(before.isIdempotent), textOf(after.isIdempotent));
        changed(entry, "timeout", textOf(before.timeout), textOf(after.timeout));
        changed(entry, "objective", textOf(before.objective), textOf(after.objective));
        changed(entry, "priority", std::to_string(before.priority), std::to_string(after.priority));
        changed(entry, "attempts", std::to_string(before.attempts), std::to_string(after.attempts));
        changed(entry, "public", textOf(before.isPublic), textOf(after.isPublic));
        changed(entry, "targets", textOf(before.targets), textOf(after.targets));
    }

    void compare(const HostService &before, const HostService &after)
    {
        const ConfigurationEntry entry = entryOf(after);
        changed(entry, "health path", before.healthPath, after.healthPath);
        changed(entry, "connections", std::to_string(before.connections),
                std::to_string(after.connections));
    }

    void compare(const HostCustomer &before, const HostCustomer &after)
    {
        const ConfigurationEntry entry = entryOf(after);
        changed(entry, "priority", textOf(before.priority), textOf(after.priority));
        changed(entry, "rate", textOf(before.quota.ratePerSecond),
                textOf(after.quota.ratePerSecond));
        changed(entry, "burst", textOf(before.quota.burst), textOf(after.quota.burst));
        compareKeys(entry, before.keys, after.keys);
    }

    // Only counts, as the output may be kept where keys must not be.
    void compareKeys(const ConfigurationEntry &entry, const std::vector<CustomerKey> &before,
                     const std::vector<CustomerKey> &after)
    {
        const std::set<CustomerKey> former(before.begin(), before.end());
        const std::set<CustomerKey> current(after.begin(), after.end());
        const auto isNew = [&](const CustomerKey &key) { return !former.contains(key); };
        const auto added = std::count_if(current.begin(), current.end(), isNew);
        if (added == 0 && former.size() == current.size())
            return;
        findings_.push_back(FieldChanged{entry, "keys", std::to_string(former.size()),
                                         std::to_string(current.size()) + " ("
                                                 + std::to_string(added) + " new)"});
    }

    Findings findings_;
};

} // namespace
} // namespace detail

Findings checkConfiguration(const RouteTable &table)
{
    return detail::Check(table).run();
}

Findings compareConfigurations(const RouteTable &inForce, const RouteTable &next)
{
    return detail::Comparison().run(inForce, next);
}

} // namespace cornelhead
