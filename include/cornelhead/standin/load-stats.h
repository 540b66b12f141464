// Counts the outcomes of calls, and compares the outcomes that callers saw with the ledger of runs.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "cornelhead/standin/latency-histogram.h"
#include "cornelhead/standin/load-mix.h"

namespace cornelhead {

/// The final outcome of a call as its caller saw it; `Lost` without a response of the server or a
/// typed refusal.
enum class FinalOutcome { Answered, Wrong, NotRun, Unknown, Lost };

/// When a caller resends a call.
enum class ResendPolicy {
    /// After an attempt without a response or, for keyed calls, an `unknown` refusal; with a delay
    /// and to another target if there is one.
    Careful,
    /// After anything but a success status, at once; the baseline of measurements.
    Naive,
};

/// Tracks one call over its attempts.
class CallTracker
{
public:
    CallTracker(bool isKeyed, std::uint32_t resends, ResendPolicy policy)
        : isKeyed_(isKeyed), resendsLeft_(resends), policy_(policy)
    { }

    /// Records the result of an attempt; returns true if the call should be resent.
    bool recordResult(AttemptResult result);
    /// Valid after `recordResult` returned false.
    FinalOutcome outcome() const;
    /// Returns whether the last attempt got an error response of the server itself.
    bool isFailed() const { return lastResult_ == AttemptResult::Failed; }
    /// Returns whether an earlier attempt may have been run.
    bool earlierMayHaveRun() const { return earlierMayHaveRun_; }

private:
    bool shouldResend() const;

    bool isKeyed_;
    std::uint32_t resendsLeft_;
    ResendPolicy policy_;
    AttemptResult lastResult_ = AttemptResult::Broken;
    // The last typed refusal; it remains the outcome if later attempts get no response.
    bool hasRefusal_ = false;
    FinalOutcome lastRefusal_ = FinalOutcome::Lost;
    bool earlierMayHaveRun_ = false;
};

/// The numbers of one run of the load tool.
struct LoadSummary
{
    std::uint64_t sent = 0;
    std::uint64_t answered = 0;
    std::uint64_t wrong = 0;
    std::uint64_t lost = 0;
    /// Keys that ran more than once.
    std::uint64_t doubled = 0;
    std::uint64_t refusedNotRun = 0;
    std::uint64_t unknown = 0;
    /// Keys that ran although the final outcome was not-run.
    std::uint64_t falseNotRun = 0;
    /// The part of falseNotRun without an earlier attempt that may have run.
    std::uint64_t falseNotRunFirst = 0;
    /// Answered calls whose response was an error of the server itself.
    std::uint64_t failed = 0;
    /// Attempts after the first.
    std::uint64_t resent = 0;
    /// Attempts that were sent and got neither a response of the server nor a typed refusal.
    std::uint64_t broken = 0;
    /// Keys that were answered although the ledger holds no run of them.
    std::uint64_t answeredWithoutRun = 0;
    /// Runs in the ledger.
    std::uint64_t runs = 0;
    /// Descriptions of the first violations, to help find their cause.
    std::vector<std::string> faults;
};

/// The servers that ran each key, one entry per run.
using KeyRuns = std::unordered_map<std::string, std::vector<std::string>>;

/// One finished call.
struct FinishedCall
{
    /// Empty for calls without a key.
    std::string key;
    FinalOutcome outcome = FinalOutcome::Lost;
    bool isFailed = false;
    bool earlierMayHaveRun = false;
    Microseconds latency{};
    bool isDirect = false;
    /// Whole seconds since the start of the run.
    std::uint32_t second = 0;
};

/// Calls that ended within one second.
struct SecondCounts
{
    std::uint64_t answered = 0;
    std::uint64_t refused = 0;
    std::uint64_t lost = 0;
};

/// Counts the calls of one thread; the stats of several threads can be merged.
class LoadStats
{
public:
    void countSent() { ++summary_.sent; }
    void countResent() { ++summary_.resent; }
    void countBroken() { ++summary_.broken; }
    void countRefusalReason(const std::string &reason) { ++reasons_[reason]; }
    void recordCall(const FinishedCall &call);
    void merge(const LoadStats &other);
    /// Compares the outcomes with the runs in the ledger; all calls must have ended.
    LoadSummary summarize(const KeyRuns &runs) const;

    const LatencyHistogram &throughNodes() const { return throughNodes_; }
    const LatencyHistogram &direct() const { return direct_; }
    const std::vector<SecondCounts> &seconds() const { return seconds_; }
    /// Number of typed refusals by reason.
    const std::map<std::string, std::uint64_t> &reasons() const { return reasons_; }

private:
    struct KeyOutcome
    {
        FinalOutcome outcome = FinalOutcome::Lost;
        bool earlierMayHaveRun = false;
    };

    LoadSummary summary_;
    LatencyHistogram throughNodes_;
    LatencyHistogram direct_;
    std::unordered_map<std::string, KeyOutcome> keys_;
    std::vector<SecondCounts> seconds_;
    std::map<std::string, std::uint64_t> reasons_;
};

/// Renders "load sent=… answered=… …" in one line.
std::string summaryLine(const LoadSummary &summary, const LatencyHistogram &latency);
/// Renders everything as JSON.
std::string summaryJson(const LoadSummary &summary, const LoadStats &stats);

} // namespace cornelhead
