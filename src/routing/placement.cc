// Implements the choice of hosts.
#include "cornelhead/routing/placement.h"

#include <algorithm>
#include <cmath>

namespace cornelhead {
namespace detail {

// What other nodes had in flight at a report is forgotten by half after this time.
constexpr double reportHalfLifeUs = 400'000.0;
// Before a host has reported, its server is taken to need this part of the objective.
constexpr double unknownRelativeWork = 0.3;
// Costs are parts of a call's credit.  Time up to this part of the objective costs little, as the
// answer is hardly ever late; beyond it nearly every further part of the objective is lost.
constexpr double safePart = 0.6;
constexpr double safeTimeCost = 0.3;
constexpr double riskyTimeCost = 2.0;
// Another data centre costs a round trip, and what the operators pay for bytes between them.
constexpr double remoteCost = 0.08;
constexpr double remoteCostPerByte = 1e-4;
// A failed answer costs a second try elsewhere, or the whole credit.
constexpr double failureCost = 1.5;
// Nodes see the same reports, so they must not all take the same host.
constexpr double jitterPart = 0.1;
// A node that takes no calls publishes the end of that, so this only spares calls in between.
constexpr Milliseconds closedPause(400);
// A report of this age still says whether the host would refuse a call.
constexpr Milliseconds freshReport(300);
// An order arrives within its pause in a series of changes, and a margin.
constexpr Milliseconds unknownMove(3000);
// An unreachable host is tried again after a pause that doubles up to the longest.
constexpr Milliseconds firstPause(300);
constexpr Milliseconds longestPause(2000);
constexpr std::uint32_t pauseDoublings = 3;

double ageFactor(const PlacedHost &host, TimePoint now)
{
    const auto age = static_cast<double>((now - host.reportedAt).count());
    return std::exp2(-age / reportHalfLifeUs);
}

} // namespace detail

void Placement::update(const std::map<Address, HostDirectory::Record> &hosts, TimePoint now)
{
    std::map<Address, Host> kept;
    byService_.clear();
    for (const auto &[node, known] : hosts) {
        Host &host = kept[node];
        const auto old = hosts_.find(node);
        if (old != hosts_.end() && old->second->entry.run == known.entry.run)
            host = old->second;
        else
            host = std::make_shared<PlacedHost>();
        if (host->knownSince == TimePoint())
            host->knownSince = now;
        host->entry = known.entry;
        if (known.entry.server)
            byService_[known.entry.server->service].push_back(host);
    }
    hosts_ = std::move(kept);
}

bool Placement::mayTake(const PlacedHost &host, const PlacementQuestion &question,
                        TimePoint now) const
{
    if (host.entry.isStopping || host.entry.server->state == ServerState::Draining)
        return false;
    if (question.tried.contains(host.entry.node))
        return false;
    if (question.version
        && (host.entry.server->version == *question.version) == question.isVersionExcluded)
        return false;
    if (now < host.closedUntil)
        return false;
    if (question.usualVersion && host.entry.server->version != *question.usualVersion
        && now - host.knownSince < detail::unknownMove)
        return false;
    // After a refusal the call is worth another try only where it is not refused again.
    if (!question.tried.empty() && now - host.reportedAt < detail::freshReport
        && expectedTime(host, question.objective, now) > question.objective)
        return false;
    // After the pause of an unreachable host one call at a time tries it.
    return host.failuresInRow == 0 || (now >= host.avoidedUntil && host.inFlight == 0);
}

Microseconds Placement::expectedTime(const PlacedHost &host, Microseconds objective,
                                     TimePoint now) const
{
    const HostReport &report = host.report;
    const double objectiveUs = static_cast<double>(objective.count());
    const double relativeWork
            = report.relativeWork > 0.0 ? report.relativeWork : detail::unknownRelativeWork;
    const double work = relativeWork * objectiveUs;
    const double fresh = detail::ageFactor(host, now);
    const double others = std::max(0.0,
                                   static_cast<double>(report.running + report.waiting)
                                           - static_cast<double>(host.inFlightAtReport))
            * fresh;
    const double slots = std::max(1U, host.entry.server->slots);
    const double busy = others + static_cast<double>(host.inFlight);
    const double queued = std::max(0.0, busy + 1.0 - slots);
    return Microseconds(static_cast<std::int64_t>(work * (1.0 + queued / slots)));
}

double Placement::costOf(const PlacedHost &host, const PlacementQuestion &question,
                         TimePoint now) const
{
    const double objective
            = static_cast<double>(std::max<std::int64_t>(1, question.objective.count()));
    const double time
            = static_cast<double>(expectedTime(host, question.objective, now).count()) / objective;
    double cost = std::min(time, detail::safePart) * detail::safeTimeCost
            + std::max(0.0, time - detail::safePart) * detail::riskyTimeCost;
    cost += detail::failureCost * host.report.failureShare * detail::ageFactor(host, now);
    if (host.entry.dataCentre != here_)
        cost += detail::remoteCost + detail::remoteCostPerByte * question.bytes;
    return cost;
}

Placement::Host Placement::choose(const PlacementQuestion &question, TimePoint now,
                                  Random &random) const
{
    const auto service = byService_.find(question.service);
    if (service == byService_.end())
        return nullptr;
    Host best;
    double bestCost = 0.0;
    for (const Host &host : service->second) {
        if (!mayTake(*host, question, now))
            continue;
        const double jitter = 1.0 + detail::jitterPart * random.unit();
        const double cost = costOf(*host, question, now) * jitter;
        if (!best || cost < bestCost) {
            best = host;
            bestCost = cost;
        }
    }
    return best;
}

void Placement::takeReport(PlacedHost &host, const HostReport &report, TimePoint now)
{
    host.report = report;
    host.reportedAt = now;
    host.inFlightAtReport = host.inFlight;
    host.answeredAt = now;
    host.failuresInRow = 0;
    host.avoidedUntil = TimePoint();
}

void Placement::noteClosed(PlacedHost &host, TimePoint now)
{
    host.closedUntil = now + detail::closedPause;
}

void Placement::noteUnreachable(PlacedHost &host, TimePoint now)
{
    const std::uint32_t doublings = std::min(host.failuresInRow, detail::pauseDoublings);
    const Milliseconds pause
            = std::min(detail::firstPause * (1U << doublings), detail::longestPause);
    ++host.failuresInRow;
    host.avoidedUntil = now + pause;
}

std::optional<VersionId> Placement::usualVersion(const ServiceId &service,
                                                 const std::optional<VersionId> &before) const
{
    std::map<VersionId, std::size_t> counts;
    for (const Host &host : hostsOf(service))
        ++counts[host->entry.server->version];
    if (before && counts.contains(*before))
        return before;
    const auto most = std::max_element(
            counts.begin(), counts.end(),
            [](const auto &left, const auto &right) { return left.second < right.second; });
    return most == counts.end() ? std::nullopt : std::optional(most->first);
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
