// Tests the bound of false alarms and the sharpness of the sequential judgement.
#include "cornelhead/rollout/judgement.h"

#include <algorithm>
#include <cmath>

#include <boost/test/unit_test.hpp>

#include "cornelhead/base/random.h"

namespace cornelhead {
namespace {

constexpr double falseAlarmProbability = 0.05;
constexpr int runs = 400;
constexpr int blocks = 80;

const RouteId route("/book");
const DataCentreId dataCentre("akl-a");

/// What both versions do in one block.
struct BlockTruth
{
    double oldFailures = 0.002;
    double newFailures = 0.002;
    double oldSlowdown = 1;
    double newSlowdown = 1;
};

OutcomeSums drawCalls(Random &random, int calls, double failures, double slowdown)
{
    OutcomeSums sums;
    std::lognormal_distribution<double> latency(std::log(8'000.0 * slowdown), 0.5);
    for (int i = 0; i < calls; ++i) {
        sums.calls += 1;
        sums.failures += random.chance(failures) ? 1 : 0;
        const auto micros = static_cast<std::int64_t>(latency(random.engine()));
        sums.latencies[latencyBucket(Microseconds(micros))] += 1;
    }
    return sums;
}

/// Returns the blocks until the version was found bad, or `blocks` when it never was.
template <typename Truth>
int blocksToFinding(std::uint64_t seed, int newCalls, int oldCalls, Truth truth)
{
    Random random(seed);
    Judgement judgement({.falseAlarmProbability = falseAlarmProbability,
                         .expectedBlocks = blocks,
                         .minBlocks = 0});
    for (int block = 0; block < blocks; ++block) {
        const BlockTruth now = truth(random, block);
        judgement.add(true, route, dataCentre,
                      drawCalls(random, newCalls, now.newFailures, now.newSlowdown));
        judgement.add(false, route, dataCentre,
                      drawCalls(random, oldCalls, now.oldFailures, now.oldSlowdown));
        judgement.closeBlock(PerMille(500));
        if (judgement.finding())
            return block;
    }
    return blocks;
}

template <typename Truth>
int countAlarms(int newCalls, int oldCalls, Truth truth)
{
    int alarms = 0;
    for (std::uint64_t seed = 1; seed <= runs; ++seed)
        alarms += blocksToFinding(seed, newCalls, oldCalls, truth) < blocks ? 1 : 0;
    return alarms;
}

/// The bound, and what chance adds to it in that many runs.
const double mostAlarms
        = runs * falseAlarmProbability + 3 * std::sqrt(runs * falseAlarmProbability);

} // namespace

BOOST_AUTO_TEST_SUITE(judgement)

BOOST_AUTO_TEST_CASE(boundsFalseAlarmsAtTheToleratedFailures)
{
    const auto truth = [](Random &, int) {
        return BlockTruth{.oldFailures = 0.01, .newFailures = 0.01 + 0.005 * 0.99};
    };
    BOOST_TEST(countAlarms(3, 30, truth) <= mostAlarms);
    BOOST_TEST(countAlarms(20, 20, truth) <= mostAlarms);
}

BOOST_AUTO_TEST_CASE(boundsFalseAlarmsWhateverHitsBothVersions)
{
    const auto truth = [](Random &random, int) {
        const double failures = random.chance(0.3) ? random.unit() : 0.002;
        return BlockTruth{.oldFailures = failures, .newFailures = failures};
    };
    BOOST_TEST(countAlarms(2, 30, truth) <= mostAlarms);
    BOOST_TEST(countAlarms(30, 2, truth) <= mostAlarms);
}

BOOST_AUTO_TEST_CASE(boundsFalseAlarmsWhenBothVersionsTurnSlowOrFast)
{
    const auto truth = [](Random &random, int block) {
        const double slowdown = block < 10 ? 1.0 : std::exp2(random.unit() * 6.0 - 3.0);
        return BlockTruth{.oldSlowdown = slowdown, .newSlowdown = slowdown};
    };
    BOOST_TEST(countAlarms(2, 30, truth) <= mostAlarms);
    BOOST_TEST(countAlarms(20, 20, truth) <= mostAlarms);
}

BOOST_AUTO_TEST_CASE(findsFailuresInAFewCalls)
{
    const auto truth = [](Random &, int) { return BlockTruth{.newFailures = 0.5}; };
    for (std::uint64_t seed = 1; seed <= 50; ++seed)
        BOOST_TEST(blocksToFinding(seed, 2, 38, truth) <= 12);
}

BOOST_AUTO_TEST_CASE(findsSlownessInAFewCalls)
{
    const auto truth = [](Random &, int) { return BlockTruth{.newSlowdown = 4}; };
    for (std::uint64_t seed = 1; seed <= 50; ++seed)
        BOOST_TEST(blocksToFinding(seed, 2, 38, truth) <= 20);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace cornelhead
