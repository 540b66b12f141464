// Judges one new version by what callers got, against the old version.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "cornelhead/rollout/move.h"
#include "cornelhead/rollout/outcome-events.h"
#include "cornelhead/rollout/outcome.h"
#include "cornelhead/rollout/sequential-test.h"

namespace cornelhead {

/// Which rules judge; the first ones are kept for comparison.
enum class JudgementRules {
    Legacy, ///< Latencies bound by bound; at full share, the baseline alone convicts.
    Current, ///< Latencies as a whole; the baseline raises a baselineFinding that a comparison
             ///< confirms.
};

struct JudgementSettings
{
    /// The probability that a good version is ever taken back.
    double falseAlarmProbability = 0.004;
    /// Blocks in which defect may begin; more of them make each one cost more evidence.
    double expectedBlocks = 200;
    /// Blocks that the evidence has to span, so that one crash or stall decides nothing.
    std::size_t minBlocks = 5;
    JudgementRules rules = JudgementRules::Current;
};

/// Why a version is bad.
struct Finding
{
    /// The odds against the version being good.
    double odds = 0;
    /// What happened where, with the numbers of both versions.
    std::string text;
};

namespace detail {

/// Names the calls that a test is about; an empty name stands for all.
struct JudgementScope
{
    RouteId route;
    DataCentreId dataCentre;

    friend auto operator<=>(const JudgementScope &, const JudgementScope &) = default;
};

using KindRatios = std::array<LogRatios, eventKindCount>;
using KindTests = std::array<SequentialTest, eventKindCount>;
using ScopeRatios = std::map<JudgementScope, KindRatios>;

/// The calls of one route and data centre.
struct JudgementCell
{
    VersionSums pending;
    /// Blocks that `pending` has waited for calls of both versions.
    int pendingBlocks = 0;
    /// The old version so far.
    OutcomeSums baseline;
    /// The old version before the stage, and both versions since.
    OutcomeSums baselineBeforeStage;
    VersionSums stage;
};

/// The tests of one scope.
struct JudgementTests
{
    /// Against the old version over the same time.
    KindTests concurrent;
    /// Against the old version's baseline.
    KindTests againstBaseline;
    /// The logarithm of the odds that nodes keep calls from the new version.
    double deficitLogOdds = 0;
    /// The latest calls, for the text of a finding.
    std::vector<VersionSums> recent;
};

} // namespace detail

/// Gathers outcomes in blocks of time and tests every route and data centre, and their unions.
///
/// Invariant: while the new version is within the tolerance, `finding` ever returns something with
/// probability at most `falseAlarmProbability`.
class Judgement
{
public:
    explicit Judgement(JudgementSettings settings);

    /// Adds outcomes of the new or the old version to the open block.
    void add(bool isNew, const RouteId &route, const DataCentreId &dataCentre,
             const OutcomeSums &sums);
    /// Takes the old version's recorded baseline, for when nothing of it was seen here.
    void mergeBaseline(const OutcomeBatch &baseline);
    /// Ends a block in which the new version had `share` of the calls.  At full share, it is also
    /// compared with the baseline.
    void closeBlock(PerMille share);
    /// Starts the comparison after a baselineFinding: expects defect with more weight, a few times
    /// at most, and skips blocks in which quick answers come in before slow ones of the same time.
    void startRecheck();

    /// Takes the old version since the last `startStage` as its baseline, since the load has
    /// changed.
    void useStageAsBaseline();

    /// Returns the strongest evidence once it is enough to take the version back.
    std::optional<Finding> finding() const;
    /// Returns the odds against the new version so far; about 1 when nothing speaks against it.
    double odds() const;
    /// Returns what differs most from the baseline when the odds of that are at least `minOdds`.
    ///
    /// It has to have lasted `minBlocks`.  A fault of both versions differs from the baseline
    /// too, so this is a reason to compare again.
    std::optional<Finding> baselineFinding(double minOdds, std::size_t minBlocks) const;
    /// Tells whether defect would have shown since the last `startStage`.
    bool isCleared() const;
    /// Tells whether the new version gets far fewer calls than its share promises, in all or in one
    /// data centre.
    bool hasTrafficDeficit() const;
    JudgementRules rules() const { return settings_.rules; }
    /// Tells whether the new version ever answered.
    bool hasNewCalls() const { return newCalls_ > 0; }
    /// Tells whether the old version has been as in its baseline since the last `startStage`.
    bool isOldVersionUnchanged() const;
    /// Starts to gather anew for `isCleared`, `isOldVersionUnchanged` and `baselineFinding`.
    void startStage();
    /// Returns the old version's sums by route and data centre.
    OutcomeBatch baseline(const ServiceId &service, const VersionId &oldVersion) const;
    /// Returns both versions' sums since the last `startStage`.
    const detail::VersionSums &stage() const { return stage_; }

private:
    double kindWeight(std::size_t kind) const;
    double testWeight(const detail::JudgementScope &scope, std::size_t kind) const;
    double scopeWeight(const detail::JudgementScope &scope) const;
    void openRecent();
    void noteRecent(const detail::JudgementScope &scope, const detail::VersionSums &sums);
    void closeRest(detail::ScopeRatios &concurrent);
    /// Returns the baseline to expect in a cell: its own, or that of more calls when it has few.
    const OutcomeSums &baselineFor(const detail::JudgementCell &cell,
                                   const OutcomeSums &routeBaseline) const;
    detail::KindRatios compare(const detail::JudgementCell &cell,
                               const OutcomeSums &baseline) const;
    detail::KindRatios compareWithBaseline(const detail::JudgementCell &cell,
                                           const OutcomeSums &baseline) const;
    void restartSums();
    void testTrafficDeficit(PerMille share);
    void skipKinds(detail::KindRatios &ratios) const;
    double drawOnsetWeight();
    void addToTests(const detail::ScopeRatios &concurrent, const detail::ScopeRatios &baseline);
    bool isCleared(const detail::JudgementScope &scope, const OutcomeSums &baseline,
                   const OutcomeSums &stage) const;
    double sumValues(detail::KindTests detail::JudgementTests::*tests) const;
    Finding strongest(detail::KindTests detail::JudgementTests::*tests) const;

    JudgementSettings settings_;
    std::map<detail::JudgementScope, detail::JudgementCell> cells_;
    std::map<detail::JudgementScope, detail::JudgementTests> tests_;
    /// Calls of any route and data centre that waited too long in their cells.
    detail::JudgementCell rest_;
    OutcomeSums totalBaseline_;
    detail::VersionSums stage_;
    std::uint64_t newCalls_ = 0;
    std::size_t blocks_ = 0;
    std::size_t stageBlocks_ = 0;
    /// The last block after which nothing spoke against the new version.
    std::size_t lastGoodBlock_ = 0;
    /// Blocks that the evidence has to span now.
    std::size_t minBlocks_ = 0;
    /// The same for what differs from the baseline.
    std::size_t lastMatchingBlock_ = 0;
    bool expectsOnset_ = false;
    /// Blocks in which failures, and latencies, are not compared yet.
    std::size_t skippedFailureBlocks_ = 0;
    std::size_t skippedSlowBlocks_ = 0;
    /// Prior weight that was given to tests so far; never above 1.
    double givenWeight_ = 0;
    std::size_t routes_ = 0;
    std::size_t dataCentres_ = 0;
    std::size_t pairs_ = 0;
};

/// Renders a share as "5.0 %".
std::string renderPercent(double part);

} // namespace cornelhead
