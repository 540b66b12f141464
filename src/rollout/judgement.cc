// Splits outcomes into blocks and scopes and runs the sequential tests over them.
#include "cornelhead/rollout/judgement.h"

#include <algorithm>
#include <cmath>
#include <cstdio>

#include "cornelhead/rollout/latency-comparison.h"

namespace cornelhead {
namespace detail {
namespace {

/// Odds below which nothing speaks against a version.
constexpr double goodOdds = 3.0;
/// No single block decides alone: a crashed host fails many calls at once.
constexpr double maxBlockLogRatio = 4.5;
/// A host that stalls slows many calls at once.
constexpr double maxBaselineLogRatio = 3.0;
/// The prior weight of defect that is there from the first block, and from each baselineFinding.
constexpr double firstOnsetWeight = 0.35;
constexpr double suspectedOnsetWeight = 0.1;
/// The prior weight of defect that begins in any other block.
constexpr double laterOnsetWeight = 0.35;
constexpr double baselineOnsetWeight = 0.1;
/// Prior weights of defect at all calls, on one route, in one data centre, and on one route in one
/// data centre.
constexpr double allWeight = 0.4;
constexpr double routesWeight = 0.3;
constexpr double dataCentresWeight = 0.2;
constexpr double pairsWeight = 0.1;
/// Blocks that old calls wait for new ones, and the other way round.
/// After a step back, blocks until failures and most slow answers of both versions come in evenly.
constexpr std::size_t recheckFailureBlocks = 2;
constexpr std::size_t recheckSlowBlocks = 5;
/// Blocks that the evidence of a recheck has to span.
constexpr std::size_t minRecheckBlocks = 2;
/// Blocks after a change of share until every node has learned of it and reported.
constexpr std::size_t settledBlocks = 17;
/// The part of its share that a version which nodes braked may still get, and how sure that is.
constexpr double deficitFraction = 0.1;
constexpr double minDeficitLogOdds = 9.2;
constexpr int maxPendingBlocks = 15;
constexpr std::size_t recentBlocks = 12;
constexpr double minBaselineCalls = 100;

/// How sure the judgement is that defect would have shown.
constexpr double clearedRatio = -2.0;
/// How sure it is that the old version is not as before.
constexpr double changedRatio = 3.0;
/// Of the effects tested for, the one that must have shown at all calls, and at a part of them.
constexpr std::size_t wholeEffect = 1;
constexpr std::size_t partEffect = 2;
constexpr double minStageCalls = 15;
/// Scopes with a smaller part of the calls need not be cleared.
constexpr double smallPart = 0.05;

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

// The rate of a part, drawn towards the rate of the whole where the part has few calls.
double baselineRate(const OutcomeSums &part, const OutcomeSums &whole, std::size_t kind)
{
    constexpr double wholeCalls = 100;
    const auto [events, calls] = toleratedEvents(part, kind);
    const auto [allEvents, allCalls] = toleratedEvents(whole, kind);
    return (events + wholeCalls * upperConfidenceBound(allEvents, allCalls)) / (calls + wholeCalls);
}

LogRatios baselineRatios(const OutcomeSums &now, const OutcomeSums &baseline,
                         const OutcomeSums &whole, std::size_t kind)
{
    if (isLatencyEvent(kind))
        return compareLatenciesWithBaseline(now, LatencyProfile(baseline, toleratedSlowdown(kind)));
    const ComparedCalls compared = countEvents({now, {}}, kind);
    return compareWithRate(compared.newEvents, compared.newNonEvents,
                           baselineRate(baseline, whole, kind));
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
    const bool isFirst = settings_.rules == JudgementRules::Legacy;
    if (kind == detail::failureEvent)
        return 0.6;
    if (kind == detail::shedEvent)
        return 0.05;
    if (detail::isLatencyEvent(kind))
        return isFirst ? 0.0 : 0.35;
    return isFirst ? 0.35 / (latencyBuckets - 1) : 0.0;
}

double Judgement::testWeight(const detail::JudgementScope &scope, std::size_t kind) const
{
    const bool isHere = !scope.dataCentre.empty();
    const std::size_t other = isHere ? detail::latencyEvent : detail::localLatencyEvent;
    return kind == other ? 0.0 : scopeWeight(scope) * kindWeight(kind);
}

// The weights of all scopes sum to 1 in each block, however many there are by then.
double Judgement::scopeWeight(const detail::JudgementScope &scope) const
{
    const auto each = [](double weight, std::size_t members) {
        return weight / static_cast<double>(std::max<std::size_t>(1, members));
    };
    if (scope.route.empty() && scope.dataCentre.empty())
        return detail::allWeight;
    if (scope.dataCentre.empty())
        return each(detail::routesWeight, routes_);
    if (scope.route.empty())
        return each(detail::dataCentresWeight, dataCentres_);
    return each(detail::pairsWeight, pairs_);
}

void Judgement::openRecent()
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
    routes_ = count(true, false);
    dataCentres_ = count(false, true);
    pairs_ = count(true, true);
    for (auto &[scope, scopeTests] : tests_) {
        scopeTests.recent.emplace_back();
        if (scopeTests.recent.size() > detail::recentBlocks)
            scopeTests.recent.erase(scopeTests.recent.begin());
    }
}

void Judgement::noteRecent(const detail::JudgementScope &scope, const detail::VersionSums &sums)
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
            ratios[kind]
                    = detail::baselineRatios(cell.pending.newer, baseline, totalBaseline_, kind);
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
    openRecent();
    detail::ScopeRatios concurrent;
    detail::ScopeRatios baseline;
    std::map<RouteId, OutcomeSums> routeBaselines;
    for (const auto &[scope, cell] : cells_)
        routeBaselines[scope.route].add(cell.baseline);
    for (auto &[scope, cell] : cells_) {
        const bool both = detail::hasBoth(cell.pending);
        cell.pendingBlocks += 1;
        if (!both && !isFullShare && cell.pendingBlocks < detail::maxPendingBlocks)
            continue;
        if (!both && !isFullShare) {
            rest_.pending.newer.add(cell.pending.newer);
            rest_.pending.older.add(cell.pending.older);
        }
        noteRecent(scope, cell.pending);
        const OutcomeSums reference = baselineFor(cell, routeBaselines[scope.route]);
        // At full share old calls are stragglers, or come from nodes that braked: no fair sample.
        const bool isFair = both && (!isFullShare || settings_.rules == JudgementRules::Legacy);
        const detail::KindRatios now = isFair ? compare(cell, reference) : detail::KindRatios{};
        const detail::KindRatios before
                = isFullShare ? compareWithBaseline(cell, reference) : detail::KindRatios{};
        for (const detail::JudgementScope &wider : detail::scopesOf(scope)) {
            detail::addRatios(concurrent[wider], now);
            detail::addRatios(baseline[wider], before);
        }
        cell.baseline.add(cell.pending.older);
        totalBaseline_.add(cell.pending.older);
        cell.pending = {};
        cell.pendingBlocks = 0;
    }
    closeRest(concurrent);
    addToTests(concurrent, baseline);
    if (odds() < detail::goodOdds)
        lastGoodBlock_ = blocks_;
    if (sumValues(&detail::JudgementTests::againstBaseline) < detail::goodOdds)
        lastMatchingBlock_ = blocks_;
    testTrafficDeficit(share);
    skippedFailureBlocks_ -= std::min<std::size_t>(1, skippedFailureBlocks_);
    if (skippedSlowBlocks_ == 1)
        restartSums();
    skippedSlowBlocks_ -= std::min<std::size_t>(1, skippedSlowBlocks_);
}

// With little traffic few cells see both versions in time; together they do.
void Judgement::closeRest(detail::ScopeRatios &concurrent)
{
    if (!detail::hasBoth(rest_.pending))
        return;
    detail::addRatios(concurrent[{}], compare(rest_, totalBaseline_));
    rest_.pending = {};
}

void Judgement::startRecheck()
{
    expectsOnset_ = true;
    // What raised the baselineFinding has lasted already.
    minBlocks_ = std::min(minBlocks_, detail::minRecheckBlocks);
    skippedFailureBlocks_ = detail::recheckFailureBlocks;
    skippedSlowBlocks_ = detail::recheckSlowBlocks;
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

void Judgement::skipKinds(detail::KindRatios &ratios) const
{
    for (std::size_t kind = 0; kind < detail::eventKindCount; ++kind) {
        const bool isSlow = kind >= detail::latencyEvent;
        if ((isSlow ? skippedSlowBlocks_ : skippedFailureBlocks_) > 0)
            ratios[kind] = {};
    }
}

double Judgement::drawOnsetWeight()
{
    double weight = detail::laterOnsetWeight / settings_.expectedBlocks;
    if (blocks_ == 1)
        weight = detail::firstOnsetWeight;
    else if (expectsOnset_)
        weight = detail::suspectedOnsetWeight;
    expectsOnset_ = false;
    weight = std::min(weight, 1.0 - givenWeight_);
    givenWeight_ += weight;
    return weight;
}

void Judgement::addToTests(const detail::ScopeRatios &concurrent,
                           const detail::ScopeRatios &baseline)
{
    const double onset = drawOnsetWeight();
    const bool isFirst = settings_.rules == JudgementRules::Legacy;
    for (auto &[scope, scopeTests] : tests_) {
        const auto found = concurrent.find(scope);
        detail::KindRatios now = found == concurrent.end() ? detail::KindRatios{} : found->second;
        detail::KindRatios before
                = baseline.contains(scope) ? baseline.at(scope) : detail::KindRatios{};
        if (isFirst)
            detail::addRatios(now, before);
        skipKinds(now);
        detail::capRatios(now, detail::maxBlockLogRatio);
        detail::capRatios(before, detail::maxBaselineLogRatio);
        for (std::size_t kind = 0; kind < detail::eventKindCount; ++kind) {
            const double weight = testWeight(scope, kind);
            scopeTests.concurrent[kind].add(now[kind], weight * onset);
            scopeTests.againstBaseline[kind].add(before[kind],
                                                 weight * detail::baselineOnsetWeight);
        }
    }
}

double Judgement::odds() const
{
    return sumValues(&detail::JudgementTests::concurrent) + (1.0 - givenWeight_);
}

double Judgement::sumValues(detail::KindTests detail::JudgementTests::*tests) const
{
    double sum = 0;
    for (const auto &[scope, scopeTests] : tests_)
        for (const SequentialTest &test : scopeTests.*tests)
            sum += test.value();
    return sum;
}

Finding Judgement::strongest(detail::KindTests detail::JudgementTests::*tests) const
{
    Finding finding;
    const bool isPast = tests == &detail::JudgementTests::againstBaseline;
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
            if (isPast)
                sums.older = totalBaseline_;
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
    if (total < 1.0 / settings_.falseAlarmProbability || blocks_ < lastGoodBlock_ + minBlocks_)
        return std::nullopt;
    Finding finding = strongest(&detail::JudgementTests::concurrent);
    finding.odds = total;
    return finding;
}

std::optional<Finding> Judgement::baselineFinding(double minOdds, std::size_t minBlocks) const
{
    const double total = sumValues(&detail::JudgementTests::againstBaseline);
    if (total < minOdds || blocks_ < lastMatchingBlock_ + minBlocks)
        return std::nullopt;
    Finding finding = strongest(&detail::JudgementTests::againstBaseline);
    finding.odds = total;
    return finding;
}

// Known-rate ratios: absence of defect tells little when the common rate is left open.
bool Judgement::isCleared(const detail::JudgementScope &scope, const OutcomeSums &baseline,
                          const OutcomeSums &stage) const
{
    const bool isWhole = scope.route.empty() && scope.dataCentre.empty();
    const std::size_t effect = isWhole ? detail::wholeEffect : detail::partEffect;
    const std::size_t slow
            = scope.dataCentre.empty() ? detail::latencyEvent : detail::localLatencyEvent;
    for (const std::size_t kind : {detail::failureEvent, slow}) {
        if (detail::isWorthTesting(baseline, kind)
            && detail::baselineRatios(stage, baseline, totalBaseline_, kind)[effect]
                    > detail::clearedRatio)
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
        const auto &[scope, pastAndStage] = entry;
        const bool isPair = !scope.route.empty() && !scope.dataCentre.empty();
        const bool isSmall
                = static_cast<double>(pastAndStage.first.calls) < detail::smallPart * all;
        return isPair || isSmall || isCleared(scope, pastAndStage.first, pastAndStage.second);
    });
}

// A sequential test of "a tenth of its share" over "its share", which starts anew at 0.
void Judgement::testTrafficDeficit(PerMille share)
{
    if (stageBlocks_ < detail::settledBlocks)
        return;
    const double part = static_cast<double>(share.value()) / static_cast<double>(fullShare.value());
    for (auto &[scope, scopeTests] : tests_) {
        if (!scope.route.empty())
            continue;
        const detail::VersionSums &block = scopeTests.recent.back();
        const auto newCalls = static_cast<double>(block.newer.calls);
        const double expected = part * (newCalls + static_cast<double>(block.older.calls));
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
            const LogRatios cellRatios = detail::baselineRatios(
                    cell.stage.older, cell.baselineBeforeStage, totalBaseline_, kinds[kind]);
            for (const detail::JudgementScope &wider : detail::scopesOf(scope))
                for (std::size_t i = 0; i < cellRatios.size(); ++i)
                    ratios[wider][kind][i] += cellRatios[i];
        }
    }
    return std::all_of(ratios.begin(), ratios.end(), [](const auto &entry) {
        return std::all_of(entry.second.begin(), entry.second.end(), [](const LogRatios &kind) {
            return kind[detail::wholeEffect] <= detail::changedRatio;
        });
    });
}

void Judgement::restartSums()
{
    stage_ = {};
    for (auto &[scope, cell] : cells_)
        cell.stage = {};
}

void Judgement::startStage()
{
    restartSums();
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
