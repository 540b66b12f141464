// Models servers, load, warm-up, stalls and defects.
#include "rollout/simulated-calls.h"

#include <algorithm>
#include <cmath>

namespace cornelhead::simulation {
namespace detail {
namespace {

constexpr double latencySpread = 0.5;
constexpr double hostSpread = 0.18;
/// The decay constant of the warm-up slowdown, in calls of a server.
constexpr double warmUpCalls = 40;
constexpr double warmUpSlowdown = 1.5;
constexpr std::uint64_t coldCalls = 10;
constexpr double coldSlowdown = 8;
/// The probability that a call stalls its server, and the maximum duration of the stall.
constexpr double stallProbability = 0.0002;
constexpr std::int64_t maxStallMs = 400;
/// The time until a crashed server is no longer selected.
constexpr std::int64_t crashDurationMs = 300;
/// The documented tolerances for a good version.
constexpr double toleratedFailureRate = 0.005;
constexpr double toleratedSlowdown = 1.5;
constexpr double rateSmoothing = 0.1;
constexpr double maxLatencyMs = 3'000;

double drawNormal(Random &random)
{
    return std::normal_distribution<double>(0.0, 1.0)(random.engine());
}

double uniform(Random &random, double low, double high)
{
    return low + (high - low) * random.unit();
}

} // namespace
} // namespace detail

CallSource::CallSource(const Scenario &scenario, Random &random)
    : scenario_(&scenario), random_(&random)
{
    const Deployment &deployment = scenario.deployment;
    const auto dataCentres = static_cast<int>(deployment.dataCentres.size());
    for (int i = 0; i < deployment.servers; ++i) {
        const double slowness = std::exp(detail::hostSpread * detail::drawNormal(random));
        const double other = std::exp(detail::hostSpread * detail::drawNormal(random));
        versions_[0].servers.push_back({i % dataCentres, slowness});
        versions_[1].servers.push_back(
                {i % dataCentres, scenario.hasDifferentHosts ? other : slowness});
        versions_[0].servers.back().answered = 1'000;
    }
    const double usedSlots
            = detail::uniform(random, 0.1, 0.4) * deployment.slots * deployment.servers;
    const double meanMs = std::clamp(usedSlots / scenario.callRate * 1000.0, 1.0, 40.0);
    for (int i = 0; i < deployment.routes; ++i) {
        routeWeights_.push_back(detail::uniform(random, 0.5, 1.5));
        routeLatencyMs_.push_back(meanMs * detail::uniform(random, 0.5, 1.5));
    }
    baseFailRate_ = detail::uniform(random, 0.0005, 0.005);
}

int CallSource::drawCalls(std::int64_t sinceStartMs, Milliseconds tick)
{
    double rate = scenario_->callRate / scenario_->deployment.nodes;
    if (scenario_->loadChange.contains(sinceStartMs))
        rate *= scenario_->loadMultiplier;
    const double mean = rate * static_cast<double>(tick.count()) / 1000.0;
    return std::poisson_distribution<int>(mean)(random_->engine());
}

int CallSource::drawRoute()
{
    return std::discrete_distribution<int>(routeWeights_.begin(),
                                           routeWeights_.end())(random_->engine());
}

double CallSource::loadFactor(const Version &version) const
{
    double meanMs = 0;
    for (const double latency : routeLatencyMs_)
        meanMs += latency / static_cast<double>(routeLatencyMs_.size());
    const double slots = scenario_->deployment.slots * static_cast<double>(version.servers.size());
    const double utilization = version.callRate * meanMs / 1000.0 / slots;
    return 1.0 / std::sqrt(1.0 - std::min(utilization, 0.9));
}

CallSource::Server &CallSource::pickServer(Version &version, int dataCentre)
{
    std::vector<Server *> localServers;
    for (Server &server : version.servers)
        if (server.dataCentre == dataCentre)
            localServers.push_back(&server);
    if (localServers.empty())
        return version.servers[random_->below(version.servers.size())];
    return *localServers[random_->below(localServers.size())];
}

bool CallSource::isDefective(Side side, int route, int dataCentre, std::int64_t sinceStartMs) const
{
    if (side == Side::Old || isGood(scenario_->defect))
        return false;
    switch (scenario_->defect) {
    case Defect::FailLate:
    case Defect::SlowLate:
        return sinceStartMs >= scenario_->defectStartMs;
    case Defect::FailUnderLoad:
    case Defect::SlowUnderLoad:
        return versions_[1].callRate >= scenario_->defectLoadFraction * scenario_->callRate;
    case Defect::FailOneRoute:
    case Defect::SlowOneRoute:
        return route == scenario_->defectRoute;
    case Defect::FailOneDataCentre:
    case Defect::SlowOneDataCentre:
        return dataCentre == scenario_->defectDataCentre;
    default:
        return true;
    }
}

void CallSource::addCommonFault(CallOutcome &outcome, double &slowdown, int dataCentre,
                                std::int64_t sinceStartMs)
{
    if (!scenario_->commonFault.contains(sinceStartMs)
        && !scenario_->secondCommonFault.contains(sinceStartMs))
        return;
    if (scenario_->commonFaultDataCentre >= 0 && scenario_->commonFaultDataCentre != dataCentre)
        return;
    slowdown *= scenario_->commonFaultSlowFactor;
    outcome.isFailure = outcome.isFailure || random_->chance(scenario_->commonFaultFailRate);
}

CallOutcome CallSource::drawOutcome(Side side, int route, int dataCentre, std::int64_t sinceStartMs)
{
    Version &version = versions_[static_cast<std::size_t>(side)];
    version.tickCalls += 1;
    Server &server = pickServer(version, dataCentre);
    CallOutcome outcome;
    outcome.isExposed = isDefective(side, route, dataCentre, sinceStartMs);
    outcome.isFailure = random_->chance(baseFailRate_);
    double slowdown = server.slowness * loadFactor(version);
    const auto answered = static_cast<double>(server.answered++);
    outcome.isCold = server.answered <= detail::coldCalls;
    slowdown *= outcome.isCold
            ? detail::coldSlowdown
            : 1.0 + (detail::warmUpSlowdown - 1.0) * std::exp(-answered / detail::warmUpCalls);
    const double noise = detail::latencySpread * detail::drawNormal(*random_);
    const double defectSlowdown = outcome.isExposed ? scenario_->slowFactor : 1.0;
    if (outcome.isExposed && scenario_->failRate > 0) {
        const bool isDefectFailure = random_->chance(scenario_->failRate);
        outcome.isFailure = outcome.isFailure || isDefectFailure;
        const double tolerated = baseFailRate_ + detail::toleratedFailureRate;
        outcome.trueLogOdds = isDefectFailure
                ? std::log(scenario_->failRate / tolerated)
                : std::log((1.0 - scenario_->failRate) / (1.0 - tolerated));
    } else if (outcome.isExposed && defectSlowdown > 1.0 && !outcome.isCold) {
        const double shift
                = std::log(defectSlowdown / detail::toleratedSlowdown) / detail::latencySpread;
        const double standardScore = noise / detail::latencySpread + shift;
        outcome.trueLogOdds = standardScore * shift - shift * shift / 2.0;
    }
    if (scenario_->crashAtMs > 0 && (side == Side::New) == scenario_->crashesNewVersion
        && &server == version.servers.data())
        outcome.isFailure = outcome.isFailure
                || (scenario_->crashAtMs <= sinceStartMs
                    && sinceStartMs < scenario_->crashAtMs + detail::crashDurationMs);
    addCommonFault(outcome, slowdown, dataCentre, sinceStartMs);
    if (random_->chance(detail::stallProbability))
        server.stalledUntilMs
                = sinceStartMs + static_cast<std::int64_t>(random_->below(detail::maxStallMs));
    const double stall
            = static_cast<double>(std::max<std::int64_t>(0, server.stalledUntilMs - sinceStartMs));
    const double latencyMs
            = std::min(detail::maxLatencyMs,
                       stall
                               + routeLatencyMs_[static_cast<std::size_t>(route)] * slowdown
                                       * defectSlowdown * std::exp(noise));
    outcome.latency = Microseconds(static_cast<std::int64_t>(latencyMs * 1000.0));
    return outcome;
}

void CallSource::endTick(Milliseconds tick)
{
    for (Version &version : versions_) {
        const double rate = static_cast<double>(version.tickCalls) * 1000.0
                / static_cast<double>(tick.count());
        version.callRate += detail::rateSmoothing * (rate - version.callRate);
        version.tickCalls = 0;
    }
}

} // namespace cornelhead::simulation
