// Splits outcomes into blocks and scopes and runs the sequential tests over them.
#include "cornelhead/rollout/judgement.h"

#include <algorithm>
#include <cstdio>

#include "cornelhead/rollout/latency-test.h"

namespace cornelhead {
namespace detail {
namespace {

/// No single block decides alone: a crashed host fails many calls at once.
constexpr double highestBlockRatio = 3.2;
/// A suspicion costs little, so that a block may weigh more for it.
constexpr double highestPastRatio = 6.0;
/// The prior weight of badness that is there from the first block, and from each suspicion.
constexpr double firstOnsetWeight = 0.25;
constexpr double suspectedOnsetWeight = 0.1;
/// The prior weight of badness that begins in any other block.
constexpr double laterOnsetWeight = 0.45;
constexpr double pastOnsetWeight = 0.1;
/// Blocks that old calls wait for new ones, and the other way round.
constexpr int longestPending = 40;
constexpr std::size_t recentBlocks = 12;
constexpr double leastPastCalls = 30;

/// How sure the judgement is that badness would have shown.
constexpr double clearedRatio = -2.0;
/// Of the effects tested for, the one that must have shown at all calls, and at a part of them.
constexpr std::size_t wholeEffect = 1;
constexpr std::size_t partEffect = 2;
constexpr double leastStageCalls = 15;
/// Scopes with a smaller part of the calls need not be cleared.
constexpr double smallPart = 0.05;

// The weights of any number of members of one class of scopes sum to at most 1.
double memberWeight(std::size_t index)
{
    constexpr std::size_t equalMembers = 8;
    if (index < equalMembers)
        return 0.5 / equalMembers;
    const auto further = static_cast<double>(index - equalMembers);
    return 0.5 / ((further + 1.0) * (further + 2.0));
}

std::array<JudgementScope, 4> scopesOf(const JudgementScope &cell)
{
    return {JudgementScope{}, JudgementScope{cell.route, {}}, JudgementScope{{}, cell.dataCentre},
            cell};
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

std::string scopeText(const JudgementScope &scope)
{
    const std::string route
            = scope.route.empty() ? "on all routes" : "on route " + scope.route.value();
    return route
            + (scope.dataCentre.empty() ? " in all data centres"
                                        : " in " + scope.dataCentre.value());
}

} // namespace
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
    detail::JudgementCell &cell = cells_[{route, dataCentre}];
    (isNew ? cell.pending.newer : cell.pending.older).add(sums);
    (isNew ? stage_.newer : stage_.older).add(sums);
}

void Judgement::recallPast(const OutcomeBatch &past)
{
    for (const auto &[key, sums] : past) {
        detail::JudgementCell &cell = cells_[{key.route, key.dataCentre}];
        if (cell.past.calls < sums.calls)
            cell.past = sums;
    }
    wholePast_ = {};
    for (const auto &[scope, cell] : cells_)
        wholePast_.add(cell.past);
}

double Judgement::kindWeight(std::size_t kind) const
{
    const bool isFirst = settings_.rules == JudgementRules::First;
    if (kind == detail::failureEvent)
        return 0.6;
    if (kind == detail::shedEvent)
        return 0.05;
    if (kind == detail::slowEvent)
        return isFirst ? 0.0 : 0.35;
    return isFirst ? 0.35 / (latencyBuckets - 1) : 0.0;
}

detail::JudgementTests &Judgement::tests(const detail::JudgementScope &scope)
{
    constexpr double classWeight = 1.0 / 6.0;
    const auto [found, isNew] = tests_.try_emplace(scope);
    if (!isNew)
        return found->second;
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

void Judgement::openRecent()
{
    for (const auto &[scope, cell] : cells_)
        for (const detail::JudgementScope &wider : detail::scopesOf(scope))
            tests(wider);
    for (auto &[scope, scopeTests] : tests_) {
        scopeTests.recent.emplace_back();
        if (scopeTests.recent.size() > detail::recentBlocks)
            scopeTests.recent.erase(scopeTests.recent.begin());
    }
}

void Judgement::noteRecent(const detail::JudgementScope &scope, const detail::VersionSums &sums)
{
    for (const detail::JudgementScope &wider : detail::scopesOf(scope)) {
        detail::VersionSums &recent = tests(wider).recent.back();
        recent.newer.add(sums.newer);
        recent.older.add(sums.older);
    }
}

detail::KindRatios Judgement::compare(const detail::JudgementCell &cell) const
{
    detail::KindRatios ratios{};
    for (std::size_t kind = 0; kind < detail::eventKinds; ++kind) {
        if (kindWeight(kind) <= 0 || !detail::isWorthTesting(cell.past, kind))
            continue;
        if (kind == detail::slowEvent)
            ratios[kind] = compareLatencies(cell.pending.newer, cell.pending.older,
                                            LatencyProfile(cell.past));
        else
            ratios[kind] = compareCalls(detail::countEvents(cell.pending, kind),
                                        detail::toleranceOf(kind),
                                        detail::expectedRate(cell.past, kind));
    }
    detail::capRatios(ratios, detail::highestBlockRatio);
    return ratios;
}

detail::KindRatios Judgement::compareWithPast(const detail::JudgementCell &cell) const
{
    const bool hasOwnPast = static_cast<double>(cell.past.calls) >= detail::leastPastCalls;
    const OutcomeSums &past = hasOwnPast ? cell.past : wholePast_;
    detail::KindRatios ratios{};
    for (std::size_t kind = 0; kind < detail::eventKinds; ++kind) {
        if (kindWeight(kind) <= 0 || !detail::isWorthTesting(past, kind))
            continue;
        if (kind == detail::slowEvent) {
            ratios[kind] = compareLatenciesWithPast(cell.pending.newer, LatencyProfile(past));
            continue;
        }
        const auto [events, calls] = detail::toleratedEvents(past, kind);
        const ComparedCalls compared = detail::countEvents(cell.pending, kind);
        ratios[kind]
                = compareWithRate(compared.newEvents, compared.newOthers, upperRate(events, calls));
    }
    detail::capRatios(ratios, detail::highestPastRatio);
    return ratios;
}

void Judgement::closeBlock(bool isFullShare)
{
    blocks_ += 1;
    openRecent();
    detail::ScopeRatios concurrent;
    detail::ScopeRatios past;
    for (auto &[scope, cell] : cells_) {
        const bool both = detail::hasBoth(cell.pending);
        cell.pendingBlocks += 1;
        if (!both && !isFullShare && cell.pendingBlocks < detail::longestPending)
            continue;
        noteRecent(scope, cell.pending);
        const detail::KindRatios now = both ? compare(cell) : detail::KindRatios{};
        const detail::KindRatios before
                = isFullShare ? compareWithPast(cell) : detail::KindRatios{};
        for (const detail::JudgementScope &wider : detail::scopesOf(scope)) {
            detail::addRatios(concurrent[wider], now);
            detail::addRatios(past[wider], before);
        }
        cell.past.add(cell.pending.older);
        wholePast_.add(cell.pending.older);
        cell.pending = {};
        cell.pendingBlocks = 0;
    }
    addToTests(concurrent, past);
}

void Judgement::expectOnset()
{
    expectsOnset_ = true;
}

double Judgement::drawOnsetWeight()
{
    if (blocks_ == 1)
        return detail::firstOnsetWeight;
    if (!expectsOnset_)
        return detail::laterOnsetWeight / settings_.expectedBlocks;
    expectsOnset_ = false;
    return detail::suspectedOnsetWeight;
}

void Judgement::addToTests(const detail::ScopeRatios &concurrent, const detail::ScopeRatios &past)
{
    const double onset = drawOnsetWeight();
    const bool isFirst = settings_.rules == JudgementRules::First;
    for (auto &[scope, scopeTests] : tests_) {
        const auto found = concurrent.find(scope);
        detail::KindRatios now = found == concurrent.end() ? detail::KindRatios{} : found->second;
        detail::addRatios(scopeTests.stage, now);
        detail::KindRatios before
                = found == concurrent.end() ? detail::KindRatios{} : past.at(scope);
        if (isFirst)
            detail::addRatios(now, before);
        detail::capRatios(now, detail::highestBlockRatio);
        detail::capRatios(before, detail::highestPastRatio);
        for (std::size_t kind = 0; kind < detail::eventKinds; ++kind) {
            scopeTests.concurrent[kind].add(now[kind], onset);
            scopeTests.againstPast[kind].addRenewed(before[kind], detail::pastOnsetWeight);
        }
    }
}

double Judgement::odds() const
{
    double sum = 0;
    double weight = 0;
    for (const auto &[scope, scopeTests] : tests_) {
        weight += scopeTests.weight;
        for (std::size_t kind = 0; kind < detail::eventKinds; ++kind)
            sum += scopeTests.weight * kindWeight(kind) * scopeTests.concurrent[kind].value();
    }
    // What no scope has used yet counts as evidence of 1.
    return sum + (1.0 - weight);
}

Finding Judgement::strongest(detail::KindTests detail::JudgementTests::*tests) const
{
    Finding finding;
    const bool isPast = tests == &detail::JudgementTests::againstPast;
    for (const auto &[scope, scopeTests] : tests_) {
        for (std::size_t kind = 0; kind < detail::eventKinds; ++kind) {
            const double odds
                    = scopeTests.weight * kindWeight(kind) * (scopeTests.*tests)[kind].value();
            if (odds <= finding.odds)
                continue;
            detail::VersionSums sums;
            for (const detail::VersionSums &block : scopeTests.recent) {
                sums.newer.add(block.newer);
                sums.older.add(block.older);
            }
            if (isPast)
                sums.older = wholePast_;
            finding = {odds,
                       detail::scopeText(scope) + ", "
                               + detail::describeEvents(sums, kind,
                                                        isPast ? "before" : "at that time")};
        }
    }
    return finding;
}

std::optional<Finding> Judgement::finding() const
{
    const double total = odds();
    if (total < 1.0 / settings_.falseAlarms)
        return std::nullopt;
    Finding finding = strongest(&detail::JudgementTests::concurrent);
    finding.odds = total;
    return finding;
}

std::optional<Finding> Judgement::suspicion(double leastOdds) const
{
    double total = 0;
    for (const auto &[scope, scopeTests] : tests_)
        for (std::size_t kind = 0; kind < detail::eventKinds; ++kind)
            total += scopeTests.weight * kindWeight(kind) * scopeTests.againstPast[kind].value();
    if (total < leastOdds)
        return std::nullopt;
    Finding finding = strongest(&detail::JudgementTests::againstPast);
    finding.odds = total;
    return finding;
}

bool Judgement::isScopeCleared(const detail::JudgementScope &scope,
                               const detail::JudgementTests &tests) const
{
    const bool isWhole = scope.route.empty() && scope.dataCentre.empty();
    const std::size_t effect = isWhole ? detail::wholeEffect : detail::partEffect;
    const bool hasLatencies = detail::isWorthTesting(wholePast_, detail::slowEvent)
            && kindWeight(detail::slowEvent) > 0;
    return tests.stage[detail::failureEvent][effect] <= detail::clearedRatio
            && (!hasLatencies || tests.stage[detail::slowEvent][effect] <= detail::clearedRatio);
}

bool Judgement::isCleared() const
{
    if (detail::answeredCalls(stage_.newer) < detail::leastStageCalls)
        return false;
    std::map<detail::JudgementScope, double> calls;
    for (const auto &[scope, cell] : cells_)
        for (const detail::JudgementScope &wider : detail::scopesOf(scope))
            calls[wider] += static_cast<double>(cell.past.calls);
    const double all = static_cast<double>(wholePast_.calls);
    for (const auto &[scope, scopeTests] : tests_) {
        const bool isPair = !scope.route.empty() && !scope.dataCentre.empty();
        if (isPair || calls[scope] < detail::smallPart * all)
            continue;
        if (!isScopeCleared(scope, scopeTests))
            return false;
    }
    return true;
}

void Judgement::startStage()
{
    stage_ = {};
    for (auto &[scope, scopeTests] : tests_) {
        scopeTests.stage = {};
        scopeTests.againstPast = {};
    }
}

OutcomeBatch Judgement::past(const ServiceId &service, const VersionId &oldVersion) const
{
    OutcomeBatch batch;
    for (const auto &[scope, cell] : cells_)
        if (cell.past.calls > 0)
            batch[{service, oldVersion, scope.route, scope.dataCentre}] = cell.past;
    return batch;
}

} // namespace cornelhead
