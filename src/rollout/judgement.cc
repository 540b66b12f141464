// Splits outcomes into blocks and scopes and runs the sequential tests over them.
#include "cornelhead/rollout/judgement.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <numeric>
#include <set>

namespace cornelhead {
namespace detail {

/// A failure rate this much above the old version's is still good.
constexpr double toleratedFailures = 0.005;
/// Refused calls tell more of capacity than of the version.
constexpr double toleratedShed = 0.1;
constexpr double toleratedSlow = 0.02;
/// Hosts differ in speed, so answers slower by this factor are still good.
constexpr double toleratedSlowdown = 1.5;
/// No single block decides alone: a crashed host fails many calls at once.
constexpr double highestBlockRatio = 3.2;
/// The prior weight of badness that is there from the first block.
constexpr double firstOnsetWeight = 0.3;
/// Blocks that old calls wait for new ones, and the other way round.
constexpr int longestPending = 40;
constexpr std::size_t recentBlocks = 12;
/// Latency bounds that the old version crosses this often are worth a test.
constexpr double rareSlow = 0.005;
constexpr double commonSlow = 0.6;
constexpr double leastPastCalls = 30;
/// How sure the judgement is that moderate badness would have shown.
constexpr double clearedRatio = -2.0;
constexpr std::size_t moderateEffect = 2;
constexpr double leastStageCalls = 15;

double sumLatencies(const OutcomeSums &sums)
{
    return static_cast<double>(
            std::accumulate(sums.latencies.begin(), sums.latencies.end(), std::uint64_t(0)));
}

double answered(const OutcomeSums &sums)
{
    return static_cast<double>(sums.calls - std::min(sums.calls, sums.shed));
}

double slowerThan(const OutcomeSums &sums, std::size_t bound)
{
    double slow = 0;
    for (std::size_t i = bound + 1; i < latencyBuckets; ++i)
        slow += static_cast<double>(sums.latencies[i]);
    return slow;
}

Tolerance toleranceOf(std::size_t kind)
{
    if (kind == failureEvent)
        return {toleratedFailures, 0};
    if (kind == shedEvent)
        return {toleratedShed, 0};
    return {toleratedSlow, std::log2(toleratedSlowdown)};
}

ComparedCalls countEvents(const VersionSums &sums, std::size_t kind)
{
    ComparedCalls calls;
    const OutcomeSums &newer = sums.newer;
    const OutcomeSums &older = sums.older;
    if (kind == failureEvent) {
        calls.newEvents = static_cast<double>(newer.failures);
        calls.newOthers = std::max(0.0, answered(newer) - calls.newEvents);
        calls.oldEvents = static_cast<double>(older.failures);
        calls.oldOthers = std::max(0.0, answered(older) - calls.oldEvents);
    } else if (kind == shedEvent) {
        calls.newEvents = static_cast<double>(newer.shed);
        calls.newOthers = answered(newer);
        calls.oldEvents = static_cast<double>(older.shed);
        calls.oldOthers = answered(older);
    } else {
        const std::size_t bound = kind - firstLatencyEvent;
        calls.newEvents = slowerThan(newer, bound);
        calls.newOthers = sumLatencies(newer) - calls.newEvents;
        calls.oldEvents = slowerThan(older, bound);
        calls.oldNear = static_cast<double>(older.latencies[bound]);
        calls.oldOthers = sumLatencies(older) - calls.oldEvents - calls.oldNear;
    }
    return calls;
}

// The old version's events and calls, with the tolerance counted in.
std::pair<double, double> toleratedEvents(const OutcomeSums &past, std::size_t kind)
{
    const ComparedCalls calls = countEvents({{}, past}, kind);
    const Tolerance tolerance = toleranceOf(kind);
    const double total = calls.oldEvents + calls.oldNear + calls.oldOthers;
    const double events = calls.oldEvents + tolerance.nearWeight * calls.oldNear;
    return {events + tolerance.extraRate * (total - events), total};
}

double expectedRate(const OutcomeSums &past, std::size_t kind)
{
    const auto [events, calls] = toleratedEvents(past, kind);
    return (events + toleranceOf(kind).extraRate) / (calls + 1.0);
}

bool isWorthTesting(const OutcomeSums &past, std::size_t kind)
{
    if (kind < firstLatencyEvent)
        return true;
    const double calls = sumLatencies(past);
    const double slow = slowerThan(past, kind - firstLatencyEvent);
    if (calls < leastPastCalls)
        return false;
    // The first bound that the old version hardly ever crosses counts too.
    const double atLeast = slow + static_cast<double>(past.latencies[kind - firstLatencyEvent]);
    return slow < commonSlow * calls && atLeast > rareSlow * calls;
}

double kindWeight(std::size_t kind)
{
    if (kind == failureEvent)
        return 0.6;
    if (kind == shedEvent)
        return 0.05;
    return 0.35 / (latencyBuckets - 1);
}

// The weights of any number of members of one class of scopes sum to at most 1.
double memberWeight(std::size_t index)
{
    constexpr std::size_t equalMembers = 8;
    if (index < equalMembers)
        return 0.5 / equalMembers;
    const auto further = static_cast<double>(index - equalMembers);
    return 0.5 / ((further + 1.0) * (further + 2.0));
}

std::vector<Scope> scopesOf(const Scope &cell)
{
    std::vector<Scope> scopes
            = {{}, {cell.route, {}}, {{}, cell.dataCentre}, {cell.route, cell.dataCentre}};
    return scopes;
}

void capRatios(KindRatios &ratios, double highest)
{
    for (LogRatios &kind : ratios)
        for (double &ratio : kind)
            ratio = std::min(ratio, highest);
}

void addRatios(KindRatios &sum, const KindRatios &more)
{
    for (std::size_t kind = 0; kind < sum.size(); ++kind)
        for (std::size_t i = 0; i < sum[kind].size(); ++i)
            sum[kind][i] += more[kind][i];
}

bool hasBoth(const VersionSums &sums)
{
    return sums.newer.calls > 0 && sums.older.calls >= std::min<std::uint64_t>(sums.newer.calls, 2);
}

std::string kindText(std::size_t kind)
{
    if (kind == failureEvent)
        return "calls failed";
    if (kind == shedEvent)
        return "calls were refused as full";
    const Microseconds bound = firstLatencyBound * (1 << (kind - firstLatencyEvent));
    return "answers took longer than " + std::to_string(bound.count()) + " us";
}

std::string countText(double events, double calls)
{
    const double rate = calls > 0 ? events / calls : 0;
    return std::to_string(static_cast<std::uint64_t>(events)) + " of "
            + std::to_string(static_cast<std::uint64_t>(calls)) + " (" + renderPercent(rate) + ")";
}

std::string scopeText(const Scope &scope)
{
    std::string text = scope.route.empty() ? "on all routes" : "on " + scope.route.value();
    return text
            + (scope.dataCentre.empty() ? " in all data centres"
                                        : " in " + scope.dataCentre.value());
}

} // namespace detail

std::string renderPercent(double part)
{
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.1f %%", part * 100.0);
    return text.data();
}

Judgement::Judgement(JudgementSettings settings) : settings_(settings) { }

void Judgement::add(bool isNew, const RouteId &route, const DataCentreId &dataCentre,
                    const OutcomeSums &sums)
{
    detail::Cell &cell = cells_[{route, dataCentre}];
    (isNew ? cell.pending.newer : cell.pending.older).add(sums);
    (isNew ? stage_.newer : stage_.older).add(sums);
}

void Judgement::recallPast(const OutcomeBatch &past)
{
    for (const auto &[key, sums] : past) {
        detail::Cell &cell = cells_[{key.route, key.dataCentre}];
        if (cell.past.calls >= sums.calls)
            continue;
        cell.past = sums;
    }
    wholePast_ = {};
    for (const auto &[scope, cell] : cells_)
        wholePast_.add(cell.past);
}

detail::ScopeTests &Judgement::tests(const detail::Scope &scope)
{
    const auto [found, isNew] = tests_.try_emplace(scope);
    if (!isNew)
        return found->second;
    constexpr double classWeight = 1.0 / 6.0;
    if (scope.route.empty() && scope.dataCentre.empty())
        found->second.weight = 3.0 * classWeight;
    else if (scope.dataCentre.empty())
        found->second.weight = classWeight * detail::memberWeight(routes_++);
    else if (scope.route.empty())
        found->second.weight = classWeight * detail::memberWeight(dataCentres_++);
    else
        found->second.weight = classWeight * detail::memberWeight(pairs_++);
    return found->second;
}

void Judgement::compare(const detail::Scope &scope, detail::Cell &cell, detail::ScopeRatios &sums)
{
    detail::KindRatios ratios{};
    for (std::size_t kind = 0; kind < detail::eventKinds; ++kind)
        if (detail::isWorthTesting(cell.past, kind))
            ratios[kind] = compareCalls(detail::countEvents(cell.pending, kind),
                                        detail::toleranceOf(kind),
                                        detail::expectedRate(cell.past, kind));
    detail::capRatios(ratios, detail::highestBlockRatio);
    for (const detail::Scope &wider : detail::scopesOf(scope))
        detail::addRatios(sums[wider], ratios);
}

const OutcomeSums &Judgement::pastFor(const detail::Scope &scope) const
{
    const OutcomeSums &own = cells_.at(scope).past;
    return static_cast<double>(own.calls) >= detail::leastPastCalls ? own : wholePast_;
}

void Judgement::compareWithPast(const detail::Scope &scope, detail::Cell &cell,
                                detail::ScopeRatios &sums)
{
    const OutcomeSums &past = pastFor(scope);
    detail::KindRatios ratios{};
    for (std::size_t kind = 0; kind < detail::eventKinds; ++kind) {
        if (!detail::isWorthTesting(past, kind))
            continue;
        const auto [events, calls] = detail::toleratedEvents(past, kind);
        const ComparedCalls compared = detail::countEvents(cell.pending, kind);
        ratios[kind]
                = compareWithRate(compared.newEvents, compared.newOthers, upperRate(events, calls));
    }
    detail::capRatios(ratios, detail::highestBlockRatio);
    for (const detail::Scope &wider : detail::scopesOf(scope))
        detail::addRatios(sums[wider], ratios);
}

void Judgement::noteRecent(const detail::Scope &scope, const detail::VersionSums &sums)
{
    for (const detail::Scope &wider : detail::scopesOf(scope)) {
        auto &recent = tests(wider).recent;
        recent.back().newer.add(sums.newer);
        recent.back().older.add(sums.older);
    }
}

void Judgement::addToTests(const detail::ScopeRatios &sums)
{
    const double onset = blocks_ == 1 ? detail::firstOnsetWeight
                                      : (1.0 - detail::firstOnsetWeight) / settings_.expectedBlocks;
    for (auto &[scope, scopeTests] : tests_) {
        const auto found = sums.find(scope);
        detail::KindRatios ratios = found == sums.end() ? detail::KindRatios{} : found->second;
        detail::capRatios(ratios, detail::highestBlockRatio);
        for (std::size_t kind = 0; kind < detail::eventKinds; ++kind)
            scopeTests.kinds[kind].add(ratios[kind], onset);
    }
}

void Judgement::openRecent()
{
    for (const auto &[scope, cell] : cells_)
        for (const detail::Scope &wider : detail::scopesOf(scope))
            tests(wider);
    for (auto &[scope, scopeTests] : tests_) {
        scopeTests.recent.emplace_back();
        if (scopeTests.recent.size() > detail::recentBlocks)
            scopeTests.recent.erase(scopeTests.recent.begin());
    }
}

void Judgement::closeBlock(bool againstPast)
{
    blocks_ += 1;
    isAgainstPast_ = againstPast;
    openRecent();
    detail::ScopeRatios sums;
    for (auto &[scope, cell] : cells_) {
        const bool both = detail::hasBoth(cell.pending);
        cell.pendingBlocks += 1;
        if (!both && !againstPast && cell.pendingBlocks < detail::longestPending)
            continue;
        noteRecent(scope, cell.pending);
        if (both)
            compare(scope, cell, sums);
        else if (againstPast && cell.pending.newer.calls > 0)
            compareWithPast(scope, cell, sums);
        cell.past.add(cell.pending.older);
        wholePast_.add(cell.pending.older);
        cell.pending = {};
        cell.pendingBlocks = 0;
    }
    for (std::size_t i = 0; i < stageRatios_.size(); ++i)
        stageRatios_[i] += sums[{}][detail::failureEvent][i];
    addToTests(sums);
}

double Judgement::odds() const
{
    double sum = 0;
    double weight = 0;
    for (const auto &[scope, scopeTests] : tests_) {
        weight += scopeTests.weight;
        for (std::size_t kind = 0; kind < detail::eventKinds; ++kind)
            sum += scopeTests.weight * detail::kindWeight(kind) * scopeTests.kinds[kind].value();
    }
    // What no scope has used yet counts as evidence of 1.
    return sum + (1.0 - weight);
}

std::optional<Finding> Judgement::finding() const
{
    const double total = odds();
    if (total < 1.0 / settings_.falseAlarms)
        return std::nullopt;
    double strongest = 0;
    Finding finding{total, {}};
    for (const auto &[scope, scopeTests] : tests_) {
        for (std::size_t kind = 0; kind < detail::eventKinds; ++kind) {
            const double odds
                    = scopeTests.weight * detail::kindWeight(kind) * scopeTests.kinds[kind].value();
            if (odds <= strongest)
                continue;
            strongest = odds;
            finding.text = describe(scope, kind);
        }
    }
    return finding;
}

bool Judgement::isCleared() const
{
    return detail::answered(stage_.newer) >= detail::leastStageCalls
            && stageRatios_[detail::moderateEffect] <= detail::clearedRatio;
}

void Judgement::startStage()
{
    stage_ = {};
    stageRatios_ = {};
}

OutcomeBatch Judgement::past(const ServiceId &service, const VersionId &oldVersion) const
{
    OutcomeBatch batch;
    for (const auto &[scope, cell] : cells_)
        if (cell.past.calls > 0)
            batch[{service, oldVersion, scope.route, scope.dataCentre}] = cell.past;
    return batch;
}

std::string Judgement::describe(const detail::Scope &scope, std::size_t kind) const
{
    detail::VersionSums sums;
    for (const detail::VersionSums &block : tests_.at(scope).recent) {
        sums.newer.add(block.newer);
        sums.older.add(block.older);
    }
    if (isAgainstPast_)
        sums.older = wholePast_;
    const ComparedCalls calls = detail::countEvents(sums, kind);
    return detail::scopeText(scope) + ", " + detail::kindText(kind) + ": "
            + detail::countText(calls.newEvents, calls.newEvents + calls.newOthers)
            + " of the new version against "
            + detail::countText(calls.oldEvents, calls.oldEvents + calls.oldNear + calls.oldOthers)
            + (isAgainstPast_ ? " of the old version before" : " of the old version at that time");
}

} // namespace cornelhead
