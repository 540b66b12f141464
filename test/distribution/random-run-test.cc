// Long random runs of the real decisions, with two faults at once.
//
// CORNELHEAD_RANDOM_RUNS sets how many seeds are run, CORNELHEAD_RANDOM_SEED the first of them and
// CORNELHEAD_RANDOM_ROUNDS the rounds of each.
#include <boost/test/unit_test.hpp>

#include <cstdlib>

#include "cornelhead/base/log.h"
#include "distribution/fleet.h"

namespace cornelhead {

using test::Fleet;

namespace {

/// From the end of the last fault until every node acts on the newest configuration.
constexpr Milliseconds configConvergenceTime = Milliseconds(3000);
/// Until all agree on the living servers: a mass silence is believed after 30 s.
constexpr Milliseconds membershipConvergenceTime = Milliseconds(45000);

std::uint64_t setting(const char *name, std::uint64_t standard)
{
    const char *text = std::getenv(name);
    return text ? std::strtoull(text, nullptr, 10) : standard;
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

    /// Returns what is wrong after one round of faults and recovery.
    std::vector<std::string> round()
    {
        faultLog_.clear();
        fault();
        if (random_.chance(0.6))
            fault();
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

    void killSome(double share, bool relaysOnly)
    {
        for (std::size_t i = 0; i < fleet_.size(); ++i) {
            if (random_.chance(share) && (!relaysOnly || fleet_.isRelay(i)))
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

    void cutDataCentre()
    {
        const std::size_t dataCentre = randomDataCentre();
        for (std::size_t other = 0; other < 3; ++other) {
            if (other != dataCentre && random_.chance(0.7))
                fleet_.cut(dataCentre, other, true);
        }
        if (random_.chance(0.7))
            fleet_.cutPlatform(dataCentre, true);
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

    void fault()
    {
        switch (random_.below(8)) {
        case 0:
            logFault("kill relays");
            killSome(1.0, true);
            break;
        case 1:
            logFault("kill a herd");
            killSome(0.3 + 0.7 * random_.unit(), false);
            break;
        case 2:
            logFault("kill a data centre");
            killDataCentre();
            break;
        case 3:
            logFault("platform away");
            fleet_.setPlatformDown(true);
            break;
        case 4:
            logFault("cut a data centre");
            cutDataCentre();
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
            logFault("lost answers");
            fleet_.setLostAnswers(0.3);
            break;
        }
    }

    // Edits, single kills and restarts go on during the faults.
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
        fleet_.setLostAnswers(0);
        fleet_.setFrameFaults({});
        for (std::size_t left = 0; left < 3; ++left) {
            fleet_.cutPlatform(left, false);
            for (std::size_t right = 0; right < 3; ++right)
                fleet_.cut(left, right, false);
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
    const std::uint64_t first = setting("CORNELHEAD_RANDOM_SEED", 1);
    const std::uint64_t runs = setting("CORNELHEAD_RANDOM_RUNS", 10);
    const std::uint64_t rounds = setting("CORNELHEAD_RANDOM_ROUNDS", 6);
    std::uint64_t floorRegressions = 0;
    for (std::uint64_t seed = first; seed < first + runs; ++seed) {
        RandomRun run(seed);
        run.start();
        for (std::uint64_t round = 0; round < rounds; ++round) {
            const std::vector<std::string> wrong = run.round();
            const std::string what = wrong.empty() ? "" : wrong.front();
            BOOST_TEST(wrong.empty(),
                       "seed " << seed << " round " << round << " (" << run.faultLog()
                               << "): " << what << ", " << wrong.size() << " in all");
            if (!wrong.empty())
                break;
        }
        floorRegressions += run.fleet().stats().floorRegressions;
    }
    BOOST_TEST_MESSAGE("seeds " << first << " to " << first + runs - 1 << ", " << rounds
                                << " rounds each; floors lost beyond the promise: "
                                << floorRegressions);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace cornelhead
