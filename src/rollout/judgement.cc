// Splits outcomes into blocks and scopes, and runs the sequential tests.
#include "cornelhead/rollout/judgement.h"

#include <algorithm>
#include <cmath>
#include <cstdio>

#include "cornelhead/rollout/latency-comparison.h"

namespace cornelhead {
namespace detail {
namespace {

/// Odds below which the evidence against a version is negligible.
constexpr double goodOdds = 3.0;
/// Caps the evidence of one block, since a crashed host fails many calls at once.
constexpr double maxBlockLogRatio = 4.5;
/// The same cap for a deviation from the baseline, since a stalled host slows many calls at once.
constexpr double maxBaselineLogRatio = 3.0;
/// Prior weights of a regression that begins in the first block, and with a recheck.
constexpr double firstOnsetWeight = 0.35;
constexpr double recheckOnsetWeight = 0.1;
/// Prior weight of a regression that begins in any other block, summed over the expected blocks.
constexpr double laterOnsetWeight = 0.35;
constexpr double baselineOnsetWeight = 0.1;
/// Prior weights of a regression of all calls, of one route, of one data centre, and of one route
/// in one data centre.
constexpr double totalWeight = 0.4;
constexpr double routesWeight = 0.3;
constexpr double dataCentresWeight = 0.2;
constexpr double pairsWeight = 0.1;
/// Blocks from the start of a recheck until the failures, and most slow responses, of both versions
/// arrive in proportion.
constexpr std::size_t recheckFailureBlocks = 2;
constexpr std::size_t recheckLatencyBlocks = 5;
/// Blocks that the evidence of a recheck has to span.
constexpr std::size_t minRecheckBlocks = 2;
/// Blocks after a change of share until every node has applied it and reported.
constexpr std::size_t settlingBlocks = 17;
/// The fraction of its share that defines a traffic deficit, and the log-odds that confirm one.
constexpr double deficitFraction = 0.1;
constexpr double minDeficitLogOdds = 9.2;
/// Blocks for which calls of one version wait for calls of the other.
constexpr int maxPendingBlocks = 15;
constexpr std::size_t recentBlocks = 12;
constexpr double minBaselineCalls = 100;

/// Log likelihood ratio at which a regression would have been detected.
constexpr double clearedLogRatio = -2.0;
/// Log likelihood ratio at which the old version no longer matches its baseline.
constexpr double changedLogRatio = 3.0;
/// Indices in `effectLogOdds` of the effect to exclude in all calls, and in a subset.
constexpr std::size_t totalEffect = 1;
constexpr std::size_t subsetEffect = 2;
constexpr double minStageCalls = 15;
/// Scopes with a smaller fraction of the calls need not be cleared.
constexpr double smallFraction = 0.05;

std::array<JudgementScope, 4> scopesOf(const JudgementScope &cell)
{
    return {JudgementScope{}, JudgementScope{cell.route, {}}, JudgementScope{{}, cell.dataCentre},
            cell};
}

void capRatios(KindRatios &ratios, double maxRatio)
{
    for (LogRatios &kind : ratios)
        for (double &ratio : kind)
            ratio = std::min(ratio, maxRatio);
}

void addRatios(KindRatios &sum, const KindRatios &more)
{
    for (std::size_t kind = 0; kind < sum.size(); ++kind)
        for (std::size_t i = 0; i < sum[kind].size(); ++i)
            sum[kind][i] += more[kind][i];
}

bool hasBothVersions(const VersionSums &sums)
{
    return sums.newer.calls > 0 && sums.older.calls >= std::min<std::uint64_t>(sums.newer.calls, 2);
}

// Returns the rate of a subset, shrunk towards the rate of all calls when the subset is small.
double baselineRate(const OutcomeSums &subset, const OutcomeSums &total, std::size_t kind)
{
    constexpr double priorCalls = 100;
    const auto [events, calls] = toleratedEvents(subset, kind);
    const auto [allEvents, allCalls] = toleratedEvents(total, kind);
    return (events + priorCalls * upperConfidenceBound(allEvents, allCalls)) / (calls + priorCalls);
}

LogRatios logRatiosToBaseline(const OutcomeSums &concurrentRatios, const OutcomeSums &baseline,
                              const OutcomeSums &total, std::size_t kind)
{
    if (isLatencyEvent(kind))
        return compareLatenciesWithBaseline(concurrentRatios,
                                            LatencyProfile(baseline, toleratedSlowdown(kind)));
    const ComparedCalls compared = countEvents({concurrentRatios, {}}, kind);
    return compareWithRate(compared.newEvents, compared.newNonEvents,
                           baselineRate(baseline, total, kind));
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

std::string renderPercent(double fraction)
{
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.1f %%", fraction * 100.0);
    return text.data();
}

Judgement::Judgement(JudgementSettings settings)
    : settings_(settings), minBlocks_(settings.minBlocks)
{ }

void Judgement::add(bool isNew, const RouteId &route, const DataCentreId &dataCentre,
                    const OutcomeSums &sums)
{
    detail::JudgementCell &cell = cells_[{route, dataCentre}];
    (isNew ? cell.pending.newer : cell.pending.older).add(sums);
    (isNew ? cell.stage.newer : cell.stage.older).add(sums);
    (isNew ? stage_.newer : stage_.older).add(sums);
    newCalls_ += isNew ? sums.calls : 0;
}

void Judgement::mergeBaseline(const OutcomeBatch &baseline)
{
    for (const auto &[key, sums] : baseline) {
        detail::JudgementCell &cell = cells_[{key.route, key.dataCentre}];
        if (cell.baseline.calls < sums.calls)
            cell.baseline = sums;
    }
    totalBaseline_ = {};
    for (const auto &[scope, cell] : cells_)
        totalBaseline_.add(cell.baseline);
}

double Judgement::kindWeight(std::size_t kind) const
{
    const bool isLegacy = settings_.rules == JudgementRules::Legacy;
    if (kind == detail::failureEvent)
        return 0.6;
    if (kind == detail::shedEvent)
        return 0.05;
    if (detail::isLatencyEvent(kind))
        return isLegacy ? 0.0 : 0.35;
    return isLegacy ? 0.35 / (latencyBuckets - 1) : 0.0;
}

double Judgement::testWeight(const detail::JudgementScope &scope, std::size_t kind) const
{
    const bool isLocal = !scope.dataCentre.empty();
    const std::size_t unusedKind = isLocal ? detail::latencyEvent : detail::localLatencyEvent;
    return kind == unusedKind ? 0.0 : scopeWeight(scope) * kindWeight(kind);
}

// The weights of all scopes sum to 1 in each block, however many scopes there are.
double Judgement::scopeWeight(const detail::JudgementScope &scope) const
{
    const auto each = [](double weight, std::size_t members) {
        return weight / static_cast<double>(std::max<std::size_t>(1, members));
    };
    if (scope.route.empty() && scope.dataCentre.empty())
        return detail::totalWeight;
    if (scope.dataCentre.empty())
        return each(detail::routesWeight, routeCount_);
    if (scope.route.empty())
        return each(detail::dataCentresWeight, dataCentreCount_);
    return each(detail::pairsWeight, pairCount_);
}

void Judgement::startRecentBlock()
{
    for (const auto &[scope, cell] : cells_)
        for (const detail::JudgementScope &wider : detail::scopesOf(scope))
            tests_.try_emplace(wider);
    const auto count = [&](bool hasRoute, bool hasDataCentre) {
        return static_cast<std::size_t>(
                std::count_if(tests_.begin(), tests_.end(), [&](const auto &entry) {
                    return entry.first.route.empty() != hasRoute
                            && entry.first.dataCentre.empty() != hasDataCentre;
                }));
    };
    routeCount_ = count(true, false);
    dataCentreCount_ = count(false, true);
    pairCount_ = count(true, true);
    for (auto &[scope, scopeTests] : tests_) {
        scopeTests.recent.emplace_back();
        if (scopeTests.recent.size() > detail::recentBlocks)
            scopeTests.recent.erase(scopeTests.recent.begin());
    }
}

void Judgement::addToRecent(const detail::JudgementScope &scope, const detail::VersionSums &sums)
{
    for (const detail::JudgementScope &wider : detail::scopesOf(scope)) {
        detail::VersionSums &recent = tests_.at(wider).recent.back();
        recent.newer.add(sums.newer);
        recent.older.add(sums.older);
    }
}

const OutcomeSums &Judgement::baselineFor(const detail::JudgementCell &cell,
                                          const OutcomeSums &routeBaseline) const
{
    if (static_cast<double>(cell.baseline.calls) >= detail::minBaselineCalls)
        return cell.baseline;
    return static_cast<double>(routeBaseline.calls) >= detail::minBaselineCalls ? routeBaseline
                                                                                : totalBaseline_;
}

detail::KindRatios Judgement::compare(const detail::JudgementCell &cell,
                                      const OutcomeSums &baseline) const
{
    detail::KindRatios ratios{};
    for (std::size_t kind = 0; kind < detail::eventKindCount; ++kind) {
        if (kindWeight(kind) <= 0 || !detail::isWorthTesting(baseline, kind))
            continue;
        if (detail::isLatencyEvent(kind))
            ratios[kind]
                    = compareLatencies(cell.pending.newer, cell.pending.older,
                                       LatencyProfile(baseline, detail::toleratedSlowdown(kind)));
        else
            ratios[kind]
                    = compareCalls(detail::countEvents(cell.pending, kind),
                                   detail::toleranceOf(kind), detail::expectedRate(baseline, kind));
    }
    detail::capRatios(ratios, detail::maxBlockLogRatio);
    return ratios;
}

detail::KindRatios Judgement::compareWithBaseline(const detail::JudgementCell &cell,
                                                  const OutcomeSums &baseline) const
{
    detail::KindRatios ratios{};
    for (std::size_t kind = 0; kind < detail::eventKindCount; ++kind)
        if (kindWeight(kind) > 0 && detail::isWorthTesting(baseline, kind))
            ratios[kind] = detail::logRatiosToBaseline(cell.pending.newer, baseline, totalBaseline_,
                                                       kind);
    detail::capRatios(ratios, detail::maxBaselineLogRatio);
    return ratios;
}

void Judgement::closeBlock(PerMille share)
{
    const bool isFullShare = share == fullShare;
    if (isFullShare)
        minBlocks_ = settings_.minBlocks;
    blocks_ += 1;
    stageBlocks_ += 1;
    startRecentBlock();
    detail::ScopeRatios concurrent;
    detail::ScopeRatios baseline;
    std::map<RouteId, OutcomeSums> routeBaselines;
    for (const auto &[scope, cell] : cells_)
        routeBaselines[scope.route].add(cell.baseline);
    for (auto &[scope, cell] : cells_) {
        const bool hasBoth = detail::hasBothVersions(cell.pending);
        cell.pendingBlocks += 1;
        if (!hasBoth && !isFullShare && cell.pendingBlocks < detail::maxPendingBlocks)
            continue;
        if (!hasBoth && !isFullShare) {
            pooledCell_.pending.newer.add(cell.pending.newer);
            pooledCell_.pending.older.add(cell.pending.older);
        }
        addToRecent(scope, cell.pending);
        const OutcomeSums reference = baselineFor(cell, routeBaselines[scope.route]);
        // At full share, old calls are late ones or come from nodes whose breaker tripped, which is
        // a biased sample.
        const bool isUnbiased
                = hasBoth && (!isFullShare || settings_.rules == JudgementRules::Legacy);
        const detail::KindRatios concurrentRatios
                = isUnbiased ? compare(cell, reference) : detail::KindRatios{};
        const detail::KindRatios baselineRatios
                = isFullShare ? compareWithBaseline(cell, reference) : detail::KindRatios{};
        for (const detail::JudgementScope &wider : detail::scopesOf(scope)) {
            detail::addRatios(concurrent[wider], concurrentRatios);
            detail::addRatios(baseline[wider], baselineRatios);
        }
        cell.baseline.add(cell.pending.older);
        totalBaseline_.add(cell.pending.older);
        cell.pending = {};
        cell.pendingBlocks = 0;
    }
    closePooledCell(concurrent);
    addToTests(concurrent, baseline);
    if (odds() < detail::goodOdds)
        lastGoodBlock_ = blocks_;
    if (totalOdds(&detail::JudgementTests::againstBaseline) < detail::goodOdds)
        lastMatchingBlock_ = blocks_;
    testTrafficDeficit(share);
    skippedFailureBlocks_ -= std::min<std::size_t>(1, skippedFailureBlocks_);
    if (skippedLatencyBlocks_ == 1)
        resetStageSums();
    skippedLatencyBlocks_ -= std::min<std::size_t>(1, skippedLatencyBlocks_);
}

// With little traffic, few cells get calls of both versions in time, but all of them together do.
void Judgement::closePooledCell(detail::ScopeRatios &concurrent)
{
    if (!detail::hasBothVersions(pooledCell_.pending))
        return;
    detail::addRatios(concurrent[{}], compare(pooledCell_, totalBaseline_));
    pooledCell_.pending = {};
}

void Judgement::startRecheck()
{
    expectsOnset_ = true;
    // The deviation that led to the recheck has lasted for some blocks already.
    minBlocks_ = std::min(minBlocks_, detail::minRecheckBlocks);
    skippedFailureBlocks_ = detail::recheckFailureBlocks;
    skippedLatencyBlocks_ = detail::recheckLatencyBlocks;
}

void Judgement::useStageAsBaseline()
{
    totalBaseline_ = {};
    for (auto &[scope, cell] : cells_) {
        if (static_cast<double>(cell.stage.older.calls) >= detail::minBaselineCalls)
            cell.baseline = cell.stage.older;
        totalBaseline_.add(cell.baseline);
    }
}

void Judgement::clearSkippedKinds(detail::KindRatios &ratios) const
{
    for (std::size_t kind = 0; kind < detail::eventKindCount; ++kind) {
        const bool isSlow = kind >= detail::latencyEvent;
        if ((isSlow ? skippedLatencyBlocks_ : skippedFailureBlocks_) > 0)
            ratios[kind] = {};
    }
}

double Judgement::allocateOnsetWeight()
{
    double weight = detail::laterOnsetWeight / settings_.expectedBlocks;
    if (blocks_ == 1)
        weight = detail::firstOnsetWeight;
    else if (expectsOnset_)
        weight = detail::recheckOnsetWeight;
    expectsOnset_ = false;
    weight = std::min(weight, 1.0 - allocatedWeight_);
    allocatedWeight_ += weight;
    return weight;
}

void Judgement::addToTests(const detail::ScopeRatios &concurrent,
                           const detail::ScopeRatios &baseline)
{
    const double onset = allocateOnsetWeight();
    const bool isLegacy = settings_.rules == JudgementRules::Legacy;
    for (auto &[scope, scopeTests] : tests_) {
        const auto found = concurrent.find(scope);
        detail::KindRatios concurrentRatios
                = found == concurrent.end() ? detail::KindRatios{} : found->second;
        detail::KindRatios baselineRatios
                = baseline.contains(scope) ? baseline.at(scope) : detail::KindRatios{};
        if (isLegacy)
            detail::addRatios(concurrentRatios, baselineRatios);
        clearSkippedKinds(concurrentRatios);
        detail::capRatios(concurrentRatios, detail::maxBlockLogRatio);
        detail::capRatios(baselineRatios, detail::maxBaselineLogRatio);
        for (std::size_t kind = 0; kind < detail::eventKindCount; ++kind) {
            const double weight = testWeight(scope, kind);
            scopeTests.concurrent[kind].add(concurrentRatios[kind], weight * onset);
            scopeTests.againstBaseline[kind].add(baselineRatios[kind],
                                                 weight * detail::baselineOnsetWeight);
        }
    }
}

double Judgement::odds() const
{
    return totalOdds(&detail::JudgementTests::concurrent) + (1.0 - allocatedWeight_);
}

double Judgement::totalOdds(detail::KindTests detail::JudgementTests::*tests) const
{
    double sum = 0;
    for (const auto &[scope, scopeTests] : tests_)
        for (const SequentialTest &test : scopeTests.*tests)
            sum += test.value();
    return sum;
}

Finding Judgement::strongestFinding(detail::KindTests detail::JudgementTests::*tests) const
{
    Finding finding;
    const bool isBaseline = tests == &detail::JudgementTests::againstBaseline;
    for (const auto &[scope, scopeTests] : tests_) {
        for (std::size_t kind = 0; kind < detail::eventKindCount; ++kind) {
            const double odds = (scopeTests.*tests)[kind].value();
            if (odds <= finding.odds)
                continue;
            detail::VersionSums sums;
            for (const detail::VersionSums &block : scopeTests.recent) {
                sums.newer.add(block.newer);
                sums.older.add(block.older);
            }
            if (isBaseline)
                sums.older = totalBaseline_;
            finding = {odds,
                       detail::scopeText(scope) + ", "
                               + detail::describeEvents(sums, kind,
                                                        isBaseline ? "before" : "at that time")};
        }
    }
    return finding;
}

std::optional<Finding> Judgement::finding() const
{
    const double total = odds();
    if (total < 1.0 / settings_.falseAlarmProbability || blocks_ < lastGoodBlock_ + minBlocks_)
        return std::nullopt;
    Finding finding = strongestFinding(&detail::JudgementTests::concurrent);
    finding.odds = total;
    return finding;
}

std::optional<Finding> Judgement::baselineFinding(double minOdds, std::size_t minBlocks) const
{
    const double total = totalOdds(&detail::JudgementTests::againstBaseline);
    if (total < minOdds || blocks_ < lastMatchingBlock_ + minBlocks)
        return std::nullopt;
    Finding finding = strongestFinding(&detail::JudgementTests::againstBaseline);
    finding.odds = total;
    return finding;
}

// Compares with the known baseline rate: with an unknown common rate, the lack of a regression in
// the calls is weak evidence.
bool Judgement::isCleared(const detail::JudgementScope &scope, const OutcomeSums &baseline,
                          const OutcomeSums &stage) const
{
    const bool isWhole = scope.route.empty() && scope.dataCentre.empty();
    const std::size_t effect = isWhole ? detail::totalEffect : detail::subsetEffect;
    const std::size_t slow
            = scope.dataCentre.empty() ? detail::latencyEvent : detail::localLatencyEvent;
    for (const std::size_t kind : {detail::failureEvent, slow}) {
        if (detail::isWorthTesting(baseline, kind)
            && detail::logRatiosToBaseline(stage, baseline, totalBaseline_, kind)[effect]
                    > detail::clearedLogRatio)
            return false;
    }
    return true;
}

bool Judgement::isCleared() const
{
    if (detail::answeredCalls(stage_.newer) < detail::minStageCalls)
        return false;
    std::map<detail::JudgementScope, std::pair<OutcomeSums, OutcomeSums>> sums;
    for (const auto &[scope, cell] : cells_) {
        for (const detail::JudgementScope &wider : detail::scopesOf(scope)) {
            sums[wider].first.add(cell.baseline);
            sums[wider].second.add(cell.stage.newer);
        }
    }
    const double all = static_cast<double>(totalBaseline_.calls);
    return std::all_of(sums.begin(), sums.end(), [&](const auto &entry) {
        const auto &[scope, baselineAndStage] = entry;
        const bool isPair = !scope.route.empty() && !scope.dataCentre.empty();
        const bool isSmall
                = static_cast<double>(baselineAndStage.first.calls) < detail::smallFraction * all;
        return isPair || isSmall
                || isCleared(scope, baselineAndStage.first, baselineAndStage.second);
    });
}

// A sequential test of "a tenth of its share" over "its share" whose log-odds are never below 0.
void Judgement::testTrafficDeficit(PerMille share)
{
    if (stageBlocks_ < detail::settlingBlocks)
        return;
    const double shareFraction
            = static_cast<double>(share.value()) / static_cast<double>(fullShare.value());
    for (auto &[scope, scopeTests] : tests_) {
        if (!scope.route.empty())
            continue;
        const detail::VersionSums &block = scopeTests.recent.back();
        const auto newCalls = static_cast<double>(block.newer.calls);
        const double expected = shareFraction * (newCalls + static_cast<double>(block.older.calls));
        scopeTests.deficitLogOdds
                = std::max(0.0,
                           scopeTests.deficitLogOdds + (1.0 - detail::deficitFraction) * expected
                                   + newCalls * std::log(detail::deficitFraction));
    }
}

bool Judgement::hasTrafficDeficit() const
{
    return std::any_of(tests_.begin(), tests_.end(), [](const auto &entry) {
        return entry.second.deficitLogOdds >= detail::minDeficitLogOdds;
    });
}

bool Judgement::isOldVersionUnchanged() const
{
    using Kinds = std::array<LogRatios, 2>;
    constexpr std::array kinds = {detail::failureEvent, detail::latencyEvent};
    std::map<detail::JudgementScope, Kinds> ratios;
    for (const auto &[scope, cell] : cells_) {
        for (std::size_t kind = 0; kind < kinds.size(); ++kind) {
            if (!detail::isWorthTesting(cell.baselineBeforeStage, kinds[kind]))
                continue;
            const LogRatios cellRatios = detail::logRatiosToBaseline(
                    cell.stage.older, cell.baselineBeforeStage, totalBaseline_, kinds[kind]);
            for (const detail::JudgementScope &wider : detail::scopesOf(scope))
                for (std::size_t i = 0; i < cellRatios.size(); ++i)
                    ratios[wider][kind][i] += cellRatios[i];
        }
    }
    return std::all_of(ratios.begin(), ratios.end(), [](const auto &entry) {
        return std::all_of(entry.second.begin(), entry.second.end(), [](const LogRatios &kind) {
            return kind[detail::totalEffect] <= detail::changedLogRatio;
        });
    });
}

void Judgement::resetStageSums()
{
    stage_ = {};
    for (auto &[scope, cell] : cells_)
        cell.stage = {};
}

void Judgement::startStage()
{
    resetStageSums();
    stageBlocks_ = 0;
    for (auto &[scope, cell] : cells_)
        cell.baselineBeforeStage = cell.baseline;
    for (auto &[scope, scopeTests] : tests_) {
        scopeTests.againstBaseline = {};
        scopeTests.deficitLogOdds = 0;
    }
}

OutcomeBatch Judgement::baseline(const ServiceId &service, const VersionId &oldVersion) const
{
    OutcomeBatch batch;
    for (const auto &[scope, cell] : cells_)
        if (cell.baseline.calls > 0)
            batch[{service, oldVersion, scope.route, scope.dataCentre}] = cell.baseline;
    return batch;
}

} // namespace cornelhead
