// Registers the proxy's metrics.
#include "cornelhead/proxy/counters.h"

#include <string>

namespace cornelhead::detail {

const char *attemptFailureName(AttemptFailure failure)
{
    switch (failure) {
    case AttemptFailure::NotSent:
        return "not-sent";
    case AttemptFailure::RefusedNotRun:
        return "refused-not-run";
    case AttemptFailure::Broken:
        return "broken";
    case AttemptFailure::Silent:
        return "silent";
    case AttemptFailure::InvalidHead:
        return "invalid-head";
    case AttemptFailure::TooLong:
        return "too-long";
    }
    return "broken";
}

ProxyCounters::ProxyCounters(Metrics &metrics)
    : calls(metrics.counter("cornelhead_calls_total")),
      responses(metrics.counter("cornelhead_answers_total")),
      retriesOverBudget(metrics.counter("cornelhead_retries_denied_total", {{"reason", "budget"}})),
      retriesNotAllowed(
              metrics.counter("cornelhead_retries_denied_total", {{"reason", "may-have-run"}})),
      hedges(metrics.counter("cornelhead_hedges_total")),
      ejections(metrics.counter("cornelhead_ejections_total")),
      connectionsOpened(metrics.counter("cornelhead_upstream_connections_total")),
      abortedResponses(metrics.counter("cornelhead_answers_cut_total")),
      callerDisconnects(metrics.counter("cornelhead_callers_gone_total")),
      keyedForwarded(metrics.counter("cornelhead_keyed_calls_sent_on_total")),
      keyedRedirected(metrics.counter("cornelhead_keyed_calls_redirected_total")),
      keyReleasesRequested(metrics.counter("cornelhead_key_releases_asked_total")),
      keyedReplayed(metrics.counter("cornelhead_keyed_answers_remembered_total")),
      lateResponsesKept(metrics.counter("cornelhead_keyed_late_answers_kept_total")),
      inFlight(metrics.gauge("cornelhead_calls_in_flight")),
      duration(metrics.summary("cornelhead_call_duration_us"))
{
    for (std::size_t i = 0; i < refusalReasonCount; ++i) {
        const std::string reason(refusalInfo(static_cast<RefusalReason>(i)).name);
        for (const RunStatus run : {RunStatus::NotRun, RunStatus::Unknown}) {
            refusals_[i][static_cast<std::size_t>(run)] = &metrics.counter(
                    "cornelhead_refusals_total",
                    {{"reason", reason}, {"run", std::string(runStatusName(run))}});
        }
    }
    for (std::size_t i = 0; i < attemptFailureCount; ++i) {
        retries_[i] = &metrics.counter(
                "cornelhead_retries_total",
                {{"reason", attemptFailureName(static_cast<AttemptFailure>(i))}});
    }
}

Counter &ProxyCounters::refusal(RefusalReason reason, RunStatus run)
{
    return *refusals_[static_cast<std::size_t>(reason)][static_cast<std::size_t>(run)];
}

Counter &ProxyCounters::retry(AttemptFailure failure)
{
    return *retries_[static_cast<std::size_t>(failure)];
}

} // namespace cornelhead::detail
