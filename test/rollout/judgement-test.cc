// Tests the bound on false alarms and the detection delay of the sequential judgement.
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

/// The true rates of both versions in one block.
struct BlockRates
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

/// Returns the number of blocks until there was a finding, or `blocks` without one.
template <typename RatesOf>
int blocksToFinding(std::uint64_t seed, int newCalls, int oldCalls, RatesOf ratesOf)
{
    Random random(seed);
    Judgement judgement({.falseAlarmProbability = falseAlarmProbability,
                         .expectedBlocks = blocks,
                         .minBlocks = 0});
    for (int block = 0; block < blocks; ++block) {
        const BlockRates rates = ratesOf(random, block);
        judgement.add(true, route, dataCentre,
                      drawCalls(random, newCalls, rates.newFailures, rates.newSlowdown));
        judgement.add(false, route, dataCentre,
                      drawCalls(random, oldCalls, rates.oldFailures, rates.oldSlowdown));
        judgement.closeBlock(PerMille(500));
        if (judgement.finding())
            return block;
    }
    return blocks;
}

template <typename RatesOf>
int countAlarms(int newCalls, int oldCalls, RatesOf ratesOf)
{
    int alarms = 0;
    for (std::uint64_t seed = 1; seed <= runs; ++seed)
        alarms += blocksToFinding(seed, newCalls, oldCalls, ratesOf) < blocks ? 1 : 0;
    return alarms;
}

/// The expected number of alarms at the bound, plus three standard deviations.
const double maxAlarms = runs * falseAlarmProbability + 3 * std::sqrt(runs * falseAlarmProbability);

} // namespace

BOOST_AUTO_TEST_SUITE(judgement)

BOOST_AUTO_TEST_CASE(boundsFalseAlarmsAtTheToleratedFailures)
{
    const auto ratesOf = [](Random &, int) {
        return BlockRates{.oldFailures = 0.01, .newFailures = 0.01 + 0.005 * 0.99};
    };
    BOOST_TEST(countAlarms(3, 30, ratesOf) <= maxAlarms);
    BOOST_TEST(countAlarms(20, 20, ratesOf) <= maxAlarms);
}

BOOST_AUTO_TEST_CASE(boundsFalseAlarmsDuringFaultsOfBothVersions)
{
    const auto ratesOf = [](Random &random, int) {
        const double failures = random.chance(0.3) ? random.unit() : 0.002;
        return BlockRates{.oldFailures = failures, .newFailures = failures};
    };
    BOOST_TEST(countAlarms(2, 30, ratesOf) <= maxAlarms);
    BOOST_TEST(countAlarms(30, 2, ratesOf) <= maxAlarms);
}

BOOST_AUTO_TEST_CASE(boundsFalseAlarmsWhenBothVersionsChangeSpeed)
{
    const auto ratesOf = [](Random &random, int block) {
        const double slowdown = block < 10 ? 1.0 : std::exp2(random.unit() * 6.0 - 3.0);
        return BlockRates{.oldSlowdown = slowdown, .newSlowdown = slowdown};
    };
    BOOST_TEST(countAlarms(2, 30, ratesOf) <= maxAlarms);
    BOOST_TEST(countAlarms(20, 20, ratesOf) <= maxAlarms);
}

BOOST_AUTO_TEST_CASE(detectsFailuresWithFewCalls)
{
    const auto ratesOf = [](Random &, int) { return BlockRates{.newFailures = 0.5}; };
    for (std::uint64_t seed = 1; seed <= 50; ++seed)
        BOOST_TEST(blocksToFinding(seed, 2, 38, ratesOf) <= 12);
}

BOOST_AUTO_TEST_CASE(detectsSlownessWithFewCalls)
{
    const auto ratesOf = [](Random &, int) { return BlockRates{.newSlowdown = 4}; };
    for (std::uint64_t seed = 1; seed <= 50; ++seed)
        BOOST_TEST(blocksToFinding(seed, 2, 38, ratesOf) <= 20);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace cornelhead
