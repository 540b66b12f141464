// The proxy's metrics, looked up once so that a call never searches for one.
#pragma once

#include <array>

#include "cornelhead/base/metrics.h"
#include "cornelhead/routing/refusal.h"
#include "cornelhead/routing/retry.h"

namespace cornelhead::detail {

constexpr std::size_t attemptFailureCount = 6;

/// Returns the label value of `failure` in metrics.
const char *attemptFailureName(AttemptFailure failure);

/// References to the proxy's metrics; safe to use from any worker.
struct ProxyCounters
{
    explicit ProxyCounters(Metrics &metrics);

    Counter &refusal(RefusalReason reason, RunStatus run);
    Counter &retry(AttemptFailure failure);

    Counter &calls;
    Counter &responses;
    Counter &retriesOverBudget;
    Counter &retriesNotAllowed;
    Counter &hedges;
    Counter &ejections;
    Counter &connectionsOpened;
    Counter &abortedResponses;
    Counter &callerDisconnects;
    Counter &keyedForwarded;
    Counter &keyedRedirected;
    Counter &keyReleasesRequested;
    Counter &keyedReplayed;
    Counter &lateResponsesKept;
    Gauge &inFlight;
    Summary &duration;

private:
    std::array<std::array<Counter *, 2>, refusalReasonCount> refusals_{};
    std::array<Counter *, attemptFailureCount> retries_{};
};

} // namespace cornelhead::detail
