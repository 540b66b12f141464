// Sums of call outcomes by version, route and data centre, from which versions are judged.
#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <map>

#include "cornelhead/base/clock.h"
#include "cornelhead/base/ids.h"

namespace cornelhead {

/// Number of latency buckets.  Their upper bounds double from bucket to bucket, from 250 us up; the
/// last one is open.
constexpr std::size_t latencyBuckets = 16;
constexpr Microseconds firstLatencyBound = Microseconds(250);

std::size_t latencyBucket(Microseconds latency);

/// Returns the upper bound of the bucket that contains the quantile; 0 without latencies.
Microseconds latencyQuantile(const std::array<std::uint64_t, latencyBuckets> &latencies,
                             double probability);

struct OutcomeKey
{
    ServiceId service;
    VersionId version;
    RouteId route;
    /// The data centre of the caller's node.
    DataCentreId dataCentre;

    friend auto operator<=>(const OutcomeKey &, const OutcomeKey &) = default;
};

/// Sums of finished calls.
struct OutcomeSums
{
    std::uint64_t calls = 0;
    /// Calls that ended with a 5xx response other than a shed call, a broken connection or a
    /// timeout.
    std::uint64_t failures = 0;
    /// Calls that the server refused because it was full.  A shed call does not count as a failure.
    std::uint64_t shed = 0;
    /// Calls of servers that are still warming up; not in `latencies`.
    std::uint64_t cold = 0;
    std::array<std::uint64_t, latencyBuckets> latencies{};

    void add(const OutcomeSums &other);
};

using OutcomeBatch = std::map<OutcomeKey, OutcomeSums>;

void mergeOutcomes(OutcomeBatch &batch, const OutcomeBatch &more);

} // namespace cornelhead
