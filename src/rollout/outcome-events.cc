// Counts the events in call outcomes and describes them.
#include "cornelhead/rollout/outcome-events.h"

#include <algorithm>
#include <cmath>
#include <numeric>

#include "cornelhead/rollout/judgement.h"

namespace cornelhead::detail {
namespace {

/// A failure rate above the old version's by at most this is tolerated.
constexpr double toleratedFailureRate = 0.005;
/// Higher, since shed calls depend on capacity more than on the version.
constexpr double toleratedShedRate = 0.1;
constexpr double toleratedSlowRate = 0.02;
/// Factors by which responses may be slower, since hosts differ in speed.
constexpr double toleratedGlobalSlowdown = 1.5;
constexpr double toleratedLocalSlowdown = 1.75;
/// A latency bound is tested while the old version's rate of slower responses is in this range.
constexpr double minSlowRate = 0.005;
constexpr double maxSlowRate = 0.6;
constexpr double minBaselineCalls = 30;

double countSlowerThan(const OutcomeSums &sums, std::size_t bound)
{
    double slow = 0;
    for (std::size_t i = bound + 1; i < latencyBuckets; ++i)
        slow += static_cast<double>(sums.latencies[i]);
    return slow;
}

std::string countText(double events, double calls)
{
    const double rate = calls > 0 ? events / calls : 0;
    return std::to_string(static_cast<std::uint64_t>(events)) + " of "
            + std::to_string(static_cast<std::uint64_t>(calls)) + " (" + renderPercent(rate) + ")";
}

std::string kindText(std::size_t kind)
{
    if (kind == failureEvent)
        return "calls failed";
    if (kind == shedEvent)
        return "calls were shed";
    const Microseconds bound = firstLatencyBound * (1 << (kind - firstBoundEvent));
    return "answers took longer than " + std::to_string(bound.count()) + " us";
}

// Returns the kind of the latency bound at which the rates of both versions differ most.
std::size_t mostDifferentBound(const VersionSums &sums)
{
    std::size_t bestKind = firstBoundEvent;
    double maxGap = -1;
    for (std::size_t kind = firstBoundEvent; kind < eventKindCount; ++kind) {
        const std::size_t bound = kind - firstBoundEvent;
        const double gap
                = countSlowerThan(sums.newer, bound) / std::max(1.0, timedCalls(sums.newer))
                - countSlowerThan(sums.older, bound) / std::max(1.0, timedCalls(sums.older));
        if (gap <= maxGap)
            continue;
        maxGap = gap;
        bestKind = kind;
    }
    return bestKind;
}

} // namespace

double answeredCalls(const OutcomeSums &sums)
{
    return static_cast<double>(sums.calls - std::min(sums.calls, sums.shed));
}

double timedCalls(const OutcomeSums &sums)
{
    return static_cast<double>(
            std::accumulate(sums.latencies.begin(), sums.latencies.end(), std::uint64_t(0)));
}

bool isLatencyEvent(std::size_t kind)
{
    return kind == latencyEvent || kind == localLatencyEvent;
}

double toleratedSlowdown(std::size_t kind)
{
    return kind == localLatencyEvent ? toleratedLocalSlowdown : toleratedGlobalSlowdown;
}

Tolerance toleranceOf(std::size_t kind)
{
    if (kind == failureEvent)
        return {toleratedFailureRate, 0};
    if (kind == shedEvent)
        return {toleratedShedRate, 0};
    return {toleratedSlowRate, std::log2(toleratedSlowdown(kind))};
}

ComparedCalls countEvents(const VersionSums &sums, std::size_t kind)
{
    ComparedCalls calls;
    const OutcomeSums &newer = sums.newer;
    const OutcomeSums &older = sums.older;
    if (kind == failureEvent) {
        calls.newEvents = static_cast<double>(newer.failures);
        calls.newNonEvents = std::max(0.0, answeredCalls(newer) - calls.newEvents);
        calls.oldEvents = static_cast<double>(older.failures);
        calls.oldNonEvents = std::max(0.0, answeredCalls(older) - calls.oldEvents);
    } else if (kind == shedEvent) {
        calls.newEvents = static_cast<double>(newer.shed);
        calls.newNonEvents = answeredCalls(newer);
        calls.oldEvents = static_cast<double>(older.shed);
        calls.oldNonEvents = answeredCalls(older);
    } else {
        const std::size_t bound = kind - firstBoundEvent;
        calls.newEvents = countSlowerThan(newer, bound);
        calls.newNonEvents = timedCalls(newer) - calls.newEvents;
        calls.oldEvents = countSlowerThan(older, bound);
        calls.oldBorderline = static_cast<double>(older.latencies[bound]);
        calls.oldNonEvents = timedCalls(older) - calls.oldEvents - calls.oldBorderline;
    }
    return calls;
}

std::pair<double, double> toleratedEvents(const OutcomeSums &baseline, std::size_t kind)
{
    const ComparedCalls calls = countEvents({{}, baseline}, kind);
    const Tolerance tolerance = toleranceOf(kind);
    const double total = calls.oldEvents + calls.oldBorderline + calls.oldNonEvents;
    const double events = calls.oldEvents + tolerance.borderlineWeight * calls.oldBorderline;
    return {events + tolerance.extraRate * (total - events), total};
}

double expectedRate(const OutcomeSums &baseline, std::size_t kind)
{
    const auto [events, calls] = toleratedEvents(baseline, kind);
    return (events + toleranceOf(kind).extraRate) / (calls + 1.0);
}

bool isWorthTesting(const OutcomeSums &baseline, std::size_t kind)
{
    if (kind < latencyEvent)
        return true;
    const double calls = timedCalls(baseline);
    if (isLatencyEvent(kind) || calls < minBaselineCalls)
        return calls >= minBaselineCalls;
    const double slow = countSlowerThan(baseline, kind - firstBoundEvent);
    // Also tests the first bound that the old version hardly ever exceeds.
    const double atLeast = slow + static_cast<double>(baseline.latencies[kind - firstBoundEvent]);
    return slow < maxSlowRate * calls && atLeast > minSlowRate * calls;
}

std::string describeEvents(const VersionSums &sums, std::size_t kind, const std::string &oldWhen)
{
    const std::size_t describedKind = isLatencyEvent(kind) ? mostDifferentBound(sums) : kind;
    const ComparedCalls calls = countEvents(sums, describedKind);
    return kindText(describedKind) + ": "
            + countText(calls.newEvents, calls.newEvents + calls.newNonEvents)
            + " of the new version against "
            + countText(calls.oldEvents, calls.oldEvents + calls.oldBorderline + calls.oldNonEvents)
            + " of the old version " + oldWhen;
}

} // namespace cornelhead::detail
