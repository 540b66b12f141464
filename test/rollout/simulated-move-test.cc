// Tests the guarantees of moves in simulated runs with fixed seeds.
#include "rollout/simulated-move.h"

#include <algorithm>
#include <array>

#include <boost/test/unit_test.hpp>

#include "cornelhead/rollout/share-schedule.h"

namespace cornelhead::simulation {
namespace {

constexpr std::array defects = {
        Defect::FailNow,           Defect::SlowNow,       Defect::FailLate,
        Defect::SlowLate,          Defect::FailUnderLoad, Defect::SlowUnderLoad,
        Defect::FailOneRoute,      Defect::SlowOneRoute,  Defect::FailOneDataCentre,
        Defect::SlowOneDataCentre,
};
constexpr std::uint64_t firstSeed = 5'000;
constexpr std::uint64_t seeds = 8;

template <typename Check>
void forEachRun(Defect defect, Check check)
{
    for (const Deployment &deployment : {paperfold(), association()}) {
        for (std::uint64_t seed = firstSeed; seed < firstSeed + seeds; ++seed) {
            const Scenario scenario = drawScenario(deployment, defect, seed, false);
            BOOST_TEST_CONTEXT(deployment.name << ' ' << defectName(defect) << " seed " << seed)
            check(scenario, runMove(scenario));
        }
    }
}

/// Returns the scenario without lost reports or responses, outages, partitions and controller gaps.
Scenario withoutFaults(Scenario scenario)
{
    scenario.reportLossProbability = 0;
    scenario.answerLossProbability = 0;
    scenario.controllerGap = {};
    scenario.platformOutage = {};
    scenario.partition = {};
    return scenario;
}

} // namespace

BOOST_AUTO_TEST_SUITE(simulatedMoves)

BOOST_AUTO_TEST_CASE(goodVersionsReachFullShareByTheDeadline)
{
    for (const Defect defect : {Defect::None, Defect::NoneCommonFault}) {
        forEachRun(defect, [](const Scenario &, const RunResult &run) {
            BOOST_TEST((run.end == MoveState::Done), run.verdict);
            BOOST_TEST(run.fullShareAtMs > 0);
            BOOST_TEST(run.fullShareAtMs <= run.deadlineMs);
        });
    }
}

BOOST_AUTO_TEST_CASE(versionsWithEveryDefectAreRolledBack)
{
    for (const Defect defect : defects) {
        forEachRun(defect, [](const Scenario &, const RunResult &run) {
            BOOST_TEST((run.end == MoveState::RolledBack || run.detectableAtMs == 0));
        });
    }
}

BOOST_AUTO_TEST_CASE(versionsWithImmediateDefectsAreRaisedOnlyByTheDeadline)
{
    constexpr double earliestWithoutEvidence = 0.7;
    for (const Defect defect : {Defect::FailNow, Defect::SlowNow, Defect::FailOneRoute}) {
        forEachRun(defect, [](const Scenario &scenario, const RunResult &run) {
            const double raisingMs = static_cast<double>(
                    scenario.moveMs - std::min<std::int64_t>(4'000, scenario.moveMs / 4));
            for (const MoveEvent &event : run.record.events) {
                const double elapsedFraction
                        = static_cast<double>(event.atMs - run.startMs) / raisingMs;
                BOOST_TEST((event.share <= initialShare
                            || elapsedFraction >= earliestWithoutEvidence));
            }
        });
    }
}

BOOST_AUTO_TEST_CASE(stopsCallsWithinSecondsOnceDetectable)
{
    constexpr std::int64_t maxMs = 3'000;
    for (const Defect defect : {Defect::FailNow, Defect::SlowNow, Defect::FailLate}) {
        for (std::uint64_t seed = firstSeed; seed < firstSeed + seeds; ++seed) {
            Scenario scenario = withoutFaults(drawScenario(paperfold(), defect, seed, false));
            scenario.callRate = 3'000;
            const RunResult run = runMove(scenario);
            BOOST_TEST_CONTEXT(defectName(defect) << " seed " << seed)
            BOOST_TEST(run.lastNewCallAtMs - run.detectableAtMs <= maxMs);
        }
    }
}

BOOST_AUTO_TEST_CASE(breakersTripOnPartitionedNodes)
{
    for (std::uint64_t seed = firstSeed; seed < firstSeed + seeds; ++seed) {
        Scenario scenario = withoutFaults(drawScenario(paperfold(), Defect::FailNow, seed, false));
        scenario.callRate = 3'000;
        scenario.failRate = 0.5;
        scenario.partition = {1'000, 120'000};
        scenario.partitionedDataCentre = 1;
        // Without a controller, the other nodes depend on their circuit breakers too.
        scenario.controllerGap = {1'000, 120'000};
        BOOST_TEST(runMove(scenario).trippedNodes == scenario.deployment.nodes);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace cornelhead::simulation
