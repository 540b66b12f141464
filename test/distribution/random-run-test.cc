// Randomized runs of a fleet of agents with up to two concurrent faults.
//
// CORNELHEAD_RANDOM_RUNS sets the number of seeds, CORNELHEAD_RANDOM_SEED the first seed and
// CORNELHEAD_RANDOM_ROUNDS the number of rounds per seed.
#include <boost/test/unit_test.hpp>

#include <cstdlib>

#include "cornelhead/base/log.h"
#include "distribution/fleet.h"

namespace cornelhead {

using test::Fleet;

namespace {

/// Allowed time from the end of the faults until every node runs the newest configuration.
constexpr Milliseconds configConvergenceTime = Milliseconds(3000);
/// Allowed time until all nodes agree on the live servers: when most of a data centre falls silent,
/// its nodes are marked gone only after 30 s.
constexpr Milliseconds membershipConvergenceTime = Milliseconds(45000);

std::uint64_t environmentNumber(const char *name, std::uint64_t defaultValue)
{
    const char *text = std::getenv(name);
    return text ? std::strtoull(text, nullptr, 10) : defaultValue;
}

class RandomRun
{
public:
    explicit RandomRun(std::uint64_t seed) : random_(seed), fleet_(3, 5, seed) { }

    void start()
    {
        fleet_.edit();
        restartAll();
        fleet_.run(Milliseconds(10000));
    }

    /// Runs one round of faults and recovery; returns violated invariants or what did not converge.
    std::vector<std::string> round()
    {
        faultLog_.clear();
        injectFault();
        if (random_.chance(0.6))
            injectFault();
        runUnderFaults(random_.jitter(Milliseconds(12000)));
        clearFaults();
        fleet_.edit();
        fleet_.run(configConvergenceTime);
        if (!fleet_.nodesBehind().empty())
            return fleet_.nodesBehind();
        fleet_.run(membershipConvergenceTime);
        if (!fleet_.stats().violations.empty())
            return fleet_.stats().violations;
        return fleet_.differences();
    }

    const std::string &faultLog() const { return faultLog_; }
    Fleet &fleet() { return fleet_; }

private:
    void logFault(const std::string &what) { faultLog_ += what + "; "; }

    std::size_t randomNode() { return random_.below(fleet_.size()); }
    std::size_t randomDataCentre() { return random_.below(3); }

    void killSome(double probability, bool relaysOnly)
    {
        for (std::size_t i = 0; i < fleet_.size(); ++i) {
            if (random_.chance(probability) && (!relaysOnly || fleet_.isRelay(i)))
                fleet_.kill(i, random_.chance(0.7));
        }
    }

    void killDataCentre()
    {
        const std::size_t dataCentre = randomDataCentre();
        for (std::size_t i = 0; i < fleet_.size(); ++i) {
            if (fleet_.dataCentreOf(i) == dataCentre)
                fleet_.kill(i, random_.chance(0.5));
        }
    }

    void partitionDataCentre()
    {
        const std::size_t dataCentre = randomDataCentre();
        for (std::size_t other = 0; other < 3; ++other) {
            if (other != dataCentre && random_.chance(0.7))
                fleet_.setPartitioned(dataCentre, other, true);
        }
        if (random_.chance(0.7))
            fleet_.setPlatformPartitioned(dataCentre, true);
    }

    void pauseSome()
    {
        for (int i = 0; i < 3; ++i)
            fleet_.pause(randomNode(), Milliseconds(500) + random_.jitter(Milliseconds(8000)));
        for (std::size_t i = 0; i < fleet_.size(); ++i) {
            if (fleet_.isRelay(i) && random_.chance(0.3))
                fleet_.pause(i, Milliseconds(4000) + random_.jitter(Milliseconds(4000)));
        }
    }

    void injectFault()
    {
        switch (random_.below(8)) {
        case 0:
            logFault("kill relays");
            killSome(1.0, true);
            break;
        case 1:
            logFault("kill many nodes");
            killSome(0.3 + 0.7 * random_.unit(), false);
            break;
        case 2:
            logFault("kill a data centre");
            killDataCentre();
            break;
        case 3:
            logFault("platform down");
            fleet_.setPlatformDown(true);
            break;
        case 4:
            logFault("partition a data centre");
            partitionDataCentre();
            break;
        case 5:
            logFault("pause processes");
            pauseSome();
            break;
        case 6:
            logFault("lossy frames and silent links");
            fleet_.setFrameFaults({0.05, 0.05, 0.1});
            fleet_.silenceLinks(0.5);
            break;
        default:
            logFault("lost platform responses");
            fleet_.setResponseLossProbability(0.3);
            break;
        }
    }

    // Edits configurations and kills and restarts single nodes during the faults.
    void runUnderFaults(Milliseconds duration)
    {
        for (Milliseconds passed(0); passed < duration; passed += Milliseconds(200)) {
            if (random_.chance(0.3))
                fleet_.edit();
            if (random_.chance(0.03))
                fleet_.editInvalid();
            if (random_.chance(0.05))
                fleet_.kill(randomNode(), random_.chance(0.7));
            if (random_.chance(0.4))
                fleet_.start(randomNode());
            fleet_.run(Milliseconds(200));
        }
    }

    void clearFaults()
    {
        fleet_.setPlatformDown(false);
        fleet_.setResponseLossProbability(0);
        fleet_.setFrameFaults({});
        for (std::size_t left = 0; left < 3; ++left) {
            fleet_.setPlatformPartitioned(left, false);
            for (std::size_t right = 0; right < 3; ++right)
                fleet_.setPartitioned(left, right, false);
        }
        fleet_.runUntilAllResume();
        restartAll();
    }

    void restartAll()
    {
        for (std::size_t i = 0; i < fleet_.size(); ++i)
            fleet_.start(i);
    }

    Random random_;
    Fleet fleet_;
    std::string faultLog_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(randomRun)

BOOST_AUTO_TEST_CASE(holdsItsInvariantsUnderTwoFaultsAtOnce)
{
    BOOST_REQUIRE(configureLogging("error").has_value());
    const std::uint64_t first = environmentNumber("CORNELHEAD_RANDOM_SEED", 1);
    const std::uint64_t runs = environmentNumber("CORNELHEAD_RANDOM_RUNS", 10);
    const std::uint64_t rounds = environmentNumber("CORNELHEAD_RANDOM_ROUNDS", 6);
    std::uint64_t floorRegressions = 0;
    for (std::uint64_t seed = first; seed < first + runs; ++seed) {
        RandomRun run(seed);
        run.start();
        for (std::uint64_t round = 0; round < rounds; ++round) {
            const std::vector<std::string> problems = run.round();
            const std::string firstProblem = problems.empty() ? "" : problems.front();
            BOOST_TEST(problems.empty(),
                       "seed " << seed << " round " << round << " (" << run.faultLog()
                               << "): " << firstProblem << ", " << problems.size() << " in all");
            if (!problems.empty())
                break;
        }
        floorRegressions += run.fleet().stats().floorRegressions;
    }
    BOOST_TEST_MESSAGE("seeds " << first << " to " << first + runs - 1 << ", " << rounds
                                << " rounds each; floor regressions without a guarantee: "
                                << floorRegressions);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace cornelhead
