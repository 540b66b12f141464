// Counts the events that are tested as signs of a regression: failures, shed calls, slowness.
#pragma once

#include <array>
#include <cstddef>
#include <string>
#include <utility>

#include "cornelhead/rollout/outcome.h"
#include "cornelhead/rollout/sequential-test.h"

namespace cornelhead::detail {

/// Indices of the kinds of event: failures, shed calls, the latency histogram across data centres
/// and within one, and responses slower than each latency bound.
constexpr std::size_t failureEvent = 0;
constexpr std::size_t shedEvent = 1;
constexpr std::size_t latencyEvent = 2;
constexpr std::size_t localLatencyEvent = 3;
constexpr std::size_t firstBoundEvent = 4;
constexpr std::size_t eventKindCount = firstBoundEvent + latencyBuckets - 1;

struct VersionSums
{
    OutcomeSums newer;
    OutcomeSums older;
};

/// Returns the number of calls without those that a server shed.
double answeredCalls(const OutcomeSums &sums);
/// Returns the number of calls in the latency histogram.
double timedCalls(const OutcomeSums &sums);
Tolerance toleranceOf(std::size_t kind);
/// Returns whether `kind` compares whole latency histograms.
bool isLatencyEvent(std::size_t kind);
/// Returns the factor by which the new version's responses may be slower.
///
/// The factor is higher within one data centre, where the speed of a few hosts dominates.
double toleratedSlowdown(std::size_t kind);
/// Splits the calls by whether the event happened.  `kind` must not be a latency event.
ComparedCalls countEvents(const VersionSums &sums, std::size_t kind);
/// Returns the number of events, with the tolerance added, and the number of calls of `baseline`.
std::pair<double, double> toleratedEvents(const OutcomeSums &baseline, std::size_t kind);
/// Returns the tolerated event rate estimated from `baseline`.
double expectedRate(const OutcomeSums &baseline, std::size_t kind);
/// Returns whether `baseline` has enough calls, and a rate that suits a test, for `kind`.
bool isWorthTesting(const OutcomeSums &baseline, std::size_t kind);
/// Describes the counts of both versions, such as "calls failed: 4 of 12 (33.3 %) of ...".
std::string describeEvents(const VersionSums &sums, std::size_t kind, const std::string &oldWhen);

} // namespace cornelhead::detail
