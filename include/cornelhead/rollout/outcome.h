// What callers got, summed by version, route and data centre: the evidence for and against a
// version.
#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <map>

#include "cornelhead/base/clock.h"
#include "cornelhead/base/ids.h"

namespace cornelhead {

/// Latencies fall into buckets whose bounds double, from 250 us up.
constexpr std::size_t latencyBuckets = 16;
constexpr Microseconds firstLatencyBound = Microseconds(250);

/// Returns the bucket of `latency`.
std::size_t latencyBucket(Microseconds latency);

/// Returns the upper bound of the bucket that holds the quantile of the latencies; 0 without any.
Microseconds latencyQuantile(const std::array<std::uint64_t, latencyBuckets> &latencies,
                             double probability);

/// What one sum is about.
struct OutcomeKey
{
    ServiceId service;
    VersionId version;
    RouteId route;
    /// Of the caller's node.
    DataCentreId dataCentre;

    friend auto operator<=>(const OutcomeKey &, const OutcomeKey &) = default;
};

/// Sums of finished calls.
struct OutcomeSums
{
    std::uint64_t calls = 0;
    /// Answers of 5xx but for shed calls, broken connections and time-outs.
    std::uint64_t failures = 0;
    /// Calls that the server refused because it was full; not held against a version alone.
    std::uint64_t shed = 0;
    /// Calls of servers still starting, left out of the latencies.
    std::uint64_t cold = 0;
    std::array<std::uint64_t, latencyBuckets> latencies{};

    void add(const OutcomeSums &other);
};

using OutcomeBatch = std::map<OutcomeKey, OutcomeSums>;

/// Adds every sum of `more` to `batch`.
void mergeOutcomes(OutcomeBatch &batch, const OutcomeBatch &more);

} // namespace cornelhead
