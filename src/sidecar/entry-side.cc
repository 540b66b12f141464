// Implements the entry side of a node.
#include "cornelhead/sidecar/entry-side.h"

#include <algorithm>
#include <array>

#include "cornelhead/sidecar/entry-call.h"

namespace cornelhead::detail {

namespace {

/// Connections between nodes are kept as long as the other node keeps them, with a margin.
constexpr Milliseconds idleLimit(30000);
constexpr std::uint32_t wholeMove = 1000;

constexpr std::array<std::string_view, entryRefusalCount> refusalNames
        = {"not-ready", "no-route", "bad-request", "no-server", "overload", "budget",
           "attempts",  "unknown",  "timeout",     "poison",    "stopping"};

} // namespace

std::string_view entryRefusalName(EntryRefusal refusal)
{
    return refusalNames[static_cast<std::size_t>(refusal)];
}

EntrySide::EntrySide(EventLoop &loop, const Dialect &dialect, EntrySettings settings,
                     PoisonBook &poison, Metrics &metrics, EventLog &log, EntryHandlers handlers)
    : loop_(loop), dialect_(dialect), settings_(std::move(settings)), poison_(poison), log_(log),
      handlers_(std::move(handlers)), random_(settings_.seed),
      pool_(loop.base(), metrics.counter("cornelhead_node_connections_total")),
      placement_(settings_.dataCentre), budget_(settings_.retryRatio, settings_.retryWindow),
      served_(metrics.counter("cornelhead_entry_answers_total")),
      retries_(metrics.counter("cornelhead_entry_retries_total")),
      resumes_(metrics.counter("cornelhead_entry_resumes_total")),
      duration_(metrics.summary("cornelhead_entry_duration_us"))
{
    for (const std::string_view name : refusalNames) {
        refusals_.push_back(&metrics.counter("cornelhead_entry_refusals_total",
                                             {{"reason", std::string(name)}}));
    }
}

EntrySide::~EntrySide() = default;

void EntrySide::serve(evhttp_request *request)
{
    const auto call = std::make_shared<EntryCall>(*this, request);
    calls_.emplace(call.get(), call);
    call->start();
}

void EntrySide::setHosts(const std::map<Address, HostDirectory::Record> &hosts)
{
    placement_.update(hosts, now(SteadyClock()));
    for (const auto &[node, known] : hosts) {
        if (!known.entry.server)
            continue;
        std::optional<VersionId> &usual = usualVersions_[known.entry.server->service];
        usual = placement_.usualVersion(known.entry.server->service, usual);
    }
}

const ServiceId &EntrySide::chooseService(const HostRoute &route)
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

bool EntrySide::chooseVersion(PlacementQuestion &question)
{
    VersionMoveWatcher *move = handlers_.moveOf(question.service);
    if (!move || !move->order()) {
        question.usualVersion = usualVersions_[question.service];
        return false;
    }
    const std::uint32_t perMille = move->perMille();
    question.version = move->order()->target;
    question.isVersionExcluded = true;
    if (perMille == 0)
        return false;
    const std::vector<std::uint32_t> weights
            = {wholeMove - std::min(perMille, wholeMove), perMille};
    auto split = moveSplits_.find(question.service);
    if (split == moveSplits_.end() || split->second.weights() != weights) {
        split = moveSplits_.insert_or_assign(question.service, WeightedSplit(weights, random_))
                        .first;
    }
    question.isVersionExcluded = split->second.pick() == 0;
    // Calls of the old version never spill over to one that is still judged.
    return !question.isVersionExcluded;
}

void EntrySide::noteReport(PlacedHost &host, const HopAnswer &answer)
{
    const TimePoint time = now(SteadyClock());
    Placement::takeReport(host, answer.report, time);
    handlers_.onPeerRevision(host.entry.node, answer.configuration);
    if (!host.entry.server)
        return;
    if (VersionMoveWatcher *move = handlers_.moveOf(host.entry.server->service)) {
        const HostReport &report = answer.report;
        move->addTally(host.entry.run, host.entry.server->version,
                       ServerTally{report.answers, report.failures, report.timedAnswers,
                                   report.lateAnswers, report.relativeWorkSum},
                       time);
    }
}

void EntrySide::takeReport(const Address &node, const HopAnswer &answer)
{
    const Placement::Host host = placement_.find(node);
    if (host && host->entry.run == answer.run)
        noteReport(*host, answer);
}

Milliseconds EntrySide::elapsedOf(const RouteId &route, Milliseconds left)
{
    return usualDeadlines_[route].elapsed(left);
}

void EntrySide::noteBytes(const RouteId &route, std::size_t bytes)
{
    // The last call's weight.
    constexpr double weight = 0.1;
    const auto [entry, isNew] = bytes_.try_emplace(route, static_cast<double>(bytes));
    entry->second += weight * (static_cast<double>(bytes) - entry->second);
}

void EntrySide::end(EntryCall &call)
{
    const auto owned = calls_.find(&call);
    if (owned == calls_.end())
        return;
    // Freed outside of its own callbacks.
    loop_.post([kept = owned->second] {});
    calls_.erase(owned);
}

void EntrySide::sweep()
{
    pool_.closeIdle(now(SteadyClock()) - idleLimit);
}

} // namespace cornelhead::detail
