// Sequential test of a new version against an old one.  The rate of false alarms is bounded however
// often the result is read.
//
// A block holds the calls of both versions over the same interval.  Its likelihood ratio has a mean
// of at most 1 while the new version is worse than the old one by at most the tolerance, whatever
// rate both have in common.  A product of such ratios reaches 1/a with probability at most a
// (Ville's inequality), so the test may stop at any time.  The common rate may change from block to
// block, as when a fault hits both versions.
#pragma once

#include <array>
#include <cstddef>

namespace cornelhead {

/// Calls of one block, split by whether an event, such as a failure, happened.
struct ComparedCalls
{
    double newEvents = 0;
    double newNonEvents = 0;
    double oldEvents = 0;
    /// Calls of the old version that would be events if it were slower by the tolerated factor.
    double oldBorderline = 0;
    double oldNonEvents = 0;
};

/// How much worse a good version may be.
struct Tolerance
{
    /// Added to the old version's rate of events.
    double extraRate = 0;
    /// The fraction of `oldBorderline` that counts as events.
    double borderlineWeight = 0;
};

/// Effect sizes that are tested for, as added log-odds.
constexpr std::array effectLogOdds = {0.7, 1.5, 2.5, 4.0};
/// The natural logarithm of a likelihood ratio for each effect size.
using LogRatios = std::array<double, effectLogOdds.size()>;

/// Returns the log likelihood ratios of a block: "worse by the effect" over "within the tolerance".
///
/// `expectedOldRate` is estimated from earlier blocks; a wrong estimate lowers the power of the
/// test but does not raise the rate of false alarms.
LogRatios compareCalls(const ComparedCalls &calls, const Tolerance &tolerance,
                       double expectedOldRate);
/// Returns the log likelihood ratios of the new version's calls against a known event rate.
LogRatios compareWithRate(double newEvents, double newNonEvents, double referenceRate);
/// Returns an upper confidence bound, at 3 standard deviations, of the rate of `events` in `calls`.
double upperConfidenceBound(double events, double calls);

/// Evidence that the new version is worse since some block (the onset), averaged over onsets and
/// effect sizes.
///
/// Invariant: while the new version is within the tolerance, the mean of `value` is at most the sum
/// of the onset weights.  The values of tests whose weights sum to at most 1 may be added.
class SequentialTest
{
public:
    /// Adds a block; `onsetWeight` is the prior weight of an onset at this block.
    void add(const LogRatios &ratios, double onsetWeight);
    /// Returns the odds against the new version being good, weighted by the onset weights.
    double value() const;

private:
    std::array<double, effectLogOdds.size()> evidence_{};
};

} // namespace cornelhead
