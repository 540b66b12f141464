// Sums call outcomes and computes latency quantiles.
#include "cornelhead/rollout/outcome.h"

namespace cornelhead {

std::size_t latencyBucket(Microseconds latency)
{
    std::size_t bucket = 0;
    Microseconds bound = firstLatencyBound;
    while (bucket + 1 < latencyBuckets && latency > bound) {
        bound *= 2;
        bucket += 1;
    }
    return bucket;
}

Microseconds latencyQuantile(const std::array<std::uint64_t, latencyBuckets> &latencies,
                             double probability)
{
    double total = 0;
    for (const std::uint64_t count : latencies)
        total += static_cast<double>(count);
    if (total <= 0)
        return Microseconds(0);
    double below = 0;
    Microseconds bound = firstLatencyBound;
    for (std::size_t i = 0; i + 1 < latencyBuckets; ++i) {
        below += static_cast<double>(latencies[i]);
        if (below >= probability * total)
            return bound;
        bound *= 2;
    }
    return bound;
}

void OutcomeSums::add(const OutcomeSums &other)
{
    calls += other.calls;
    failures += other.failures;
    shed += other.shed;
    cold += other.cold;
    for (std::size_t i = 0; i < latencyBuckets; ++i)
        latencies[i] += other.latencies[i];
}

void mergeOutcomes(OutcomeBatch &batch, const OutcomeBatch &more)
{
    for (const auto &[key, sums] : more)
        batch[key].add(sums);
}

} // namespace cornelhead
