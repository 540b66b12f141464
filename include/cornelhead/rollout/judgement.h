// Judges one new version by what callers got, against the old version.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "cornelhead/rollout/outcome.h"
#include "cornelhead/rollout/sequential-test.h"

namespace cornelhead {

struct JudgementSettings
{
    /// The probability that a good version is ever taken back.
    double falseAlarms = 0.004;
    /// Blocks in which badness may begin; more of them make each one cost more evidence.
    double expectedBlocks = 200;
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

/// Failures, shed calls, and answers slower than each latency bound.
constexpr std::size_t failureEvent = 0;
constexpr std::size_t shedEvent = 1;
constexpr std::size_t firstLatencyEvent = 2;
constexpr std::size_t eventKinds = firstLatencyEvent + latencyBuckets - 1;

/// Names the calls that a test is about; an empty name stands for all.
struct Scope
{
    RouteId route;
    DataCentreId dataCentre;

    friend auto operator<=>(const Scope &, const Scope &) = default;
};

/// Sums of both versions in one scope.
struct VersionSums
{
    OutcomeSums newer;
    OutcomeSums older;
};

using KindRatios = std::array<LogRatios, eventKinds>;
using ScopeRatios = std::map<Scope, KindRatios>;

/// The calls of one route and data centre.
struct Cell
{
    VersionSums pending;
    /// Blocks that `pending` has waited for calls of both versions.
    int pendingBlocks = 0;
    /// The old version so far.
    OutcomeSums past;
};

/// The tests of one scope.
struct ScopeTests
{
    double weight = 0;
    std::array<SequentialTest, eventKinds> kinds;
    /// The latest calls, for the text of a finding.
    std::vector<VersionSums> recent;
};

} // namespace detail

/// Gathers outcomes in blocks of time and tests every route and data centre, and their unions.
///
/// Invariant: while the new version is within the tolerance, `finding` ever returns something with
/// probability at most `falseAlarms`.
class Judgement
{
public:
    explicit Judgement(JudgementSettings settings);

    /// Adds outcomes of the new or the old version to the open block.
    void add(bool isNew, const RouteId &route, const DataCentreId &dataCentre,
             const OutcomeSums &sums);
    /// Takes the old version's recorded past, for when nothing of it was seen here.
    void recallPast(const OutcomeBatch &past);
    /// Ends the block.  With `againstPast`, the new version is also compared with the past.
    void closeBlock(bool againstPast);

    /// Returns the strongest evidence once it is enough to take the version back.
    std::optional<Finding> finding() const;
    /// Returns the odds against the new version so far; about 1 when nothing speaks against it.
    double odds() const;
    /// Tells whether moderate badness at all calls would have shown since the last `startStage`.
    bool isCleared() const;
    /// Starts to gather anew for `isCleared`.
    void startStage();
    /// Returns the old version's sums by route and data centre.
    OutcomeBatch past(const ServiceId &service, const VersionId &oldVersion) const;
    /// Returns both versions' sums since the last `startStage`.
    const detail::VersionSums &stage() const { return stage_; }

private:
    detail::ScopeTests &tests(const detail::Scope &scope);
    void compare(const detail::Scope &scope, detail::Cell &cell, detail::ScopeRatios &sums);
    void compareWithPast(const detail::Scope &scope, detail::Cell &cell, detail::ScopeRatios &sums);
    const OutcomeSums &pastFor(const detail::Scope &scope) const;
    void openRecent();
    void noteRecent(const detail::Scope &scope, const detail::VersionSums &sums);
    void addToTests(const detail::ScopeRatios &sums);
    std::string describe(const detail::Scope &scope, std::size_t kind) const;

    JudgementSettings settings_;
    std::map<detail::Scope, detail::Cell> cells_;
    std::map<detail::Scope, detail::ScopeTests> tests_;
    OutcomeSums wholePast_;
    detail::VersionSums stage_;
    /// Evidence for moderate badness since the stage began, as a logarithm.
    LogRatios stageRatios_{};
    std::size_t blocks_ = 0;
    /// The last block was compared with the past.
    bool isAgainstPast_ = false;
    std::size_t routes_ = 0;
    std::size_t dataCentres_ = 0;
    std::size_t pairs_ = 0;
};

/// Renders a share as "5.0 %".
std::string renderPercent(double part);

} // namespace cornelhead
