// Implements the outcome recorder.
#include "cornelhead/proxy/outcome-recorder.h"

namespace cornelhead::detail {

OutcomeSums &OutcomeRecorder::sumsOf(const OutcomeSample &sample)
{
    auto &[service, sums] = sums_[sample.route][sample.version];
    if (service.empty())
        service = sample.service;
    return sums;
}

void OutcomeRecorder::add(const OutcomeSample &sample)
{
    const std::lock_guard lock(mutex_);
    OutcomeSums &sums = sumsOf(sample);
    ++sums.calls;
    if (sample.kind == OutcomeKind::Failed)
        ++sums.failures;
    if (sample.kind == OutcomeKind::Shed) {
        ++sums.shed;
        return;
    }
    if (sample.isCold)
        ++sums.cold;
    else
        ++sums.latencies[latencyBucket(sample.latency)];
}

OutcomeBatch OutcomeRecorder::take()
{
    decltype(sums_) taken;
    {
        const std::lock_guard lock(mutex_);
        taken.swap(sums_);
    }
    OutcomeBatch batch;
    for (const auto &[route, versions] : taken) {
        for (const auto &[version, entry] : versions)
            batch[OutcomeKey{entry.first, version, route, dataCentre_}].add(entry.second);
    }
    return batch;
}

} // namespace cornelhead::detail
