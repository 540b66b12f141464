// Sums what callers got, per worker, until the node takes them.
#pragma once

#include <mutex>

#include "cornelhead/rollout/outcome.h"
#include "cornelhead/routing/server-choice.h"

namespace cornelhead::detail {

/// How one attempt counts as evidence for or against a version.
enum class OutcomeKind { Answered, Failed, Shed };

/// One finished attempt.
struct OutcomeSample
{
    const ServiceId &service;
    const VersionId &version;
    const RouteId &route;
    OutcomeKind kind = OutcomeKind::Answered;
    bool isCold = false;
    Microseconds latency{};
};

/// Adds from one worker, taken by any thread.
class OutcomeRecorder
{
public:
    explicit OutcomeRecorder(DataCentreId here) : dataCentre_(std::move(here)) { }

    void add(const OutcomeSample &sample);
    OutcomeBatch take();

private:
    OutcomeSums &sumsOf(const OutcomeSample &sample);

    const DataCentreId dataCentre_;
    std::mutex mutex_;
    // Guarded by mutex_; a route belongs to one service.
    std::map<RouteId, std::map<VersionId, std::pair<ServiceId, OutcomeSums>>> sums_;
};

} // namespace cornelhead::detail
