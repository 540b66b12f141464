// Adds up outcomes.
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
