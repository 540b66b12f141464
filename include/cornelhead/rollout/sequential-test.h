// Sequential comparison of two versions whose false alarms are bounded however often one looks.
//
// A block holds the calls of both versions over the same stretch of time.  Its likelihood ratio has
// a mean of at most 1 while the new version is no worse than the old one by more than a tolerance,
// whatever the common rate is.  A product of such ratios reaches 1/a with probability a at most
// (Ville's inequality), so one may stop at any time.  The rate may change from block to block, as
// when a fault hits both versions.
#pragma once

#include <array>
#include <cstddef>

namespace cornelhead {

/// Calls of one block, split by whether the event (a failure, a slow answer) happened.
struct ComparedCalls
{
    double newEvents = 0;
    double newNonEvents = 0;
    double oldEvents = 0;
    /// Old calls that would be events if the old version were slower by the tolerated factor.
    double oldBorderline = 0;
    double oldNonEvents = 0;
};

/// How much worse the new version may be and still count as good.
struct Tolerance
{
    /// Added to the old version's rate of events.
    double extraRate = 0;
    /// The part of `oldBorderline` that counts as events.
    double borderlineWeight = 0;
};

/// Sizes of the effects that are tested for, as added log-odds.
constexpr std::array effectLogOdds = {0.7, 1.5, 2.5, 4.0};
/// Natural logarithms of one likelihood ratio for each effect.
using LogRatios = std::array<double, effectLogOdds.size()>;

/// Returns the likelihood ratios of a block, "worse by the effect" over "within the tolerance".
///
/// `expectedOldRate` is a guess from earlier blocks; a wrong guess costs power, not safety.
LogRatios compareCalls(const ComparedCalls &calls, const Tolerance &tolerance,
                       double expectedOldRate);
/// Returns the ratios of new calls against a rate that is known from the baseline.
LogRatios compareWithRate(double newEvents, double newNonEvents, double knownRate);
/// Returns the rate that is above the true one with high probability, from `events` of `calls`.
double upperConfidenceBound(double events, double calls);

/// Evidence that the new version is worse since some moment, averaged over moments and effects.
///
/// Invariant: the mean of `value` is at most the sum of the weights given while the new version is
/// within the tolerance.  Tests whose weights sum to 1 in all may be added up.
class SequentialTest
{
public:
    /// Takes the ratios of one block; `onsetWeight` is the prior weight of an onset at this block.
    void add(const LogRatios &ratios, double onsetWeight);
    /// Returns the odds against the new version being good, times the weights given.
    double value() const;

private:
    std::array<double, effectLogOdds.size()> running_{};
};

} // namespace cornelhead
