// Compares the latencies of two versions over the same block, bucket by bucket.
//
// Like `compareCalls`, for many buckets at once: the ratio has a mean of at most 1 while the new
// version's answers take no longer than the old one's times the tolerated factor, however slow both
// are in that block.
#pragma once

#include <array>

#include "cornelhead/rollout/outcome.h"
#include "cornelhead/rollout/sequential-test.h"

namespace cornelhead {

/// Counts or probabilities by latency bucket.
using LatencyDistribution = std::array<double, latencyBuckets>;

/// What the old version's latencies look like, with the tolerance counted in.
class LatencyProfile
{
public:
    /// Counts answers slower by `toleratedSlowdown` as good.
    LatencyProfile(const OutcomeSums &baseline, double toleratedSlowdown);

    /// Returns the probabilities of buckets when every answer takes `2^shift` times as long.
    LatencyDistribution slowedBy(double shift) const;

    /// Returns the tolerated slowdown in doublings, from 0 to 1.
    double toleratedShift() const { return toleratedShift_; }

private:
    double toleratedShift_ = 0;
    LatencyDistribution tolerated_{};
};

/// Returns the likelihood ratios of a block.  `profile` is a guess from earlier blocks; a wrong one
/// costs power, not safety.
LogRatios compareLatencies(const OutcomeSums &newer, const OutcomeSums &older,
                           const LatencyProfile &profile);
/// Returns the ratios of the new version's latencies against a known profile.
LogRatios compareLatenciesWithBaseline(const OutcomeSums &newer, const LatencyProfile &profile);

} // namespace cornelhead
