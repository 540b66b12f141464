// Counts the outcomes of calls and compares them with the ledger.
#include "cornelhead/standin/load-stats.h"

#include <algorithm>
#include <sstream>

#include <nlohmann/json.hpp>

#include "cornelhead/base/check.h"

namespace cornelhead {
namespace detail {

using nlohmann::json;

constexpr std::size_t maxFaultDescriptions = 20;

void addFaultDescription(LoadSummary &summary, const std::string &kind, const std::string &key,
                         const std::vector<std::string> &servers)
{
    if (summary.faults.size() >= maxFaultDescriptions)
        return;
    std::string text = kind + ": " + key + " ran at";
    for (const std::string &server : servers)
        text += " " + server;
    summary.faults.push_back(std::move(text));
}

json quantilesOf(const LatencyHistogram &histogram)
{
    return {{"count", histogram.count()},
            {"p50", histogram.quantile(0.5).count()},
            {"p90", histogram.quantile(0.9).count()},
            {"p99", histogram.quantile(0.99).count()},
            {"p999", histogram.quantile(0.999).count()},
            {"max", histogram.maximum().count()}};
}

json bucketsOf(const LatencyHistogram &histogram)
{
    json buckets = json::array();
    for (const LatencyHistogram::Bucket &bucket : histogram.buckets())
        buckets.push_back({{"upToUs", bucket.upperBound.count()}, {"count", bucket.count}});
    return buckets;
}

json secondsOf(const LoadStats &stats)
{
    json seconds = json::array();
    for (const SecondCounts &second : stats.seconds()) {
        seconds.push_back({{"answered", second.answered},
                           {"refused", second.refused},
                           {"lost", second.lost}});
    }
    return seconds;
}

} // namespace detail

bool CallTracker::shouldResend() const
{
    switch (lastResult_) {
    case AttemptResult::Correct:
    case AttemptResult::Wrong:
        return false;
    case AttemptResult::Broken:
    case AttemptResult::Unreachable:
        return true;
    case AttemptResult::Unknown:
        return isKeyed_ || policy_ == ResendPolicy::Naive;
    default:
        return policy_ == ResendPolicy::Naive;
    }
}

bool CallTracker::recordResult(AttemptResult result)
{
    lastResult_ = result;
    const bool mayHaveRun = result == AttemptResult::Broken || result == AttemptResult::Unknown;
    if (result == AttemptResult::NotRun || result == AttemptResult::Unknown) {
        hasRefusal_ = true;
        lastRefusal_
                = result == AttemptResult::NotRun ? FinalOutcome::NotRun : FinalOutcome::Unknown;
    }
    if (!shouldResend() || resendsLeft_ == 0)
        return false;
    earlierMayHaveRun_ = earlierMayHaveRun_ || mayHaveRun;
    --resendsLeft_;
    return true;
}

FinalOutcome CallTracker::outcome() const
{
    switch (lastResult_) {
    case AttemptResult::Correct:
    case AttemptResult::Failed:
        return FinalOutcome::Answered;
    case AttemptResult::Wrong:
        return FinalOutcome::Wrong;
    default:
        return hasRefusal_ ? lastRefusal_ : FinalOutcome::Lost;
    }
}

void LoadStats::recordCall(const FinishedCall &call)
{
    if (seconds_.size() <= call.second)
        seconds_.resize(call.second + 1);
    SecondCounts &second = seconds_[call.second];
    switch (call.outcome) {
    case FinalOutcome::Answered:
        ++summary_.answered;
        ++second.answered;
        summary_.failed += call.isFailed ? 1 : 0;
        (call.isDirect ? direct_ : throughNodes_).record(call.latency);
        break;
    case FinalOutcome::Wrong:
        ++summary_.wrong;
        break;
    case FinalOutcome::NotRun:
        ++summary_.refusedNotRun;
        ++second.refused;
        break;
    case FinalOutcome::Unknown:
        ++summary_.unknown;
        ++second.refused;
        break;
    case FinalOutcome::Lost:
        ++summary_.lost;
        ++second.lost;
        break;
    }
    if (!call.key.empty())
        keys_[call.key] = KeyOutcome{call.outcome, call.earlierMayHaveRun};
}

void LoadStats::merge(const LoadStats &other)
{
    summary_.sent += other.summary_.sent;
    summary_.broken += other.summary_.broken;
    summary_.answered += other.summary_.answered;
    summary_.wrong += other.summary_.wrong;
    summary_.lost += other.summary_.lost;
    summary_.refusedNotRun += other.summary_.refusedNotRun;
    summary_.unknown += other.summary_.unknown;
    summary_.failed += other.summary_.failed;
    summary_.resent += other.summary_.resent;
    throughNodes_.merge(other.throughNodes_);
    direct_.merge(other.direct_);
    keys_.insert(other.keys_.begin(), other.keys_.end());
    seconds_.resize(std::max(seconds_.size(), other.seconds_.size()));
    for (std::size_t i = 0; i < other.seconds_.size(); ++i) {
        seconds_[i].answered += other.seconds_[i].answered;
        seconds_[i].refused += other.seconds_[i].refused;
        seconds_[i].lost += other.seconds_[i].lost;
    }
    for (const auto &[reason, count] : other.reasons_)
        reasons_[reason] += count;
}

LoadSummary LoadStats::summarize(const KeyRuns &runs) const
{
    LoadSummary summary = summary_;
    CORNELHEAD_CHECK(summary.sent
                     == summary.answered + summary.wrong + summary.refusedNotRun + summary.unknown
                             + summary.lost);
    for (const auto &[key, servers] : runs) {
        summary.runs += servers.size();
        if (servers.size() > 1) {
            ++summary.doubled;
            detail::addFaultDescription(summary, "doubled", key, servers);
        }
    }
    for (const auto &[key, result] : keys_) {
        const auto run = runs.find(key);
        const bool wasRun = run != runs.end();
        if (wasRun && result.outcome == FinalOutcome::NotRun) {
            ++summary.falseNotRun;
            summary.falseNotRunFirst += result.earlierMayHaveRun ? 0 : 1;
            detail::addFaultDescription(summary, "false not-run", key, run->second);
        }
        if (!wasRun && result.outcome == FinalOutcome::Answered)
            ++summary.answeredWithoutRun;
    }
    return summary;
}

std::string summaryLine(const LoadSummary &summary, const LatencyHistogram &latency)
{
    std::ostringstream out;
    out << "load sent=" << summary.sent << " answered=" << summary.answered
        << " wrong=" << summary.wrong << " lost=" << summary.lost << " doubled=" << summary.doubled
        << " refused_not_run=" << summary.refusedNotRun << " unknown=" << summary.unknown
        << " false_not_run=" << summary.falseNotRun << " broken=" << summary.broken
        << " p50_us=" << latency.quantile(0.5).count()
        << " p99_us=" << latency.quantile(0.99).count() << " max_us=" << latency.maximum().count();
    return out.str();
}

std::string summaryJson(const LoadSummary &summary, const LoadStats &stats)
{
    const detail::json body = {{"sent", summary.sent},
                               {"broken", summary.broken},
                               {"answered", summary.answered},
                               {"wrong", summary.wrong},
                               {"lost", summary.lost},
                               {"doubled", summary.doubled},
                               {"refusedNotRun", summary.refusedNotRun},
                               {"unknown", summary.unknown},
                               {"falseNotRun", summary.falseNotRun},
                               {"falseNotRunAtOnce", summary.falseNotRunFirst},
                               {"failed", summary.failed},
                               {"resent", summary.resent},
                               {"answeredUnseen", summary.answeredWithoutRun},
                               {"runs", summary.runs},
                               {"faults", summary.faults},
                               {"reasons", stats.reasons()},
                               {"throughNodesUs", detail::quantilesOf(stats.throughNodes())},
                               {"directUs", detail::quantilesOf(stats.direct())},
                               {"seconds", detail::secondsOf(stats)},
                               {"histogram", detail::bucketsOf(stats.throughNodes())},
                               {"directHistogram", detail::bucketsOf(stats.direct())}};
    return body.dump(2);
}

} // namespace cornelhead
