// Counts what may speak against a version: failures, shed calls, slow answers.
#pragma once

#include <array>
#include <cstddef>
#include <string>
#include <utility>

#include "cornelhead/rollout/outcome.h"
#include "cornelhead/rollout/sequential-test.h"

namespace cornelhead::detail {

/// Failures, shed calls, the whole of the latencies over several data centres and within one, and
/// answers slower than each latency bound.
constexpr std::size_t failureEvent = 0;
constexpr std::size_t shedEvent = 1;
constexpr std::size_t latencyEvent = 2;
constexpr std::size_t localLatencyEvent = 3;
constexpr std::size_t firstBoundEvent = 4;
constexpr std::size_t eventKindCount = firstBoundEvent + latencyBuckets - 1;

/// Sums of both versions.
struct VersionSums
{
    OutcomeSums newer;
    OutcomeSums older;
};

/// Returns the calls that a server ran or that broke, all but those it shed.
double answeredCalls(const OutcomeSums &sums);
/// Returns the answers with a latency.
double timedCalls(const OutcomeSums &sums);
Tolerance toleranceOf(std::size_t kind);
/// Tells whether `kind` is about the whole of the latencies.
bool isLatencyEvent(std::size_t kind);
/// Returns the factor by which the new version's answers may be slower.
///
/// Within one data centre a few hosts make the difference, so more is tolerated there.
double toleratedSlowdown(std::size_t kind);
/// Splits calls by whether the event happened; not when `isLatencyEvent`.
ComparedCalls countEvents(const VersionSums &sums, std::size_t kind);
/// Returns the old version's events and calls with the tolerance counted in.
std::pair<double, double> toleratedEvents(const OutcomeSums &baseline, std::size_t kind);
/// Returns the tolerated rate to expect after `baseline`.
double expectedRate(const OutcomeSums &baseline, std::size_t kind);
/// Tells whether the old version's baseline says enough of `kind` to test it.
bool isWorthTesting(const OutcomeSums &baseline, std::size_t kind);
/// Renders the numbers of both versions, such as "calls failed: 4 of 12 (33.3 %) of ...".
std::string describeEvents(const VersionSums &sums, std::size_t kind, const std::string &oldWhen);

} // namespace cornelhead::detail
