// Measures how accurately moves are judged in simulated runs, compared with baselines.
#include <algorithm>
#include <cmath>
#include <cstdio>
#include <iostream>
#include <limits>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "cornelhead/base/settings.h"
#include "cornelhead/rollout/share-schedule.h"
#include "rollout/simulated-move.h"

namespace cornelhead::simulation {
namespace {

const std::string usage = R"(Measures the judgement of moves over generated runs.

Usage: cornelhead-measure-moves [options]

Options:
  --deployment NAME  paperfold or association. [default: paperfold]
  --seed S           Seed of the first run. [default: 1]
  --runs N           Runs of each kind. [default: 200]
  --threads N        Runs at a time. [default: 2]
  --kind NAME        Only this kind; "all" for every one. [default: all]
  --only-moves       Leave out the baselines and low traffic.
  --call-rate N      Calls a second of every run, in place of 60 to 400.
  --replay SEED      Run only the scenario of that seed and --kind, and print its record.
  --show             Print each run of a wrong verdict.
  --help             Show this text.
  --version          Show the version.
)";

constexpr std::array allKinds = {
        Defect::None,          Defect::NoneCommonFault,   Defect::FailNow,
        Defect::SlowNow,       Defect::FailLate,          Defect::SlowLate,
        Defect::FailUnderLoad, Defect::SlowUnderLoad,     Defect::FailOneRoute,
        Defect::SlowOneRoute,  Defect::FailOneDataCentre, Defect::SlowOneDataCentre,
};

/// A fraction of all runs, with its 95 % confidence interval (Wilson score).
struct Proportion
{
    std::size_t hits = 0;
    std::size_t total = 0;

    void add(bool hit)
    {
        hits += hit ? 1 : 0;
        total += 1;
    }
    void add(const Proportion &other)
    {
        hits += other.hits;
        total += other.total;
    }
    std::string text() const
    {
        if (total == 0)
            return "none";
        constexpr double z = 1.96;
        const double n = static_cast<double>(total);
        const double p = static_cast<double>(hits) / n;
        const double centre = (p + z * z / (2 * n)) / (1 + z * z / n);
        const double halfWidth
                = z * std::sqrt(p * (1 - p) / n + z * z / (4 * n * n)) / (1 + z * z / n);
        std::array<char, 80> out{};
        std::snprintf(out.data(), out.size(), "%.2f%%[%.2f,%.2f]", p * 100,
                      std::max(0.0, centre - halfWidth) * 100,
                      std::min(1.0, centre + halfWidth) * 100);
        return out.data();
    }
};

/// Sampled values; quantiles have a 95 % confidence interval from order statistics.
struct Sample
{
    std::vector<double> values;

    std::string quantile(double q) const
    {
        if (values.empty())
            return "none";
        std::vector<double> sorted = values;
        std::sort(sorted.begin(), sorted.end());
        const double n = static_cast<double>(sorted.size());
        const double halfWidth = 1.96 * std::sqrt(n * q * (1 - q));
        const auto at = [&](double rank) {
            const double bounded = std::clamp(rank, 0.0, n - 1);
            return sorted[static_cast<std::size_t>(bounded)];
        };
        std::array<char, 80> out{};
        std::snprintf(out.data(), out.size(), "%.2f[%.2f,%.2f]", at(n * q), at(n * q - halfWidth),
                      at(n * q + halfWidth));
        return out.data();
    }
    double mean() const
    {
        double sum = 0;
        for (const double value : values)
            sum += value;
        return values.empty() ? 0 : sum / static_cast<double>(values.size());
    }
    double max() const
    {
        return values.empty() ? 0 : *std::max_element(values.begin(), values.end());
    }
    void add(const Sample &other)
    {
        values.insert(values.end(), other.values.begin(), other.values.end());
    }
};

/// Aggregated results of many runs.
struct Totals
{
    Proportion goodInTime;
    Proportion falseRollback;
    Proportion badRolledBack;
    /// Only runs whose defect was statistically detectable given the true rates.
    Proportion detectableRolledBack;
    Proportion aboveFirstShare;
    Proportion raisedAfterDetectable;
    /// Runs in which the judgement, not the deadline, raised the share of an immediately bad
    /// version.
    Proportion clearedWrongly;
    Sample badSharePct;
    Sample exposedPct;
    Sample secondsToZero;
    std::size_t trippedNodes = 0;

    void add(const Scenario &scenario, const RunResult &run);
    void add(const Totals &other);
    std::string text() const;
};

bool isClearedWrongly(const Move &move)
{
    const std::string reason(raiseReasonText(RaiseReason::Cleared));
    return std::any_of(move.events.begin(), move.events.end(), [&](const MoveEvent &event) {
        return event.text.find(reason) != std::string::npos;
    });
}

void Totals::add(const Scenario &scenario, const RunResult &run)
{
    const bool isRolledBack = run.end == MoveState::RolledBack;
    if (isGood(scenario.defect)) {
        goodInTime.add(run.fullShareAtMs > 0 && run.fullShareAtMs <= run.deadlineMs
                       && !isRolledBack);
        falseRollback.add(isRolledBack);
        trippedNodes += static_cast<std::size_t>(run.trippedNodes);
        return;
    }
    badRolledBack.add(isRolledBack);
    if (run.detectableAtMs > 0)
        detectableRolledBack.add(isRolledBack);
    raisedAfterDetectable.add(run.isRaisedAfterDetectable);
    exposedPct.values.push_back(100.0 * static_cast<double>(run.exposedCalls)
                                / static_cast<double>(std::max<std::uint64_t>(1, run.calls)));
    if (isImmediate(scenario.defect)) {
        aboveFirstShare.add(run.maxShare > PerMille(50));
        clearedWrongly.add(isClearedWrongly(run.record));
        badSharePct.values.push_back(static_cast<double>(run.maxShare.value()) / 10.0);
    }
    if (isRolledBack && run.detectableAtMs > 0)
        secondsToZero.values.push_back(static_cast<double>(std::max<std::int64_t>(
                                               0, run.lastNewCallAtMs - run.detectableAtMs))
                                       / 1000.0);
}

void Totals::add(const Totals &other)
{
    goodInTime.add(other.goodInTime);
    falseRollback.add(other.falseRollback);
    badRolledBack.add(other.badRolledBack);
    detectableRolledBack.add(other.detectableRolledBack);
    aboveFirstShare.add(other.aboveFirstShare);
    raisedAfterDetectable.add(other.raisedAfterDetectable);
    clearedWrongly.add(other.clearedWrongly);
    badSharePct.add(other.badSharePct);
    exposedPct.add(other.exposedPct);
    secondsToZero.add(other.secondsToZero);
    trippedNodes += other.trippedNodes;
}

std::string Totals::text() const
{
    std::array<char, 80> exposed{};
    std::snprintf(exposed.data(), exposed.size(), "%.3f", exposedPct.mean());
    std::array<char, 80> share{};
    std::snprintf(share.data(), share.size(), "%.1f", badSharePct.max());
    return "good_in_time=" + goodInTime.text() + " bad_taken_back=" + badRolledBack.text()
            + " false_take_back=" + falseRollback.text() + " bad_share_max_pct=" + share.data()
            + " exposed_calls_pct=" + exposed.data()
            + " seconds_to_zero_p99=" + secondsToZero.quantile(0.99);
}

struct Options
{
    Deployment deployment;
    std::uint64_t seed = 0;
    std::size_t runs = 0;
    std::size_t threads = 0;
    bool showWrongRuns = false;
    /// Calls per second of every run; 0 draws the rate of each run.
    std::uint64_t callRate = 0;
};

bool isWrong(const Scenario &scenario, const RunResult &run)
{
    if (!isGood(scenario.defect))
        return run.end != MoveState::RolledBack;
    return run.end == MoveState::RolledBack || run.fullShareAtMs == 0
            || run.fullShareAtMs > run.deadlineMs;
}

void showRun(const Scenario &scenario, const RunResult &run)
{
    std::cout << "  run " << defectName(scenario.defect) << " seed " << scenario.seed << ": "
              << moveStateName(run.end) << ", " << scenario.callRate << " calls/s, fail "
              << scenario.failRate << ", slow " << scenario.slowFactor << ", under load "
              << scenario.defectLoadFraction << ", cut " << scenario.partitionedDataCentre
              << ", controller gap " << scenario.controllerGap.fromMs << " to "
              << scenario.controllerGap.toMs << ", common " << scenario.commonFault.fromMs << " to "
              << scenario.commonFault.toMs << ", load step " << scenario.loadMultiplier << ", move "
              << scenario.moveMs << ", shown " << run.detectableAtMs - run.startMs << '\n';
    for (const MoveEvent &event : run.record.events)
        std::cout << "    " << event.atMs - run.startMs << " ms, " << event.share.value() << ": "
                  << event.text << '\n';
}

Totals measure(const Options &options, Defect kind, Judge judge, bool lowTraffic)
{
    std::vector<Scenario> scenarios(options.runs);
    std::vector<RunResult> results(options.runs);
    for (std::size_t i = 0; i < options.runs; ++i) {
        const std::uint64_t seed
                = options.seed * 1'000'003 + i * 64 + static_cast<std::uint64_t>(kind);
        scenarios[i] = drawScenario(options.deployment, kind, seed, lowTraffic);
        scenarios[i].judge = judge;
        if (options.callRate > 0 && !lowTraffic)
            scenarios[i].callRate = static_cast<double>(options.callRate);
    }
    std::vector<std::thread> threads;
    for (std::size_t t = 0; t < options.threads; ++t)
        threads.emplace_back([&, t] {
            for (std::size_t i = t; i < options.runs; i += options.threads)
                results[i] = runMove(scenarios[i]);
        });
    for (std::thread &thread : threads)
        thread.join();
    Totals totals;
    for (std::size_t i = 0; i < options.runs; ++i) {
        totals.add(scenarios[i], results[i]);
        if (options.showWrongRuns && isWrong(scenarios[i], results[i]))
            showRun(scenarios[i], results[i]);
    }
    return totals;
}

Totals measureAll(const Options &options, const std::string &onlyKind, Judge judge, bool lowTraffic,
                  const std::string &title)
{
    Totals all;
    for (const Defect kind : allKinds) {
        if (onlyKind != "all" && onlyKind != defectName(kind))
            continue;
        const Totals totals = measure(options, kind, judge, lowTraffic);
        std::cout << title << ' ' << defectName(kind) << ' ';
        if (isGood(kind))
            std::cout << "in_time=" << totals.goodInTime.text()
                      << " false=" << totals.falseRollback.text()
                      << " false_brakes=" << totals.trippedNodes << '\n';
        else
            std::cout << "taken_back=" << totals.badRolledBack.text()
                      << " when_shown=" << totals.detectableRolledBack.text()
                      << " above_5pct=" << totals.aboveFirstShare.text()
                      << " cleared_wrongly=" << totals.clearedWrongly.text()
                      << " raised_after_shown=" << totals.raisedAfterDetectable.text()
                      << " exposed=" << totals.exposedPct.mean()
                      << " to_zero_p50=" << totals.secondsToZero.quantile(0.5)
                      << " p99=" << totals.secondsToZero.quantile(0.99) << '\n';
        std::cout.flush();
        all.add(totals);
    }
    return all;
}

int replay(const Options &options, const std::string &onlyKind, std::uint64_t seed)
{
    for (const Defect kind : allKinds) {
        if (onlyKind != defectName(kind))
            continue;
        const Scenario scenario = drawScenario(options.deployment, kind, seed, false);
        showRun(scenario, runMove(scenario));
    }
    return 0;
}

int runMeasure(int argc, const char *const *argv)
{
    Settings settings = Settings::parseOrExit(usage, argc, argv);
    Options options;
    const std::string name = settings.choice("--deployment", {"paperfold", "association"});
    options.deployment = name == "association" ? association() : paperfold();
    options.seed = static_cast<std::uint64_t>(settings.integer("--seed", 0, 1'000'000'000));
    options.runs = static_cast<std::size_t>(settings.integer("--runs", 1, 1'000'000));
    options.threads = static_cast<std::size_t>(settings.integer("--threads", 1, 64));
    options.showWrongRuns = settings.flag("--show");
    const std::string onlyKind = settings.text("--kind");
    if (settings.has("--call-rate"))
        options.callRate = settings.integer("--call-rate", 1, 100'000);
    const std::uint64_t replaySeed = settings.has("--replay")
            ? settings.integer("--replay", 0, std::numeric_limits<std::uint64_t>::max())
            : 0;
    settings.exitOnFaults();
    if (settings.has("--replay"))
        return replay(options, onlyKind, replaySeed);
    std::cout << "deployment " << name << ", seed " << options.seed << ", " << options.runs
              << " runs of each kind\n";
    if (settings.flag("--only-moves")) {
        const Totals current = measureAll(options, onlyKind, Judge::Current, false, "moves");
        std::cout << "moves " << current.text() << '\n';
        return 0;
    }
    const Totals baseline = measureAll(options, onlyKind, Judge::Threshold, false, "threshold");
    const Totals first = measureAll(options, onlyKind, Judge::Legacy, false, "first");
    const Totals low = measureAll(options, onlyKind, Judge::Current, true, "low-traffic");
    const Totals current = measureAll(options, onlyKind, Judge::Current, false, "moves");
    std::cout << "baseline-threshold " << baseline.text() << '\n';
    std::cout << "first-judgement " << first.text() << '\n';
    std::cout << "low-traffic " << low.text() << '\n';
    std::cout << "moves " << current.text() << '\n';
    return 0;
}

} // namespace
} // namespace cornelhead::simulation

int main(int argc, char **argv)
{
    return cornelhead::simulation::runMeasure(argc, argv);
}
