// Tests the likelihood ratios of latency histograms.
#include "cornelhead/rollout/latency-comparison.h"

#include <cmath>

#include <boost/test/unit_test.hpp>

namespace cornelhead {
namespace {

OutcomeSums singleBucket(std::size_t bucket, std::uint64_t calls)
{
    OutcomeSums sums{.calls = calls};
    sums.latencies[bucket] = calls;
    return sums;
}

/// A profile with a median of about 8 ms.
LatencyProfile sampleProfile()
{
    OutcomeSums baseline;
    baseline.latencies = {0, 0, 2, 40, 300, 500, 120, 10, 2, 0, 0, 1, 0, 0, 0, 0};
    return {baseline, 1.5};
}

} // namespace

BOOST_AUTO_TEST_SUITE(latencyComparison)

BOOST_AUTO_TEST_CASE(equalLatenciesAreNoEvidence)
{
    // Holds however far both versions are from the profile.
    for (std::size_t bucket = 0; bucket < latencyBuckets; ++bucket) {
        for (const auto &[newer, older] : {std::pair(2, 38), std::pair(20, 20), std::pair(38, 2)}) {
            const LogRatios ratios = compareLatencies(singleBucket(bucket, newer),
                                                      singleBucket(bucket, older), sampleProfile());
            for (const double ratio : ratios)
                BOOST_TEST(ratio <= 0.01,
                           "bucket " << bucket << ", " << newer << " and " << older << ": "
                                     << ratio);
        }
    }
}

BOOST_AUTO_TEST_CASE(slowerAnswersNeverLowerTheEvidence)
{
    for (std::size_t bucket = 0; bucket + 1 < latencyBuckets; ++bucket) {
        const LogRatios faster
                = compareLatenciesWithBaseline(singleBucket(bucket, 1), sampleProfile());
        const LogRatios slower
                = compareLatenciesWithBaseline(singleBucket(bucket + 1, 1), sampleProfile());
        for (std::size_t i = 0; i < faster.size(); ++i)
            BOOST_TEST(slower[i] >= faster[i] - 1e-9);
    }
}

BOOST_AUTO_TEST_CASE(fourTimesSlowerAnswersAreEvidence)
{
    const LogRatios ratios
            = compareLatencies(singleBucket(7, 5), singleBucket(5, 95), sampleProfile());
    BOOST_TEST(ratios[0] > 3);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace cornelhead
