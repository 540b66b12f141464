// Generates random calls of one service, with servers that differ and a new version that may have a
// defect.
#pragma once

#include <array>
#include <cstdint>
#include <vector>

#include "cornelhead/base/random.h"
#include "cornelhead/rollout/outcome.h"
#include "rollout/simulated-move.h"

namespace cornelhead::simulation {

enum class Side : std::uint8_t { Old, New };

struct CallOutcome
{
    bool isFailure = false;
    bool isShed = false;
    bool isCold = false;
    Microseconds latency = Microseconds(0);
    /// Whether the new version's defect affected this call.
    bool isExposed = false;
    /// The log-odds against the new version that this call contributes to an optimal test, which
    /// is given the true rates.
    double trueLogOdds = 0;
};

/// Generates the calls of a scenario and their outcomes.
class CallSource
{
public:
    CallSource(const Scenario &scenario, Random &random);

    /// Returns a random number of calls for one node in a tick.
    int drawCalls(std::int64_t sinceStartMs, Milliseconds tick);
    int drawRoute();
    CallOutcome drawOutcome(Side side, int route, int dataCentre, std::int64_t sinceStartMs);
    /// Ends a tick and updates the call rate of each version.
    void endTick(Milliseconds tick);

private:
    struct Server
    {
        int dataCentre = 0;
        double slowness = 1;
        std::uint64_t answered = 0;
        /// Calls at the server wait until this time since the start of the run.
        std::int64_t stalledUntilMs = 0;
    };

    struct Version
    {
        std::vector<Server> servers;
        std::uint64_t tickCalls = 0;
        double callRate = 0;
    };

    double loadFactor(const Version &version) const;
    Server &pickServer(Version &version, int dataCentre);
    bool isDefective(Side side, int route, int dataCentre, std::int64_t sinceStartMs) const;
    void addCommonFault(CallOutcome &outcome, double &slowdown, int dataCentre,
                        std::int64_t sinceStartMs);

    const Scenario *scenario_;
    Random *random_;
    std::array<Version, 2> versions_;
    std::vector<double> routeWeights_;
    std::vector<double> routeLatencyMs_;
    double baseFailRate_ = 0;
};

} // namespace cornelhead::simulation
