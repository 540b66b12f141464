// Computes log likelihood ratios of latency histograms.
#include "cornelhead/rollout/latency-comparison.h"

#include <algorithm>
#include <cmath>

namespace cornelhead {
namespace detail {
namespace {

/// Fraction of responses that may take any time, as when a host stalls.
constexpr double outlierFraction = 0.02;
constexpr double uniformProbability = 1.0 / latencyBuckets;
/// Added to each bucket of the baseline, so that no bucket has probability 0.
constexpr double smoothing = 0.3;
/// Slowdowns that are tested for, as binary logarithms beyond the tolerance; one for each effect
/// size, the remaining one is 0.
constexpr std::array<double, effectLogOdds.size()> effectShifts = {0.8, 1.6, 2.6};
/// Slowdowns that a block may have in both versions, as binary logarithms, with prior weights.
constexpr std::array commonShifts = {0.0, 1.0, 2.0, 3.5};
constexpr std::array commonWeights = {0.97, 0.01, 0.01, 0.01};

LatencyDistribution shiftDistribution(const LatencyDistribution &probabilities, double shift)
{
    LatencyDistribution shifted{};
    const auto whole = static_cast<std::size_t>(shift);
    const double fraction = shift - static_cast<double>(whole);
    for (std::size_t i = 0; i < latencyBuckets; ++i) {
        const std::size_t low = std::min(i + whole, latencyBuckets - 1);
        const std::size_t high = std::min(low + 1, latencyBuckets - 1);
        shifted[low] += (1.0 - fraction) * probabilities[i];
        shifted[high] += fraction * probabilities[i];
    }
    return shifted;
}

double countTimedCalls(const OutcomeSums &sums)
{
    double total = 0;
    for (const std::uint64_t count : sums.latencies)
        total += static_cast<double>(count);
    return total;
}

// Returns the expected ratio for a response of the old version, were that slower by the tolerance:
// the response stays in its bucket, moves up by one, or is an outlier, each with its probability.
double toleratedRatio(const LatencyDistribution &ratios, std::size_t bucket, double upProbability)
{
    const std::size_t above = std::min(bucket + 1, latencyBuckets - 1);
    double outlierMean = 0;
    for (const double ratio : ratios)
        outlierMean += uniformProbability * ratio;
    return (1.0 - outlierFraction)
            * ((1.0 - upProbability) * ratios[bucket] + upProbability * ratios[above])
            + outlierFraction * outlierMean;
}

// Returns the distribution of a version that is slower than tolerated.  Its ratio to the tolerated
// distribution must not decrease with latency: otherwise responses faster than the profile could
// count as evidence against a version.
LatencyDistribution slowerDistribution(const LatencyProfile &profile, double common, double effect)
{
    const LatencyDistribution tolerated = profile.slowedBy(common);
    const LatencyDistribution slowed = profile.slowedBy(common + effect);
    LatencyDistribution ratios{};
    for (std::size_t i = 0; i < latencyBuckets; ++i)
        ratios[i] = slowed[i] / tolerated[i];
    const auto peak = std::max_element(ratios.begin(), ratios.end());
    std::fill(peak, ratios.end(), *peak);
    for (auto ratio = peak; ratio != ratios.begin(); --ratio)
        *(ratio - 1) = std::min(*(ratio - 1), *ratio);
    double total = 0;
    for (std::size_t i = 0; i < latencyBuckets; ++i)
        total += ratios[i] * tolerated[i];
    LatencyDistribution probabilities{};
    for (std::size_t i = 0; i < latencyBuckets; ++i)
        probabilities[i] = ratios[i] * tolerated[i] / total;
    return probabilities;
}

double logRatio(const OutcomeSums &newer, const OutcomeSums &older,
                const LatencyDistribution &slower, const LatencyDistribution &tolerated,
                double toleratedShift)
{
    const double newCalls = countTimedCalls(newer);
    const double oldCalls = countTimedCalls(older);
    LatencyDistribution shared{};
    LatencyDistribution oldRatios{};
    for (std::size_t i = 0; i < latencyBuckets; ++i) {
        shared[i] = (newCalls * slower[i] + oldCalls * tolerated[i]) / (newCalls + oldCalls);
        oldRatios[i] = tolerated[i] / shared[i];
    }
    double ratio = 0;
    for (std::size_t i = 0; i < latencyBuckets; ++i) {
        if (newer.latencies[i] > 0)
            ratio += static_cast<double>(newer.latencies[i]) * std::log(slower[i] / shared[i]);
        if (older.latencies[i] > 0)
            ratio += static_cast<double>(older.latencies[i])
                    * std::log(toleratedRatio(oldRatios, i, toleratedShift));
    }
    return ratio;
}

} // namespace
} // namespace detail

LatencyProfile::LatencyProfile(const OutcomeSums &baseline, double toleratedSlowdown)
    : toleratedShift_(std::log2(toleratedSlowdown))
{
    LatencyDistribution probabilities{};
    const double calls = detail::countTimedCalls(baseline) + detail::smoothing * latencyBuckets;
    for (std::size_t i = 0; i < latencyBuckets; ++i)
        probabilities[i] = (static_cast<double>(baseline.latencies[i]) + detail::smoothing) / calls;
    tolerated_ = detail::shiftDistribution(probabilities, toleratedShift_);
}

LatencyDistribution LatencyProfile::slowedBy(double shift) const
{
    LatencyDistribution probabilities = detail::shiftDistribution(tolerated_, shift);
    for (double &probability : probabilities)
        probability = (1.0 - detail::outlierFraction) * probability
                + detail::outlierFraction * detail::uniformProbability;
    return probabilities;
}

LogRatios compareLatencies(const OutcomeSums &newer, const OutcomeSums &older,
                           const LatencyProfile &profile)
{
    LogRatios ratios{};
    if (detail::countTimedCalls(newer) <= 0 || detail::countTimedCalls(older) <= 0)
        return ratios;
    for (std::size_t i = 0; i < ratios.size(); ++i) {
        double mixed = 0;
        for (std::size_t j = 0; j < detail::commonShifts.size(); ++j) {
            const double shift = detail::commonShifts[j];
            mixed += detail::commonWeights[j]
                    * std::exp(detail::logRatio(
                            newer, older,
                            detail::slowerDistribution(profile, shift, detail::effectShifts[i]),
                            profile.slowedBy(shift), profile.toleratedShift()));
        }
        ratios[i] = std::log(std::max(mixed, 1e-300));
    }
    return ratios;
}

LogRatios compareLatenciesWithBaseline(const OutcomeSums &newer, const LatencyProfile &profile)
{
    LogRatios ratios{};
    const LatencyDistribution tolerated = profile.slowedBy(0);
    for (std::size_t i = 0; i < ratios.size(); ++i) {
        const LatencyDistribution slower
                = detail::slowerDistribution(profile, 0, detail::effectShifts[i]);
        for (std::size_t bucket = 0; bucket < latencyBuckets; ++bucket)
            ratios[i] += static_cast<double>(newer.latencies[bucket])
                    * std::log(slower[bucket] / tolerated[bucket]);
    }
    return ratios;
}

} // namespace cornelhead
