// Judges the new version of a move by its call outcomes, compared with the old version.
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

/// The rules of a judgement.  The legacy rules are kept for measurements.
enum class JudgementRules {
    Legacy, ///< Tests each latency bound; at full share, a deviation from the baseline suffices.
    Current, ///< Tests whole histograms; a deviation from the baseline leads to a comparison.
};

struct JudgementSettings
{
    /// Upper bound on the probability that a good version is ever rolled back.
    double falseAlarmProbability = 0.004;
    /// Number of blocks in which a regression may begin.  A higher number lowers the prior weight
    /// of each block, so that more evidence is needed.
    double expectedBlocks = 200;
    /// Blocks that the evidence has to span, so that one crash or stall cannot cause a rollback.
    std::size_t minBlocks = 5;
    JudgementRules rules = JudgementRules::Current;
};

/// Evidence against the new version.
struct Finding
{
    /// The odds against the version being good, to 1.
    double odds = 0;
    /// The kind of event, its route and data centre, and the counts of both versions.
    std::string text;
};

namespace detail {

/// Selects the calls of a test; an empty id matches all.
struct JudgementScope
{
    RouteId route;
    DataCentreId dataCentre;

    friend auto operator<=>(const JudgementScope &, const JudgementScope &) = default;
};

/// Log likelihood ratios and tests by kind of event, such as `failureEvent`.
using KindRatios = std::array<LogRatios, eventKindCount>;
using KindTests = std::array<SequentialTest, eventKindCount>;
using ScopeRatios = std::map<JudgementScope, KindRatios>;

/// The calls of one route and data centre.
struct JudgementCell
{
    VersionSums pending;
    /// Blocks for which `pending` has lacked calls of one version.
    int pendingBlocks = 0;
    /// All calls of the old version up to the last closed block.
    OutcomeSums baseline;
    /// `baseline` at the last `startStage`, and the calls of both versions since then.
    OutcomeSums baselineBeforeStage;
    VersionSums stage;
};

/// The tests of one scope.
struct JudgementTests
{
    /// Compare with the old version over the same blocks.
    KindTests concurrent;
    /// Compare with the baseline, which is the old version's earlier calls.
    KindTests againstBaseline;
    /// Log-odds that nodes withhold calls from the new version.
    double deficitLogOdds = 0;
    /// Sums of the last `recentBlocks` blocks, for the text of a finding.
    std::vector<VersionSums> recent;
};

} // namespace detail

/// Collects outcomes in blocks of time and tests them by route, by data centre, by pairs of both,
/// and in total.
///
/// A stage begins when the share changes or after a gap in the evidence.
///
/// Invariant: the probability that `finding` ever returns a value while the new version is within
/// the tolerance is at most `falseAlarmProbability`.
class Judgement
{
public:
    explicit Judgement(JudgementSettings settings);

    /// Adds outcomes of the new or the old version to the open block.
    void add(bool isNew, const RouteId &route, const DataCentreId &dataCentre,
             const OutcomeSums &sums);
    /// Uses the recorded baseline for each route and data centre where it has more calls than were
    /// observed here, as after a controller takes over.
    void mergeBaseline(const OutcomeBatch &baseline);
    /// Ends a block in which the new version had `share` of the calls.  At full share, the new
    /// version is compared with the baseline.
    void closeBlock(PerMille share);
    /// Starts the comparison of both versions after a deviation from the baseline.  Gives a
    /// regression from this block on more prior weight while the total lasts, and skips the first
    /// blocks, since fast responses arrive before slow ones that were sent at the same time.
    void startRecheck();
    /// Replaces the baseline by the old version's calls of this stage, since the load has changed.
    void useStageAsBaseline();

    /// Returns the strongest evidence once there is enough for a rollback.
    std::optional<Finding> finding() const;
    /// Returns the odds against the new version being good; about 1 without evidence.
    double odds() const;
    /// Returns the strongest deviation from the baseline once its odds are at least `minOdds` and
    /// it has lasted `minBlocks`.
    ///
    /// A fault that hits both versions deviates from the baseline too, so this is only a reason to
    /// compare both versions again.
    std::optional<Finding> baselineFinding(double minOdds, std::size_t minBlocks) const;
    /// Returns whether a regression would have been detected in the calls of this stage.
    bool isCleared() const;
    /// Returns whether the new version gets far fewer calls than its share, in total or in one data
    /// centre.
    bool hasTrafficDeficit() const;
    JudgementRules rules() const { return settings_.rules; }
    bool hasNewCalls() const { return newCalls_ > 0; }
    /// Returns whether the old version still matched its baseline in this stage.
    bool isOldVersionUnchanged() const;
    /// Starts a stage, which resets `isCleared`, `isOldVersionUnchanged`, `baselineFinding` and
    /// `hasTrafficDeficit`.
    void startStage();
    /// Returns the baseline by route and data centre.
    OutcomeBatch baseline(const ServiceId &service, const VersionId &oldVersion) const;
    /// Returns the sums of both versions in this stage, after the skipped blocks of a recheck.
    const detail::VersionSums &stage() const { return stage_; }

private:
    double kindWeight(std::size_t kind) const;
    double testWeight(const detail::JudgementScope &scope, std::size_t kind) const;
    double scopeWeight(const detail::JudgementScope &scope) const;
    void startRecentBlock();
    void addToRecent(const detail::JudgementScope &scope, const detail::VersionSums &sums);
    void closePooledCell(detail::ScopeRatios &concurrent);
    /// Returns the baseline of the cell, or with too few calls that of its route or of all calls.
    const OutcomeSums &baselineFor(const detail::JudgementCell &cell,
                                   const OutcomeSums &routeBaseline) const;
    detail::KindRatios compare(const detail::JudgementCell &cell,
                               const OutcomeSums &baseline) const;
    detail::KindRatios compareWithBaseline(const detail::JudgementCell &cell,
                                           const OutcomeSums &baseline) const;
    void resetStageSums();
    void testTrafficDeficit(PerMille share);
    void clearSkippedKinds(detail::KindRatios &ratios) const;
    double allocateOnsetWeight();
    void addToTests(const detail::ScopeRatios &concurrent, const detail::ScopeRatios &baseline);
    bool isCleared(const detail::JudgementScope &scope, const OutcomeSums &baseline,
                   const OutcomeSums &stage) const;
    double totalOdds(detail::KindTests detail::JudgementTests::*tests) const;
    Finding strongestFinding(detail::KindTests detail::JudgementTests::*tests) const;

    JudgementSettings settings_;
    std::map<detail::JudgementScope, detail::JudgementCell> cells_;
    std::map<detail::JudgementScope, detail::JudgementTests> tests_;
    /// Calls of any route and data centre that exceeded `maxPendingBlocks` in their cells.
    detail::JudgementCell pooledCell_;
    OutcomeSums totalBaseline_;
    detail::VersionSums stage_;
    std::uint64_t newCalls_ = 0;
    std::size_t blocks_ = 0;
    std::size_t stageBlocks_ = 0;
    /// The last block that ended with negligible odds against the new version.
    std::size_t lastGoodBlock_ = 0;
    /// Blocks that the evidence has to span at present; lower during a recheck.
    std::size_t minBlocks_ = 0;
    /// The last block that ended without a deviation from the baseline.
    std::size_t lastMatchingBlock_ = 0;
    bool expectsOnset_ = false;
    /// Blocks for which failures and latencies are still left out of the comparison.
    std::size_t skippedFailureBlocks_ = 0;
    std::size_t skippedLatencyBlocks_ = 0;
    /// Prior weight allocated to onsets so far; never above 1.
    double allocatedWeight_ = 0;
    std::size_t routeCount_ = 0;
    std::size_t dataCentreCount_ = 0;
    std::size_t pairCount_ = 0;
};

/// Renders a fraction as a percentage, such as "5.0 %".
std::string renderPercent(double fraction);

} // namespace cornelhead
