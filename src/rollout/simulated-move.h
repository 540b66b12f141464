// Generates the outcomes of one move over a virtual clock, and runs the real controller and brakes
// on them, with reports, records and controllers that get lost.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "cornelhead/base/random.h"
#include "cornelhead/rollout/move.h"

namespace cornelhead::simulation {

/// What is wrong with a new version.
enum class Defect {
    None,
    NoneCommonFault, ///< Good, while a fault hits both versions.
    FailNow,
    SlowNow,
    FailLate,
    SlowLate,
    FailUnderLoad,
    SlowUnderLoad,
    FailOneRoute,
    SlowOneRoute,
    FailOneDataCentre,
    SlowOneDataCentre,
};

std::string_view defectName(Defect defect);
bool isGood(Defect defect);
/// Tells whether the defect is there from the first call on.
bool isImmediate(Defect defect);

/// Decides the moves of a run.
enum class Judge {
    Current, ///< The controller and the brakes.
    Legacy, ///< The same with the first rules.
    Threshold, ///< Fixed steps, and a threshold of failures.
};

/// The hosts of one deployment of the brief.
struct Deployment
{
    std::string name;
    std::vector<std::string> dataCentres;
    /// Servers of the service that moves.
    int servers = 0;
    /// Hosts with a node.
    int nodes = 0;
    int slots = 0;
    int routes = 0;
};

Deployment paperfold();
Deployment association();

/// A stretch of virtual time.
struct TimeSpan
{
    std::int64_t fromMs = 0;
    std::int64_t toMs = 0;

    bool holds(std::int64_t atMs) const { return fromMs <= atMs && atMs < toMs; }
};

/// Everything that is drawn for one run.
struct Scenario
{
    Deployment deployment;
    Defect defect = Defect::None;
    Judge judge = Judge::Current;
    std::uint64_t seed = 0;
    std::int64_t moveMs = 0;
    /// Calls a second of the service over the whole fleet.
    double callRate = 0;
    double failRate = 0;
    double slowFactor = 1;
    int defectRoute = 0;
    int defectDataCentre = 0;
    std::int64_t defectStartMs = 0;
    /// Part of the usual full call rate at which defect under load begins.
    double defectLoadFraction = 0;
    /// A fault of both versions: in one data centre, or in all when it is negative.
    TimeSpan commonFault;
    TimeSpan secondCommonFault;
    int commonFaultDataCentre = -1;
    double commonFaultFailRate = 0;
    double commonFaultSlowFactor = 1;
    /// When the rate of calls is raised by `loadMultiplier`.
    TimeSpan loadChange;
    double loadMultiplier = 1;
    double reportLossProbability = 0;
    std::int64_t reportDelayMs = 0;
    double answerLossProbability = 0;
    TimeSpan platformOutage;
    /// The controller dies at the start and another takes over at the end; empty when none dies.
    TimeSpan controllerGap;
    /// A data centre that is cut off from the others and the platform.
    TimeSpan partition;
    int partitionedDataCentre = -1;
    /// Hosts of the new version differ from those of the old one.
    bool hasDifferentHosts = false;
    /// One server of one version crashes and takes the calls that it holds with it.
    std::int64_t crashAtMs = 0;
    bool crashesNewVersion = false;
};

/// Draws a scenario.  `lowTraffic` gives a service with a few calls a second.
Scenario drawScenario(const Deployment &deployment, Defect defect, std::uint64_t seed,
                      bool lowTraffic);

/// What came of one run.
struct RunResult
{
    MoveState end = MoveState::Running;
    std::int64_t startMs = 0;
    std::int64_t deadlineMs = 0;
    /// 0 when it never came.
    std::int64_t fullShareAtMs = 0;
    std::int64_t takenBackAtMs = 0;
    /// When a judge that knows both versions' true behaviour would have been sure.
    std::int64_t detectableAtMs = 0;
    /// When the last connected node stopped sending calls to the new version.
    std::int64_t lastNewCallAtMs = 0;
    PerMille maxShare;
    PerMille lastShare;
    /// The share was raised although the defect had shown a second before.
    bool isRaisedAfterDetectable = false;
    std::uint64_t calls = 0;
    /// Calls that the new version answered while it was bad.
    std::uint64_t exposedCalls = 0;
    /// Nodes that braked a version.
    int trippedNodes = 0;
    std::string verdict;
    /// The last record.
    Move record;
};

/// Runs one move to its end.  Aborts when a promise about the record is broken.
RunResult runMove(const Scenario &scenario);

} // namespace cornelhead::simulation
