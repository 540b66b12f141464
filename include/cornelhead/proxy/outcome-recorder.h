// Sums the outcomes of attempts per worker until the node collects them.
#pragma once

#include <mutex>

#include "cornelhead/rollout/outcome.h"
#include "cornelhead/routing/server-pool.h"

namespace cornelhead::detail {

/// How an attempt counts in the comparison of versions.
enum class OutcomeKind { Answered, Failed, Shed };

/// A finished attempt.
struct OutcomeSample
{
    const ServiceId &service;
    const VersionId &version;
    const RouteId &route;
    OutcomeKind kind = OutcomeKind::Answered;
    /// True for an attempt at a server that is still starting; its latency is not recorded.
    bool isCold = false;
    Microseconds latency{};
};

/// Sums outcomes.  Safe to use from any thread.
class OutcomeRecorder
{
public:
    explicit OutcomeRecorder(DataCentreId here) : dataCentre_(std::move(here)) { }

    void add(const OutcomeSample &sample);
    /// Returns and clears the sums.
    OutcomeBatch take();

private:
    OutcomeSums &sumsOf(const OutcomeSample &sample);

    const DataCentreId dataCentre_;
    std::mutex mutex_;
    // Guarded by mutex_; a route belongs to one service.
    std::map<RouteId, std::map<VersionId, std::pair<ServiceId, OutcomeSums>>> sums_;
};

} // namespace cornelhead::detail
