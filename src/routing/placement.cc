// Implements the choice of hosts.
#include "cornelhead/routing/placement.h"

#include <algorithm>
#include <cmath>

#include "cornelhead/base/digest.h"

namespace cornelhead {
namespace detail {

// The load that a report shows decays with this half-life.
constexpr double reportHalfLifeUs = 400'000.0;
// The load of a data centre changes more slowly than that of one host.
constexpr double loadHalfLifeUs = 1'000'000.0;
constexpr double demandHalfLifeUs = 1'000'000.0;
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
// More calls than a limited server accepts: the others are handed back or refused.
constexpr double excessCost = 0.5;
// All nodes see the same reports; jitter keeps them from choosing the same host.
constexpr double jitterFraction = 0.1;
// The node publishes when it accepts calls again, so this time only avoids refused calls until
// then.
constexpr Milliseconds closedTime(400);
// The weight of the latest report in the means of a service.
constexpr double meansWeight = 0.05;
// Reports up to this age predict whether the host would refuse a call.
constexpr Milliseconds maxFreshReportAge(300);
// The order of a move arrives within the pause between two changes of a series, plus a margin.
constexpr Milliseconds unannouncedVersionDelay(3000);
// Exponential backoff from an unreachable host.
constexpr Milliseconds initialBackoff(300);
constexpr Milliseconds maxBackoff(2000);
constexpr std::uint32_t maxBackoffDoublings = 3;

double decayWithAge(const HostState &host, TimePoint now, double halfLifeUs)
{
    const auto age = static_cast<double>((now - host.reportedAt).count());
    return std::exp2(-age / halfLifeUs);
}

double ageFactor(const HostState &host, TimePoint now)
{
    return decayWithAge(host, now, reportHalfLifeUs);
}

// Returns the share of the calls to a limited server that it does not accept.
double excessDemand(const HostState &host, TimePoint now)
{
    const std::optional<CallRate> &limit = host.report.notice.limit;
    if (!limit)
        return 0.0;
    const double demand
            = host.report.demand.perSecond() * decayWithAge(host, now, demandHalfLifeUs);
    return demand <= limit->perSecond() ? 0.0 : 1.0 - limit->perSecond() / demand;
}

} // namespace detail

void Placement::update(const std::map<Address, HostDirectory::Record> &hosts, TimePoint now)
{
    std::map<Address, Host> kept;
    std::map<ServiceId, ServiceHosts> byService;
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
        if (!record.entry.server)
            continue;
        ServiceHosts &service = byService[record.entry.server->service];
        service.all.push_back(host);
        if (record.entry.dataCentre == localDataCentre_) {
            service.local.push_back(host);
        } else {
            service.remote.push_back(host);
            service.remoteByDataCentre[record.entry.dataCentre].push_back(host);
        }
    }
    for (auto &[service, hosts] : byService)
        keepHistory(service, hosts);
    byService_ = std::move(byService);
    hosts_ = std::move(kept);
    notices_.evictExpired(now);
}

void Placement::keepHistory(const ServiceId &id, ServiceHosts &service)
{
    service.means = meansOf(id);
    const auto previous = byService_.find(id);
    if (previous != byService_.end())
        service.departure = previous->second.departure;
}

Placement::ServiceMeans Placement::meansOf(const ServiceId &service) const
{
    const auto hosts = byService_.find(service);
    return hosts == byService_.end() ? ServiceMeans() : hosts->second.means;
}

bool Placement::isVersionAllowed(const HostState &host, const PlacementRequest &request)
{
    return !request.version
            || (host.entry.server->version == *request.version) != request.isVersionExcluded;
}

bool Placement::isEligible(const HostState &host, const PlacementRequest &request,
                           TimePoint now) const
{
    if (host.entry.isStopping || host.entry.server->state == ServerState::Draining)
        return false;
    if (notices_.find(*host.entry.server).isLeaving)
        return false;
    if (request.tried.contains(host.entry.node))
        return false;
    if (!isVersionAllowed(host, request))
        return false;
    if (now < host.closedUntil)
        return false;
    if (request.defaultVersion && host.entry.server->version != *request.defaultVersion
        && now - host.firstSeenAt < detail::unannouncedVersionDelay)
        return false;
    // After a refusal, retry only hosts that are not expected to refuse the call again.
    if (!request.tried.empty() && now - host.reportedAt < detail::maxFreshReportAge
        && expectedTime(host, request, now) > request.objective)
        return false;
    // After its backoff, an unreachable host gets one call at a time.
    return host.consecutiveFailures == 0 || (now >= host.backoffUntil && host.inFlight == 0);
}

Microseconds Placement::expectedTime(const HostState &host, Microseconds objective,
                                     TimePoint now) const
{
    const HostReport &report = host.report;
    const double objectiveUs = static_cast<double>(objective.count());
    const ServiceMeans means = meansOf(host.entry.server->service);
    const double relativeWork
            = report.relativeWork > 0.0 ? report.relativeWork : means.relativeWork;
    const double work = relativeWork * objectiveUs;
    const double freshness = detail::ageFactor(host, now);
    const double slots = std::max(1U, host.entry.server->slots);
    const double reported = std::max(0.0,
                                     static_cast<double>(report.running + report.waiting)
                                             - static_cast<double>(host.inFlightAtReport));
    const double assumed = policy_.assumesMeanLoad ? means.load * slots : 0.0;
    const double others = reported * freshness + assumed * (1.0 - freshness);
    const double busy = others + static_cast<double>(host.inFlight);
    const double queued = std::max(0.0, busy + 1.0 - slots);
    double timeUs = work * (1.0 + queued / slots);
    if (report.notice.limit) {
        const Microseconds wait = report.wait - (now - host.reportedAt);
        timeUs = std::max(timeUs, work + static_cast<double>(wait.count()));
    }
    return Microseconds(static_cast<std::int64_t>(timeUs));
}

Microseconds Placement::expectedTime(const HostState &host, const PlacementRequest &request,
                                     TimePoint now) const
{
    return expectedTime(host, request.objective, now)
            + arrivalTime(request.body, host.report.link, now - host.reportedAt);
}

double Placement::costOf(const HostState &host, const PlacementRequest &request,
                         TimePoint now) const
{
    const double objective
            = static_cast<double>(std::max<std::int64_t>(1, request.objective.count()));
    const double time = static_cast<double>(expectedTime(host, request, now).count()) / objective;
    double cost = timeCost(time);
    cost += detail::failureCost * host.report.failureShare * detail::ageFactor(host, now);
    cost += detail::failureCost * host.unanswered.at(now);
    cost += detail::excessCost * detail::excessDemand(host, now);
    return cost;
}

double Placement::timeCost(double relativeTime)
{
    return std::min(relativeTime, detail::safeFraction) * detail::safeTimeCost
            + std::max(0.0, relativeTime - detail::safeFraction) * detail::riskyTimeCost;
}

double Placement::departureCost(const PlacementRequest &request) const
{
    return detail::remoteCost + detail::remoteCostPerByte * request.bytes;
}

LoadSample Placement::sampleOf(const HostState &host, TimePoint now)
{
    const HostReport &report = host.report;
    const double slots = std::max(1U, host.entry.server->slots);
    const double busy = static_cast<double>(report.running + report.waiting);
    const double queued = std::max(0.0, busy + 1.0 - slots);
    const double failures = detail::failureCost * (report.failureShare + host.unanswered.at(now));
    return LoadSample{busy / slots,
                      timeCost(report.relativeWork * (1.0 + queued / slots)) + failures,
                      timeCost(report.relativeWork)};
}

void Placement::observe(ServiceHosts &service, TimePoint now)
{
    std::map<DataCentreId, DepartureShare::Known> known;
    for (const Host &host : service.all) {
        if (host->entry.server->state == ServerState::Draining)
            continue;
        const double slots = std::max(1U, host->entry.server->slots);
        const double freshness = detail::decayWithAge(*host, now, detail::loadHalfLifeUs);
        known[host->entry.dataCentre].add(sampleOf(*host, now), slots, freshness);
    }
    service.departure.observe(known, now);
}

void Placement::draw(std::vector<Host> &hosts, std::size_t count, const PlacementRequest &request,
                     TimePoint now, Random &random, std::vector<Host> &candidates) const
{
    // A partial shuffle: each host is looked at once.
    for (std::size_t i = 0; i < hosts.size() && count > 0; ++i) {
        std::swap(hosts[i], hosts[i + random.below(hosts.size() - i)]);
        if (!isEligible(*hosts[i], request, now))
            continue;
        candidates.push_back(hosts[i]);
        --count;
    }
}

std::vector<Placement::Host> Placement::firstServers(const std::vector<Host> &hosts,
                                                     const PlacementRequest &request)
{
    std::vector<std::pair<std::uint64_t, Host>> ordered;
    for (const Host &host : hosts) {
        const HostedServer &server = *host->entry.server;
        if (isVersionAllowed(*host, request) && server.state != ServerState::Draining)
            ordered.emplace_back(rendezvousWeight(server.service.value(), server.id.value()), host);
    }
    const std::size_t count = std::min(request.maxServers, ordered.size());
    std::partial_sort(ordered.begin(), ordered.begin() + static_cast<std::ptrdiff_t>(count),
                      ordered.end(),
                      [](const auto &left, const auto &right) { return left.first < right.first; });
    std::vector<Host> first;
    for (std::size_t i = 0; i < count; ++i)
        first.push_back(ordered[i].second);
    return first;
}

void Placement::skipUnreached(std::vector<Host> &hosts, TimePoint now) const
{
    const auto isUnreached
            = [this, now](const Host &host) { return !reach_.isOpen(host->entry.dataCentre, now); };
    if (!std::all_of(hosts.begin(), hosts.end(), isUnreached))
        std::erase_if(hosts, isUnreached);
}

bool Placement::drawAway(ServiceHosts &service, const PlacementRequest &request, TimePoint now,
                         Random &random, Candidates &candidates)
{
    if (policy_.departure == DepartureRule::ByCost || service.local.empty()
        || service.remote.empty())
        return false;
    if (service.departure.isDue(now))
        observe(service, now);
    const double share = service.departure.share(localDataCentre_, request.bytes,
                                                 departureCost(request), reach_, now);
    if (share <= 0.0 || !random.chance(share))
        return false;
    const auto dataCentre = service.departure.draw(localDataCentre_, reach_, now, random);
    if (!dataCentre)
        return false;
    const std::size_t before = candidates.hosts.size();
    draw(service.remoteByDataCentre[*dataCentre], policy_.localCandidates, request, now, random,
         candidates.hosts);
    if (candidates.hosts.size() == before)
        return false;
    draw(service.local, policy_.remoteCandidates, request, now, random, candidates.hosts);
    candidates.isLeaving = true;
    return true;
}

Placement::Candidates Placement::drawCandidates(ServiceHosts &service,
                                                const PlacementRequest &request, TimePoint now,
                                                Random &random)
{
    Candidates candidates;
    for (const Host &host : request.busy) {
        if (isEligible(*host, request, now))
            candidates.hosts.push_back(host);
    }
    if (request.maxServers > 0) {
        std::vector<Host> hosts = firstServers(service.all, request);
        draw(hosts, policy_.localCandidates + policy_.remoteCandidates, request, now, random,
             candidates.hosts);
        return candidates;
    }
    if (drawAway(service, request, now, random, candidates))
        return candidates;
    draw(service.local, policy_.localCandidates, request, now, random, candidates.hosts);
    draw(service.remote, policy_.remoteCandidates, request, now, random, candidates.hosts);
    if (policy_.departure == DepartureRule::WhenShort)
        skipUnreached(candidates.hosts, now);
    return candidates;
}

void Placement::recordChoice(const Candidates &candidates, const HostState &chosen, TimePoint now)
{
    if (chosen.entry.dataCentre == localDataCentre_)
        return;
    reach_.recordSend(chosen.entry.dataCentre, now);
    const bool hasLocal = std::any_of(
            candidates.hosts.begin(), candidates.hosts.end(),
            [this](const Host &host) { return host->entry.dataCentre == localDataCentre_; });
    if (candidates.isLeaving)
        ++departures_.byShare;
    else if (hasLocal)
        ++departures_.byCost;
    else
        ++departures_.withoutLocalHost;
}

Placement::Host Placement::choose(const PlacementRequest &request, TimePoint now, Random &random)
{
    const auto service = byService_.find(request.service);
    if (service == byService_.end())
        return nullptr;
    const Candidates candidates = drawCandidates(service->second, request, now, random);
    Host best;
    double bestCost = 0.0;
    for (const Host &host : candidates.hosts) {
        const bool paysDeparture
                = host->entry.dataCentre != localDataCentre_ && !candidates.isLeaving;
        const double jitter = 1.0 + detail::jitterFraction * random.unit();
        const double cost
                = (costOf(*host, request, now) + (paysDeparture ? departureCost(request) : 0.0))
                * jitter;
        if (!best || cost < bestCost) {
            best = host;
            bestCost = cost;
        }
    }
    if (best)
        recordChoice(candidates, *best, now);
    return best;
}

std::map<ServiceId, double> Placement::departureShares() const
{
    std::map<ServiceId, double> shares;
    for (const auto &[service, hosts] : byService_)
        shares.emplace(service, hosts.departure.largest());
    return shares;
}

void Placement::applyReport(HostState &host, const HostReport &report, TimePoint now)
{
    host.report = report;
    host.reportedAt = now;
    host.inFlightAtReport = host.inFlight;
    host.lastResponseAt = now;
    host.consecutiveFailures = 0;
    host.backoffUntil = TimePoint();
    host.unanswered.recordAnswer(now);
    ownLink_.recordAnswer(host.entry.node, host.entry.dataCentre, now);
    reach_.recordAnswer(host.entry.dataCentre);
    if (!host.entry.server)
        return;
    notices_.record(host.entry.server->id, report.serverStartedAtMs, report.notice, now);
    const auto service = byService_.find(host.entry.server->service);
    if (service == byService_.end())
        return;
    const double load = static_cast<double>(report.running + report.waiting)
            / std::max(1U, host.entry.server->slots);
    ServiceMeans &means = service->second.means;
    means.load += detail::meansWeight * (load - means.load);
    means.relativeWork += detail::meansWeight * (report.relativeWork - means.relativeWork);
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

bool Placement::beginsSuspicion(const HostState &host, TimePoint now)
{
    if (!ownLink_.recordFailure(host.entry.node, host.entry.dataCentre, now))
        return false;
    for (const Address &node : ownLink_.failedHosts()) {
        const Host failed = find(node);
        if (!failed)
            continue;
        failed->consecutiveFailures = 0;
        failed->backoffUntil = TimePoint();
        failed->unanswered.clear();
    }
    reach_ = DataCentreReach();
    return true;
}

void Placement::recordFailure(const HostState &host, TimePoint now)
{
    if (host.entry.dataCentre != localDataCentre_)
        reach_.recordFailure(host.entry.dataCentre, host.entry.node, now);
}

bool Placement::recordUnreachable(HostState &host, ConnectFailure failure, TimePoint now)
{
    if (failure == ConnectFailure::Refused) {
        reach_.recordAnswer(host.entry.dataCentre);
        ownLink_.recordAnswer(host.entry.node, host.entry.dataCentre, now);
        markUnreachable(host, now);
        return false;
    }
    const bool begins = beginsSuspicion(host, now);
    if (!ownLink_.isSuspected(now)) {
        markUnreachable(host, now);
        recordFailure(host, now);
    }
    return begins;
}

bool Placement::recordUnanswered(HostState &host, UnansweredEnd end, Microseconds waited,
                                 Microseconds objective, TimePoint now)
{
    if (!isSilence(end, waited, objective))
        return false;
    const bool begins = beginsSuspicion(host, now);
    if (!ownLink_.isSuspected(now)) {
        host.unanswered.recordUnanswered(now);
        recordFailure(host, now);
    }
    return begins;
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

std::optional<CallRate> Placement::knownLimit(const HostState &host) const
{
    return host.entry.server ? notices_.find(*host.entry.server).limit : std::nullopt;
}

Placement::Host Placement::find(const Address &node) const
{
    const auto host = hosts_.find(node);
    return host == hosts_.end() ? nullptr : host->second;
}

std::size_t Placement::countServers(const ServiceId &service, const VersionId &version) const
{
    const auto hosts = byService_.find(service);
    if (hosts == byService_.end())
        return 0;
    return static_cast<std::size_t>(std::count_if(
            hosts->second.all.begin(), hosts->second.all.end(), [&version](const Host &host) {
                const HostedServer &server = *host->entry.server;
                return server.version == version && server.state != ServerState::Draining;
            }));
}

std::vector<Placement::Host> Placement::hostsOf(const ServiceId &service) const
{
    const auto hosts = byService_.find(service);
    return hosts == byService_.end() ? std::vector<Host>() : hosts->second.all;
}

} // namespace cornelhead
