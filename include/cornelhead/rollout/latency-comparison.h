// Compares the latency histograms of two versions over the same block.
//
// Extends `compareCalls` to many buckets: the likelihood ratio has a mean of at most 1 while the
// new version is slower than the old one by at most the tolerated factor, however slow both are in
// that block.
#pragma once

#include <array>

#include "cornelhead/rollout/outcome.h"
#include "cornelhead/rollout/sequential-test.h"

namespace cornelhead {

/// A probability, or a ratio of probabilities, for each latency bucket.
using LatencyDistribution = std::array<double, latencyBuckets>;

/// The latency distribution of the old version, shifted by the tolerated slowdown.
class LatencyProfile
{
public:
    /// Estimates the distribution from `baseline`; `toleratedSlowdown` is a factor from 1 to 2.
    LatencyProfile(const OutcomeSums &baseline, double toleratedSlowdown);

    /// Returns the distribution when every response takes `2^shift` times as long.
    LatencyDistribution slowedBy(double shift) const;

    /// Returns the binary logarithm of the tolerated slowdown, from 0 to 1.
    double toleratedShift() const { return toleratedShift_; }

private:
    double toleratedShift_ = 0;
    LatencyDistribution tolerated_{};
};

/// Returns the log likelihood ratios of a block.  `profile` is estimated from earlier blocks; a
/// wrong estimate lowers the power of the test but does not raise the rate of false alarms.
LogRatios compareLatencies(const OutcomeSums &newer, const OutcomeSums &older,
                           const LatencyProfile &profile);
/// Returns the log likelihood ratios of the new version's latencies against a known profile.
LogRatios compareLatenciesWithBaseline(const OutcomeSums &newer, const LatencyProfile &profile);

} // namespace cornelhead
