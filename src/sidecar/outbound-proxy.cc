// Implements the outbound proxy of a node.
#include "cornelhead/sidecar/outbound-proxy.h"

#include <algorithm>
#include <array>

#include "cornelhead/sidecar/outbound-call.h"

namespace cornelhead::detail {

namespace {

/// Connections between nodes are closed somewhat before the other node would close them.
constexpr Milliseconds maxIdleTime(30000);
constexpr std::uint32_t perMilleTotal = 1000;

constexpr std::array<std::string_view, outboundRefusalCount> refusalNames
        = {"not-ready", "no-route",    "bad-request",    "no-server", "overload",
           "budget",    "attempts",    "unknown",        "timeout",   "poison",
           "stopping",  "unknown-key", "unknown-parent", "quota"};

} // namespace

std::string_view outboundRefusalName(OutboundRefusal refusal)
{
    return refusalNames[static_cast<std::size_t>(refusal)];
}

OutboundProxy::OutboundProxy(EventLoop &loop, const Dialect &dialect, OutboundSettings settings,
                             PoisonTracker &poison, Metrics &metrics, EventLog &log,
                             OutboundHandlers handlers)
    : loop_(loop), dialect_(dialect), settings_(std::move(settings)), poison_(poison), log_(log),
      handlers_(std::move(handlers)), random_(settings_.seed),
      pool_(loop.base(), metrics.counter("cornelhead_node_connections_total")),
      placement_(settings_.dataCentre, PlacementPolicy{.departure = settings_.departure}),
      budget_(settings_.retryRatio, settings_.retryWindow),
      uploads_(loop, settings_.link, metrics, log),
      responses_(metrics.counter("cornelhead_entry_answers_total")),
      retries_(metrics.counter("cornelhead_entry_retries_total")),
      resumes_(metrics.counter("cornelhead_entry_resumes_total")),
      handBacks_(metrics.counter("cornelhead_entry_hand_backs_total")),
      unanswered_(metrics.counter("cornelhead_entry_unanswered_total")),
      ownLinkSuspicions_(metrics.counter("cornelhead_entry_own_link_suspicions_total")),
      departureMonitor_(metrics, log),
      bookedReturns_(metrics.counter("cornelhead_entry_returns_total", {{"place", "booked"}})),
      lateReturns_(metrics.counter("cornelhead_entry_returns_total", {{"place", "none"}})),
      cancelledNestedCalls_(metrics.counter("cornelhead_entry_nested_cancelled_total")),
      duration_(metrics.summary("cornelhead_entry_duration_us"))
{
    for (const std::string_view name : refusalNames) {
        refusals_.push_back(&metrics.counter("cornelhead_entry_refusals_total",
                                             {{"reason", std::string(name)}}));
    }
}

OutboundProxy::~OutboundProxy()
{
    // The end of a call closes its connection and so ends others, which then find no entry here.
    const auto ending = std::exchange(calls_, {});
}

void OutboundProxy::serve(IncomingRequest request)
{
    const auto call = std::make_shared<OutboundCall>(*this, std::move(request));
    calls_.emplace(call.get(), call);
    call->start();
}

void OutboundProxy::setHosts(const std::map<Address, HostDirectory::Record> &hosts)
{
    placement_.update(hosts, now(SteadyClock()));
    for (const auto &[node, known] : hosts) {
        if (!known.entry.server)
            continue;
        std::optional<VersionId> &stable = stableVersions_[known.entry.server->service];
        stable = placement_.defaultVersion(known.entry.server->service, stable);
    }
}

const ServiceId &OutboundProxy::chooseService(const HostRoute &route)
{
    if (route.targets.size() == 1)
        return route.targets.front().service;
    std::vector<std::uint32_t> weights;
    for (const RouteTarget &target : route.targets)
        weights.push_back(target.weight);
    auto split = splits_.find(route.id);
    if (split == splits_.end() || split->second.weights() != weights) {
        split = splits_.insert_or_assign(route.id, WeightedSplit(std::move(weights), random_))
                        .first;
    }
    return route.targets[split->second.pick()].service;
}

bool OutboundProxy::chooseVersion(PlacementRequest &request)
{
    VersionMoveWatcher *move = handlers_.findMove(request.service);
    if (!move || !move->order()) {
        request.defaultVersion = stableVersions_[request.service];
        return false;
    }
    const std::uint32_t perMille = move->perMille();
    request.version = move->order()->target;
    request.isVersionExcluded = true;
    if (perMille == 0)
        return false;
    const std::vector<std::uint32_t> weights
            = {perMilleTotal - std::min(perMille, perMilleTotal), perMille};
    auto split = moveSplits_.find(request.service);
    if (split == moveSplits_.end() || split->second.weights() != weights) {
        split = moveSplits_.insert_or_assign(request.service, WeightedSplit(weights, random_))
                        .first;
    }
    request.isVersionExcluded = split->second.pick() == 0;
    if (!request.isVersionExcluded)
        request.maxServers = move->serversInUse(
                placement_.countServers(request.service, move->order()->target));
    // Calls of the old version never go to a version that is still being judged.
    return !request.isVersionExcluded;
}

void OutboundProxy::recordReport(HostState &host, const HopResponse &response)
{
    const TimePoint time = now(SteadyClock());
    placement_.applyReport(host, response.report, time);
    handlers_.onPeerRevision(host.entry.node, response.configuration);
    if (!host.entry.server)
        return;
    handBack_.record(host.entry.server->service, response.report);
    if (VersionMoveWatcher *move = handlers_.findMove(host.entry.server->service)) {
        move->addCounters(host.entry.run, host.entry.server->version, response.report.counters,
                          time);
    }
}

void OutboundProxy::onPeerReport(const Address &node, const HopResponse &response)
{
    const Placement::Host host = placement_.find(node);
    if (host && host->entry.run == response.run)
        recordReport(*host, response);
}

void OutboundProxy::recordUnreachable(HostState &host, ConnectFailure failure)
{
    if (placement_.recordUnreachable(host, failure, now(SteadyClock())))
        logOwnLink();
}

void OutboundProxy::recordUnanswered(HostState &host, UnansweredEnd end, TimePoint sentAt,
                                     Microseconds objective)
{
    const TimePoint time = now(SteadyClock());
    unanswered_.add();
    if (placement_.recordUnanswered(host, end, time - sentAt, objective, time))
        logOwnLink();
}

void OutboundProxy::logOwnLink()
{
    ownLinkSuspicions_.add();
    log_.write(EventKind::StateChange, "entry", "own-link-suspected",
               {{"failedHosts", placement_.ownLink().failedHosts().size()}});
}

Milliseconds OutboundProxy::elapsedSinceFirstTry(const RouteId &route, Milliseconds timeLeft)
{
    return deadlineEstimates_[route].elapsed(timeLeft);
}

void OutboundProxy::recordCallBytes(const RouteId &route, std::size_t bytes)
{
    // The weight of the latest call in the moving average.
    constexpr double weight = 0.1;
    const auto [mean, isNew] = meanCallBytes_.try_emplace(route, static_cast<double>(bytes));
    mean->second += weight * (static_cast<double>(bytes) - mean->second);
}

void OutboundProxy::onCallEnd(OutboundCall &call)
{
    const auto owned = calls_.find(&call);
    if (owned == calls_.end())
        return;
    // The call must not be freed inside its own callbacks.
    loop_.post([kept = owned->second] {});
    calls_.erase(owned);
}

void OutboundProxy::cancelNestedCalls(const std::string &outerId)
{
    std::vector<std::shared_ptr<OutboundCall>> nested;
    for (const auto &[key, call] : calls_) {
        if (call->isMadeFor(outerId))
            nested.push_back(call);
    }
    for (const auto &call : nested)
        call->cancelWithOuterCall();
}

void OutboundProxy::sweep()
{
    pool_.closeIdle(now(SteadyClock()) - maxIdleTime);
    departureMonitor_.update(placement_.departures(), placement_.departureShares());
    uploads_.sweep();
}

} // namespace cornelhead::detail
