// Simulates one move on a virtual clock: generates call outcomes, loses reports, writes and
// controllers, and runs the real controller and circuit breakers.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "cornelhead/base/random.h"
#include "cornelhead/rollout/move.h"

namespace cornelhead::simulation {

/// The defect of the new version.
enum class Defect {
    None,
    NoneCommonFault, ///< No defect, but a fault hits both versions.
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
/// Returns whether the defect affects calls from the first one on.
bool isImmediate(Defect defect);

/// The kind of controller that drives a run.
enum class Judge {
    Current, ///< The controller and the circuit breakers.
    Legacy, ///< The same with the legacy rules.
    Threshold, ///< Fixed steps and a failure threshold.
};

/// The size of a modelled deployment.
struct Deployment
{
    std::string name;
    std::vector<std::string> dataCentres;
    /// Servers of each version of the service.
    int servers = 0;
    /// Hosts that run a node.
    int nodes = 0;
    int slots = 0;
    int routes = 0;
};

Deployment paperfold();
Deployment association();

/// A half-open interval of time since the start of the run.
struct TimeSpan
{
    std::int64_t fromMs = 0;
    std::int64_t toMs = 0;

    bool contains(std::int64_t atMs) const { return fromMs <= atMs && atMs < toMs; }
};

/// The random parameters of one run.
struct Scenario
{
    Deployment deployment;
    Defect defect = Defect::None;
    Judge judge = Judge::Current;
    std::uint64_t seed = 0;
    std::int64_t moveMs = 0;
    /// Calls per second to the service in the whole fleet.
    double callRate = 0;
    double failRate = 0;
    double slowFactor = 1;
    int defectRoute = 0;
    int defectDataCentre = 0;
    std::int64_t defectStartMs = 0;
    /// Fraction of `callRate` at which a defect under load begins.
    double defectLoadFraction = 0;
    /// A fault of both versions, in `commonFaultDataCentre` or, when that is negative, in all.
    TimeSpan commonFault;
    TimeSpan secondCommonFault;
    int commonFaultDataCentre = -1;
    double commonFaultFailRate = 0;
    double commonFaultSlowFactor = 1;
    /// When the call rate is multiplied by `loadMultiplier`.
    TimeSpan loadChange;
    double loadMultiplier = 1;
    double reportLossProbability = 0;
    std::int64_t reportDelayMs = 0;
    double answerLossProbability = 0;
    TimeSpan platformOutage;
    /// The controller stops at the start and another one takes over at the end; empty for none.
    TimeSpan controllerGap;
    /// When `partitionedDataCentre` cannot reach the other data centres and the platform.
    TimeSpan partition;
    int partitionedDataCentre = -1;
    /// The servers of the new version differ in speed from those of the old one.
    bool hasDifferentHosts = false;
    /// When one server of one version crashes, which fails its calls for a short time; 0 for never.
    std::int64_t crashAtMs = 0;
    bool crashesNewVersion = false;
};

/// Generates a scenario from a seed.  `lowTraffic` selects 1 to 10 calls per second.
Scenario drawScenario(const Deployment &deployment, Defect defect, std::uint64_t seed,
                      bool lowTraffic);

struct RunResult
{
    MoveState end = MoveState::Running;
    std::int64_t startMs = 0;
    std::int64_t deadlineMs = 0;
    /// The times below are 0 when the event did not happen.
    std::int64_t fullShareAtMs = 0;
    std::int64_t takenBackAtMs = 0;
    /// When an optimal test, given the true rates of both versions, detected the defect.
    std::int64_t detectableAtMs = 0;
    /// When a node outside of the partition last sent a call to the new version.
    std::int64_t lastNewCallAtMs = 0;
    PerMille maxShare;
    PerMille lastShare;
    /// Whether the share was raised more than a second after `detectableAtMs`.
    bool isRaisedAfterDetectable = false;
    std::uint64_t calls = 0;
    /// Calls that the defect affected.
    std::uint64_t exposedCalls = 0;
    /// How often a node's circuit breaker tripped.
    int trippedNodes = 0;
    std::string verdict;
    Move record;
};

/// Simulates one move to its end.  Aborts when an invariant of the record is violated.
RunResult runMove(const Scenario &scenario);

} // namespace cornelhead::simulation
