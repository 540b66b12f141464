// Counts what became of calls, and compares the callers' last words with the ledger of runs.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "cornelhead/standin/latency-histogram.h"
#include "cornelhead/standin/load-mix.h"

namespace cornelhead {

/// The last word that a caller heard of its call.
enum class FinalOutcome { Answered, Wrong, NotRun, Unknown, Lost };

/// When a caller sends a call again.
enum class ResendPolicy {
    Careful, ///< After no word or, for keyed calls, `unknown`; later and elsewhere.
    Naive, ///< After everything but a success, at once; the baseline of measurements.
};

/// Follows one call over its attempts.
class CallTracker
{
public:
    CallTracker(bool isKeyed, std::uint32_t resends, ResendPolicy policy)
        : isKeyed_(isKeyed), resendsLeft_(resends), policy_(policy)
    { }

    /// Takes the result of an attempt; true when the call should be sent again.
    bool recordResult(AttemptResult result);
    /// Returns the last word once no attempt is left.
    FinalOutcome word() const;
    /// Tells whether the word was the server's own error.
    bool isFailed() const { return last_ == AttemptResult::Failed; }
    /// Tells whether an earlier attempt may have been run.
    bool earlierMayHaveRun() const { return earlierMayHaveRun_; }

private:
    bool shouldResend() const;

    bool isKeyed_;
    std::uint32_t resendsLeft_;
    ResendPolicy policy_;
    AttemptResult last_ = AttemptResult::Broken;
    // A typed refusal stays the word where later attempts hear nothing.
    bool hasRefusal_ = false;
    FinalOutcome refusal_ = FinalOutcome::Lost;
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
    /// Keys that ran although the caller's last word was not-run.
    std::uint64_t falseNotRun = 0;
    /// Those of them whose caller heard nothing but not-run.
    std::uint64_t falseNotRunAtOnce = 0;
    /// Answered calls whose answer was the server's own error.
    std::uint64_t failed = 0;
    /// Sent again after no word or `unknown`.
    std::uint64_t resent = 0;
    /// Attempts that were sent and got neither an answer nor a typed refusal.
    std::uint64_t broken = 0;
    /// Keys that were answered although the ledger saw no run.
    std::uint64_t answeredUnseen = 0;
    /// Runs that the ledger saw.
    std::uint64_t runs = 0;
    /// Describes the first broken promises, for finding their cause.
    std::vector<std::string> faults;
};

/// The servers that ran each key, one entry a run.
using KeyRuns = std::unordered_map<std::string, std::vector<std::string>>;

/// One finished call.
struct FinishedCall
{
    /// Empty for calls without a key.
    std::string key;
    FinalOutcome word = FinalOutcome::Lost;
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

/// Counts calls of one thread; tallies of several threads can be added.
class LoadStats
{
public:
    void countSent() { ++summary_.sent; }
    void countResent() { ++summary_.resent; }
    void countBroken() { ++summary_.broken; }
    void countReason(const std::string &reason) { ++reasons_[reason]; }
    void finish(const FinishedCall &call);
    void add(const LoadStats &other);
    /// Compares with the runs that the ledger saw of each key.
    LoadSummary summarize(const KeyRuns &runs) const;

    const LatencyHistogram &throughNodes() const { return throughNodes_; }
    const LatencyHistogram &direct() const { return direct_; }
    const std::vector<SecondCounts> &seconds() const { return seconds_; }
    /// Typed refusals by reason.
    const std::map<std::string, std::uint64_t> &reasons() const { return reasons_; }

private:
    struct KeyOutcome
    {
        FinalOutcome word = FinalOutcome::Lost;
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
