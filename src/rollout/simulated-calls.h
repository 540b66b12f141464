// Draws the calls of one service, with servers that differ and versions that may be bad.
#pragma once

#include <array>
#include <cstdint>
#include <vector>

#include "cornelhead/base/random.h"
#include "cornelhead/rollout/outcome.h"
#include "rollout/simulated-move.h"

namespace cornelhead::simulation {

/// The version that a call goes to.
enum class Side : std::uint8_t { Old, New };

/// How one call ended.
struct CallOutcome
{
    bool isFailure = false;
    bool isShed = false;
    bool isCold = false;
    Microseconds latency = Microseconds(0);
    /// The new version's defect applied to this call.
    bool isExposed = false;
    /// The logarithm of the odds that this call gives to a judge who knows the truth.
    double trueLogOdds = 0;
};

/// Draws outcomes of calls.
class CallSource
{
public:
    CallSource(const Scenario &scenario, Random &random);

    /// Draws how many calls a node gets in a tick.
    int drawCalls(std::int64_t sinceStartMs, Milliseconds tick);
    int drawRoute();
    CallOutcome drawOutcome(Side side, int route, int dataCentre, std::int64_t sinceStartMs);
    /// Ends a tick, so that the load of each version is known.
    void endTick(Milliseconds tick);

private:
    struct Server
    {
        int dataCentre = 0;
        double slowness = 1;
        std::uint64_t answered = 0;
        /// Until then, in run time, every call on the host waits.
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
    bool isBad(Side side, int route, int dataCentre, std::int64_t sinceStartMs) const;
    void addCommonFault(CallOutcome &outcome, double &slow, int dataCentre,
                        std::int64_t sinceStartMs);

    const Scenario *scenario_;
    Random *random_;
    std::array<Version, 2> versions_;
    std::vector<double> routeWeights_;
    std::vector<double> routeLatencyMs_;
    double baseFailRate_ = 0;
};

} // namespace cornelhead::simulation
