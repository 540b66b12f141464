// Runs the controller, the circuit breakers and a fake of the platform's record on simulated calls.
#include "rollout/simulated-move.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <optional>
#include <variant>

#include "cornelhead/rollout/controller.h"
#include "cornelhead/rollout/move-actions.h"
#include "cornelhead/rollout/share-schedule.h"
#include "rollout/simulated-calls.h"
#include "rollout/threshold-controller.h"

namespace cornelhead::simulation {
namespace detail {
namespace {

constexpr Milliseconds tick = Milliseconds(100);
constexpr std::int64_t startMs = 1'000'000'000;
constexpr std::int64_t reportIntervalMs = 500;
constexpr std::int64_t maxRecordDelayMs = 250;
/// Maximum number of ticks until a call ends.
constexpr std::size_t maxCallTicks = 32;
/// Log-odds at which an optimal test, given the rates of the defect but not its kind and
/// place, is certain: 250 to 1, times 2 kinds (failing or slow), times 8 places (all calls, one of
/// four routes, or one of three data centres).
const double certainLogOdds = std::log(250.0 * 2.0 * (1.0 + 4.0 + 3.0));

const ServiceId service("bookings");
const VersionId oldVersion("v1");
const VersionId newVersion("v2");

void require(bool isValid, const char *invariant, const Scenario &scenario)
{
    if (isValid)
        return;
    std::cerr << "violated invariant: " << invariant << "; kind " << defectName(scenario.defect)
              << ", seed " << scenario.seed << '\n';
    std::abort();
}

double uniform(Random &random, double low, double high)
{
    return low + (high - low) * random.unit();
}

double logUniform(Random &random, double low, double high)
{
    return std::exp(uniform(random, std::log(low), std::log(high)));
}

TimeSpan drawSpan(Random &random, std::int64_t withinMs, std::int64_t minMs, std::int64_t maxMs)
{
    const auto fromMs
            = static_cast<std::int64_t>(random.below(static_cast<std::uint64_t>(withinMs)));
    const auto lengthMs
            = static_cast<std::int64_t>(random.below(static_cast<std::uint64_t>(maxMs - minMs)));
    return {fromMs, fromMs + minMs + lengthMs};
}

bool isFailureKind(Defect defect)
{
    return defect == Defect::FailNow || defect == Defect::FailLate
            || defect == Defect::FailUnderLoad || defect == Defect::FailOneRoute
            || defect == Defect::FailOneDataCentre;
}

bool isPartial(Defect defect)
{
    return defect == Defect::FailOneRoute || defect == Defect::SlowOneRoute
            || defect == Defect::FailOneDataCentre || defect == Defect::SlowOneDataCentre;
}

void drawDefect(Scenario &scenario, Random &random)
{
    const Defect defect = scenario.defect;
    if (isFailureKind(defect))
        scenario.failRate
                = isPartial(defect) ? uniform(random, 0.2, 0.8) : uniform(random, 0.08, 0.6);
    else
        scenario.slowFactor = uniform(random, 2.5, 8.0);
    scenario.defectRoute = static_cast<int>(
            random.below(static_cast<std::uint64_t>(scenario.deployment.routes)));
    scenario.defectDataCentre
            = static_cast<int>(random.below(scenario.deployment.dataCentres.size()));
    const double lateMs = static_cast<double>(scenario.moveMs)
            + static_cast<double>(watchMs(scenario.moveMs)) / 3.0;
    scenario.defectStartMs = static_cast<std::int64_t>(
            uniform(random, 0.3 * static_cast<double>(scenario.moveMs), lateMs));
    scenario.defectLoadFraction = uniform(random, 0.1, 0.8);
}

void drawFaults(Scenario &scenario, Random &random)
{
    const std::int64_t totalMs = scenario.moveMs + watchMs(scenario.moveMs);
    scenario.reportLossProbability = random.chance(0.5) ? uniform(random, 0.0, 0.1) : 0.0;
    scenario.reportDelayMs = static_cast<std::int64_t>(uniform(random, 100, 500));
    scenario.answerLossProbability = random.chance(0.3) ? 0.3 : 0.0;
    if (random.chance(0.2))
        scenario.controllerGap = drawSpan(random, totalMs, 1'000, 4'000);
    if (random.chance(0.1))
        scenario.platformOutage = drawSpan(random, totalMs, 500, 3'000);
    if (random.chance(0.1)) {
        scenario.partition = drawSpan(random, totalMs, 2'000, 20'000);
        scenario.partitionedDataCentre
                = static_cast<int>(random.below(scenario.deployment.dataCentres.size()));
    }
    if (random.chance(0.3)) {
        scenario.loadChange = drawSpan(random, totalMs, 5'000, 60'000);
        scenario.loadMultiplier = uniform(random, 0.5, 1.6);
    }
    scenario.hasDifferentHosts = random.chance(0.5);
    if (random.chance(0.2)) {
        scenario.crashAtMs = drawSpan(random, totalMs, 1, 2).fromMs + 1;
        scenario.crashesNewVersion = random.chance(0.5);
    }
}

void drawCommonFault(Scenario &scenario, Random &random)
{
    scenario.commonFault = drawSpan(random, scenario.moveMs + watchMs(scenario.moveMs), 500, 8'000);
    if (random.chance(0.3))
        scenario.secondCommonFault
                = drawSpan(random, scenario.moveMs + watchMs(scenario.moveMs), 500, 8'000);
    if (random.chance(0.5))
        scenario.commonFaultDataCentre
                = static_cast<int>(random.below(scenario.deployment.dataCentres.size()));
    if (random.chance(0.5))
        scenario.commonFaultFailRate = uniform(random, 0.1, 1.0);
    else
        scenario.commonFaultSlowFactor = uniform(random, 2.0, 10.0);
}

/// A fake of the platform that stores the record of the move.
class FakeMoveStore
{
public:
    FakeMoveStore(Move initial, const Scenario &scenario) : scenario_(&scenario)
    {
        initial.modRevision = ModRevision(1);
        writes_.push_back({startMs, std::move(initial)});
    }

    const Move &latest() const { return writes_.back().second; }
    const std::vector<std::pair<std::int64_t, Move>> &writes() const { return writes_; }

    /// Compare-and-swap: writes `next` unless its revision is no longer the latest.
    bool write(Move next, std::int64_t nowMs)
    {
        if (next.modRevision != latest().modRevision)
            return false;
        require(!isFinal(latest().state), "a final record must not change", *scenario_);
        require(next.share <= latest().share || next.state != MoveState::RolledBack,
                "a rollback must not raise the share", *scenario_);
        require(decodeMove(encodeMove(next)).has_value(), "every record can be decoded",
                *scenario_);
        next.modRevision = latest().modRevision.next();
        writes_.emplace_back(nowMs, std::move(next));
        return true;
    }

private:
    const Scenario *scenario_;
    std::vector<std::pair<std::int64_t, Move>> writes_;
};

using RouteSums = std::vector<std::array<OutcomeSums, 2>>;

/// A node: the last write that it received, its circuit breaker, and its outcomes.
struct Node
{
    int dataCentre = 0;
    std::int64_t reportOffsetMs = 0;
    std::size_t lastReceivedWrite = 0;
    LocalCircuitBreaker breaker;
    bool isTripped = false;
    /// Outcomes by route and version, in a ring buffer indexed by the tick in which the call ends.
    std::array<RouteSums, maxCallTicks> outcomesByEndTick;
    RouteSums unreported;
};

/// A report in transit to the controllers.
struct Report
{
    std::int64_t arrivesAtMs = 0;
    OutcomeBatch outcomes;
};

using Controller = std::variant<MoveController, ThresholdController>;

Controller makeController(Judge judge)
{
    if (judge == Judge::Threshold)
        return ThresholdController();
    return MoveController(judge == Judge::Legacy ? JudgementRules::Legacy
                                                 : JudgementRules::Current);
}

class SimulatedRun
{
public:
    explicit SimulatedRun(const Scenario &scenario)
        : scenario_(scenario), random_(scenario.seed), source_(scenario_, random_),
          store_(initialRecord(scenario), scenario_), controller_(makeController(scenario.judge))
    {
        for (int i = 0; i < scenario_.deployment.nodes; ++i)
            addNode(i);
        result_.startMs = startMs;
        result_.deadlineMs = startMs + scenario_.moveMs;
        observe();
    }

    RunResult run()
    {
        const std::int64_t endMs
                = startMs + 2 * scenario_.moveMs + 3 * watchMs(scenario_.moveMs) + 10'000;
        while (nowMs_ < endMs && !isOver())
            step();
        result_.end = store_.latest().state;
        result_.fullShareAtMs = store_.latest().fullShareAtMs;
        result_.verdict = store_.latest().verdict;
        result_.record = store_.latest();
        return result_;
    }

private:
    static Move initialRecord(const Scenario &scenario)
    {
        return startMove(std::nullopt, {service, oldVersion, newVersion, startMs + scenario.moveMs},
                         {EditId("start"), startMs})
                .value();
    }

    void addNode(int index)
    {
        Node node;
        node.dataCentre = index % static_cast<int>(scenario_.deployment.dataCentres.size());
        node.reportOffsetMs
                = static_cast<std::int64_t>(random_.below(reportIntervalMs / 100)) * 100;
        const auto routes = static_cast<std::size_t>(scenario_.deployment.routes);
        for (RouteSums &sums : node.outcomesByEndTick)
            sums.resize(routes);
        node.unreported.resize(routes);
        nodes_.push_back(std::move(node));
    }

    std::int64_t sinceStartMs() const { return nowMs_ - startMs; }

    bool isOver() const
    {
        // Leaves time for every connected node to receive the final record.
        return isFinal(store_.latest().state)
                && nowMs_ > store_.writes().back().first + 2 * maxRecordDelayMs;
    }

    bool isPartitioned(int dataCentre) const
    {
        return dataCentre == scenario_.partitionedDataCentre
                && scenario_.partition.contains(sinceStartMs());
    }

    void step()
    {
        nowMs_ += tick.count();
        tickIndex_ += 1;
        for (Node &node : nodes_) {
            receiveRecord(node);
            sendCalls(node);
            endCalls(node);
            report(node);
        }
        source_.endTick(tick);
        deliverReports();
        control();
    }

    void receiveRecord(Node &node)
    {
        if (isPartitioned(node.dataCentre))
            return;
        while (node.lastReceivedWrite + 1 < store_.writes().size()) {
            const auto &[atMs, move] = store_.writes()[node.lastReceivedWrite + 1];
            if (atMs + static_cast<std::int64_t>(random_.below(maxRecordDelayMs)) > nowMs_)
                return;
            node.lastReceivedWrite += 1;
            node.breaker.observe(move);
        }
    }

    void sendCalls(Node &node)
    {
        const Move &received = store_.writes()[node.lastReceivedWrite].second;
        const int calls = source_.drawCalls(sinceStartMs(), tick);
        const bool isTripped
                = scenario_.judge != Judge::Threshold && node.breaker.isTripped(service);
        result_.trippedNodes += isTripped && !node.isTripped ? 1 : 0;
        node.isTripped = isTripped;
        for (int i = 0; i < calls; ++i) {
            const bool isNew = !isTripped && random_.below(1000) < received.share.value();
            sendCall(node, isNew ? Side::New : Side::Old);
        }
    }

    void sendCall(Node &node, Side side)
    {
        const int route = source_.drawRoute();
        const CallOutcome outcome
                = source_.drawOutcome(side, route, node.dataCentre, sinceStartMs());
        result_.calls += 1;
        result_.exposedCalls += outcome.isExposed ? 1 : 0;
        if (side == Side::New && !isPartitioned(node.dataCentre))
            result_.lastNewCallAtMs = nowMs_;
        updateTrueLogOdds(outcome);
        const auto ticks = static_cast<std::size_t>(outcome.latency.count() / 1000 / tick.count());
        const std::size_t end = (tickIndex_ + std::min(ticks, maxCallTicks - 1)) % maxCallTicks;
        OutcomeSums &sums = node.outcomesByEndTick[end][static_cast<std::size_t>(route)]
                                                  [static_cast<std::size_t>(side)];
        sums.calls += 1;
        sums.failures += outcome.isFailure ? 1 : 0;
        if (outcome.isCold)
            sums.cold += 1;
        else
            sums.latencies[latencyBucket(outcome.latency)] += 1;
    }

    void updateTrueLogOdds(const CallOutcome &outcome)
    {
        // Resets evidence from before the onset of the defect.
        trueLogOdds_ = std::max(0.0, trueLogOdds_ + outcome.trueLogOdds);
        if (result_.detectableAtMs == 0 && trueLogOdds_ >= certainLogOdds)
            result_.detectableAtMs = nowMs_;
    }

    void endCalls(Node &node)
    {
        RouteSums &ended = node.outcomesByEndTick[tickIndex_ % maxCallTicks];
        for (std::size_t route = 0; route < ended.size(); ++route) {
            for (std::size_t side = 0; side < 2; ++side) {
                node.unreported[route][side].add(ended[route][side]);
                ended[route][side] = {};
            }
        }
    }

    void report(Node &node)
    {
        if (nowMs_ % reportIntervalMs != node.reportOffsetMs)
            return;
        OutcomeBatch batch;
        for (std::size_t route = 0; route < node.unreported.size(); ++route) {
            for (std::size_t side = 0; side < 2; ++side) {
                OutcomeSums &sums = node.unreported[route][side];
                if (sums.calls > 0)
                    batch[keyOf(node, route, side)] = sums;
                sums = {};
            }
        }
        if (scenario_.judge != Judge::Threshold)
            node.breaker.addEvidence(batch, nowMs_);
        if (isPartitioned(node.dataCentre) || random_.chance(scenario_.reportLossProbability))
            return;
        const auto delay = static_cast<std::uint64_t>(scenario_.reportDelayMs);
        reports_.push_back(
                {nowMs_ + 20 + static_cast<std::int64_t>(random_.below(delay)), std::move(batch)});
    }

    OutcomeKey keyOf(const Node &node, std::size_t route, std::size_t side) const
    {
        const auto dataCentre = static_cast<std::size_t>(node.dataCentre);
        return {service, side == 1 ? newVersion : oldVersion, RouteId("/r" + std::to_string(route)),
                DataCentreId(scenario_.deployment.dataCentres[dataCentre])};
    }

    void deliverReports()
    {
        OutcomeBatch arrived;
        std::erase_if(reports_, [&](const Report &report) {
            if (report.arrivesAtMs > nowMs_)
                return false;
            mergeOutcomes(arrived, report.outcomes);
            return true;
        });
        if (!scenario_.controllerGap.contains(sinceStartMs()))
            std::visit([&](auto &controller) { controller.addEvidence(arrived, nowMs_); },
                       controller_);
    }

    void observe()
    {
        std::visit([&](auto &controller) { controller.observe(store_.latest()); }, controller_);
    }

    void control()
    {
        const bool isControllerDown = scenario_.controllerGap.contains(sinceStartMs());
        if (isControllerDown != wasControllerDown_ && !isControllerDown)
            controller_ = makeController(scenario_.judge);
        wasControllerDown_ = isControllerDown;
        if (isControllerDown || scenario_.platformOutage.contains(sinceStartMs()))
            return;
        observe();
        const auto next = std::visit(
                [&](auto &controller) { return controller.next(service, nowMs_); }, controller_);
        if (!next)
            return;
        if (store_.write(*next, nowMs_) && !random_.chance(scenario_.answerLossProbability))
            observe();
        updateResult();
    }

    void updateResult()
    {
        const Move &latest = store_.latest();
        if (latest.share > result_.lastShare && result_.detectableAtMs > 0
            && nowMs_ > result_.detectableAtMs + 1'000)
            result_.isRaisedAfterDetectable = true;
        result_.lastShare = latest.share;
        result_.maxShare = std::max(result_.maxShare, latest.share);
        if (latest.state == MoveState::RolledBack)
            result_.takenBackAtMs = nowMs_;
    }

    Scenario scenario_;
    Random random_;
    CallSource source_;
    FakeMoveStore store_;
    Controller controller_;
    std::vector<Node> nodes_;
    std::vector<Report> reports_;
    RunResult result_;
    std::int64_t nowMs_ = startMs;
    std::size_t tickIndex_ = 0;
    double trueLogOdds_ = 0;
    bool wasControllerDown_ = false;
};

} // namespace
} // namespace detail

std::string_view defectName(Defect defect)
{
    switch (defect) {
    case Defect::None:
        return "good";
    case Defect::NoneCommonFault:
        return "good-common-fault";
    case Defect::FailNow:
        return "fail-now";
    case Defect::SlowNow:
        return "slow-now";
    case Defect::FailLate:
        return "fail-late";
    case Defect::SlowLate:
        return "slow-late";
    case Defect::FailUnderLoad:
        return "fail-under-load";
    case Defect::SlowUnderLoad:
        return "slow-under-load";
    case Defect::FailOneRoute:
        return "fail-one-route";
    case Defect::SlowOneRoute:
        return "slow-one-route";
    case Defect::FailOneDataCentre:
        return "fail-one-dc";
    case Defect::SlowOneDataCentre:
        return "slow-one-dc";
    }
    return "unknown";
}

bool isGood(Defect defect)
{
    return defect == Defect::None || defect == Defect::NoneCommonFault;
}

bool isImmediate(Defect defect)
{
    return defect == Defect::FailNow || defect == Defect::SlowNow || detail::isPartial(defect);
}

Deployment paperfold()
{
    return {"paperfold", {"akl-a", "akl-b", "hlz-a"}, 4, 14, 10, 4};
}

Deployment association()
{
    return {"association", {"tt-a", "tt-b", "tt-c", "tt-d"}, 4, 16, 12, 3};
}

Scenario drawScenario(const Deployment &deployment, Defect defect, std::uint64_t seed,
                      bool lowTraffic)
{
    Random random(seed);
    Scenario scenario;
    scenario.deployment = deployment;
    scenario.defect = defect;
    scenario.seed = seed;
    scenario.moveMs = static_cast<std::int64_t>(detail::logUniform(random, 15'000, 90'000));
    scenario.callRate
            = lowTraffic ? detail::logUniform(random, 1, 10) : detail::logUniform(random, 60, 400);
    if (!isGood(defect))
        detail::drawDefect(scenario, random);
    detail::drawFaults(scenario, random);
    if (defect == Defect::NoneCommonFault)
        detail::drawCommonFault(scenario, random);
    return scenario;
}

RunResult runMove(const Scenario &scenario)
{
    return detail::SimulatedRun(scenario).run();
}

} // namespace cornelhead::simulation
