// Implements the choice of hosts.
#include "cornelhead/routing/placement.h"

#include <algorithm>
#include <cmath>

namespace cornelhead {
namespace detail {

// The load that a report shows decays with this half-life.
constexpr double reportHalfLifeUs = 400'000.0;
// The assumed service time of a host without a report, as a fraction of the objective.
constexpr double defaultRelativeWork = 0.3;
// Costs are fractions of the value of a call.  Time up to this fraction of the objective costs
// little, as the response is hardly ever late; beyond it much of the value is at risk.
constexpr double safeFraction = 0.6;
constexpr double safeTimeCost = 0.3;
constexpr double riskyTimeCost = 2.0;
// Another data centre costs a round trip, and the operators pay for traffic between data centres.
constexpr double remoteCost = 0.08;
constexpr double remoteCostPerByte = 1e-4;
// A failure costs a retry elsewhere or the whole call.
constexpr double failureCost = 1.5;
// All nodes see the same reports; jitter keeps them from choosing the same host.
constexpr double jitterFraction = 0.1;
// The node publishes when it accepts calls again, so this time only avoids refused calls until
// then.
constexpr Milliseconds closedTime(400);
// Reports up to this age predict whether the host would refuse a call.
constexpr Milliseconds maxFreshReportAge(300);
// The order of a move arrives within the pause between two changes of a series, plus a margin.
constexpr Milliseconds unannouncedVersionDelay(3000);
// Exponential backoff from an unreachable host.
constexpr Milliseconds initialBackoff(300);
constexpr Milliseconds maxBackoff(2000);
constexpr std::uint32_t maxBackoffDoublings = 3;

double ageFactor(const HostState &host, TimePoint now)
{
    const auto age = static_cast<double>((now - host.reportedAt).count());
    return std::exp2(-age / reportHalfLifeUs);
}

} // namespace detail

void Placement::update(const std::map<Address, HostDirectory::Record> &hosts, TimePoint now)
{
    std::map<Address, Host> kept;
    byService_.clear();
    for (const auto &[node, record] : hosts) {
        Host &host = kept[node];
        const auto previous = hosts_.find(node);
        if (previous != hosts_.end() && previous->second->entry.run == record.entry.run)
            host = previous->second;
        else
            host = std::make_shared<HostState>();
        if (host->firstSeenAt == TimePoint())
            host->firstSeenAt = now;
        host->entry = record.entry;
        if (record.entry.server)
            byService_[record.entry.server->service].push_back(host);
    }
    hosts_ = std::move(kept);
}

bool Placement::isEligible(const HostState &host, const PlacementRequest &request,
                           TimePoint now) const
{
    if (host.entry.isStopping || host.entry.server->state == ServerState::Draining)
        return false;
    if (request.tried.contains(host.entry.node))
        return false;
    if (request.version
        && (host.entry.server->version == *request.version) == request.isVersionExcluded)
        return false;
    if (now < host.closedUntil)
        return false;
    if (request.defaultVersion && host.entry.server->version != *request.defaultVersion
        && now - host.firstSeenAt < detail::unannouncedVersionDelay)
        return false;
    // After a refusal, retry only hosts that are not expected to refuse the call again.
    if (!request.tried.empty() && now - host.reportedAt < detail::maxFreshReportAge
        && expectedTime(host, request.objective, now) > request.objective)
        return false;
    // After its backoff, an unreachable host gets one call at a time.
    return host.consecutiveFailures == 0 || (now >= host.backoffUntil && host.inFlight == 0);
}

Microseconds Placement::expectedTime(const HostState &host, Microseconds objective,
                                     TimePoint now) const
{
    const HostReport &report = host.report;
    const double objectiveUs = static_cast<double>(objective.count());
    const double relativeWork
            = report.relativeWork > 0.0 ? report.relativeWork : detail::defaultRelativeWork;
    const double work = relativeWork * objectiveUs;
    const double freshness = detail::ageFactor(host, now);
    const double others = std::max(0.0,
                                   static_cast<double>(report.running + report.waiting)
                                           - static_cast<double>(host.inFlightAtReport))
            * freshness;
    const double slots = std::max(1U, host.entry.server->slots);
    const double busy = others + static_cast<double>(host.inFlight);
    const double queued = std::max(0.0, busy + 1.0 - slots);
    return Microseconds(static_cast<std::int64_t>(work * (1.0 + queued / slots)));
}

double Placement::costOf(const HostState &host, const PlacementRequest &request,
                         TimePoint now) const
{
    const double objective
            = static_cast<double>(std::max<std::int64_t>(1, request.objective.count()));
    const double time
            = static_cast<double>(expectedTime(host, request.objective, now).count()) / objective;
    double cost = std::min(time, detail::safeFraction) * detail::safeTimeCost
            + std::max(0.0, time - detail::safeFraction) * detail::riskyTimeCost;
    cost += detail::failureCost * host.report.failureShare * detail::ageFactor(host, now);
    if (host.entry.dataCentre != localDataCentre_)
        cost += detail::remoteCost + detail::remoteCostPerByte * request.bytes;
    return cost;
}

Placement::Host Placement::choose(const PlacementRequest &request, TimePoint now,
                                  Random &random) const
{
    const auto service = byService_.find(request.service);
    if (service == byService_.end())
        return nullptr;
    Host best;
    double bestCost = 0.0;
    for (const Host &host : service->second) {
        if (!isEligible(*host, request, now))
            continue;
        const double jitter = 1.0 + detail::jitterFraction * random.unit();
        const double cost = costOf(*host, request, now) * jitter;
        if (!best || cost < bestCost) {
            best = host;
            bestCost = cost;
        }
    }
    return best;
}

void Placement::applyReport(HostState &host, const HostReport &report, TimePoint now)
{
    host.report = report;
    host.reportedAt = now;
    host.inFlightAtReport = host.inFlight;
    host.lastResponseAt = now;
    host.consecutiveFailures = 0;
    host.backoffUntil = TimePoint();
}

void Placement::markClosed(HostState &host, TimePoint now)
{
    host.closedUntil = now + detail::closedTime;
}

void Placement::markUnreachable(HostState &host, TimePoint now)
{
    const std::uint32_t doublings = std::min(host.consecutiveFailures, detail::maxBackoffDoublings);
    const Milliseconds backoff
            = std::min(detail::initialBackoff * (1U << doublings), detail::maxBackoff);
    ++host.consecutiveFailures;
    host.backoffUntil = now + backoff;
}

std::optional<VersionId> Placement::defaultVersion(const ServiceId &service,
                                                   const std::optional<VersionId> &previous) const
{
    std::map<VersionId, std::size_t> counts;
    for (const Host &host : hostsOf(service))
        ++counts[host->entry.server->version];
    if (previous && counts.contains(*previous))
        return previous;
    const auto mostCommon = std::max_element(
            counts.begin(), counts.end(),
            [](const auto &left, const auto &right) { return left.second < right.second; });
    return mostCommon == counts.end() ? std::nullopt : std::optional(mostCommon->first);
}

Placement::Host Placement::find(const Address &node) const
{
    const auto host = hosts_.find(node);
    return host == hosts_.end() ? nullptr : host->second;
}

std::vector<Placement::Host> Placement::hostsOf(const ServiceId &service) const
{
    const auto hosts = byService_.find(service);
    return hosts == byService_.end() ? std::vector<Host>() : hosts->second;
}

} // namespace cornelhead
