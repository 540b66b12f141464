// Decides whether a failed call is retried, and limits the number of retries.
#pragma once

#include <cstdint>
#include <optional>

#include "cornelhead/base/clock.h"
#include "cornelhead/config/declarations.h"

namespace cornelhead {

/// How an attempt at a backend server failed.
enum class AttemptFailure {
    NotSent, ///< No byte of the request was sent, so the call did not run.
    RefusedNotRun, ///< The server stated that it did not run the call.
    Broken, ///< The connection was lost after the request was sent.
    Silent, ///< The attempt made no progress within its timeout.
    InvalidHead, ///< The head of the response is not valid HTTP.
    TooLong, ///< The response is longer than an attempt may receive.
};

/// Returns whether the call certainly did not run in the attempt.
bool provesNotRun(AttemptFailure failure);

/// The input of a retry decision.
struct FailedAttempt
{
    Idempotency idempotency = Idempotency::Keyed;
    AttemptFailure failure = AttemptFailure::Broken;
    /// Attempts so far.
    std::uint32_t attempts = 1;
    /// Time until the deadline of the call.
    Milliseconds remaining = Milliseconds(0);
};

enum class RetryDecision {
    Retry,
    NotAllowed, ///< The call may have been run and must not run twice.
    TooLate, ///< Too little time is left until the deadline.
    TooMany, ///< The call used up its attempts.
};

/// Attempts of a call, including the first.
constexpr std::uint32_t maxAttempts = 3;
/// A retry with less time left is useless.
constexpr Milliseconds minRetryTime = Milliseconds(2);

/// How long an attempt may go without a response before another server is tried.
struct AttemptTimeouts
{
    /// Starts a hedged attempt at another server; empty if the call must not be hedged.
    std::optional<Microseconds> hedgeAfter;
    /// Fails the attempt as `Silent`; empty if the call must wait for the response.
    std::optional<Microseconds> giveUpAfter;
};

/// Returns the timeouts of an attempt at a server whose smoothed latency is `latency`, or 0 if the
/// latency is unknown.
AttemptTimeouts attemptTimeouts(const Route &route, Microseconds latency, Milliseconds remaining);

/// Decides whether a retry is possible.  The caller must check the retry budget afterwards.
RetryDecision decideRetry(const FailedAttempt &attempt);

/// Limits retries to a fraction of the calls, which shrinks with each hop.
///
/// The fractions of 19 hops sum to less than a tenth, so retries at all hops together multiply the
/// calls at the last hop by at most 1.1.
class RetryBudget
{
public:
    /// Adds the tokens of a call that passed `depth` hops.
    void addCall(std::uint32_t depth);
    /// Adds tokens for elapsed time, so that a node with few calls can still retry.
    void addTime(Microseconds elapsed);
    /// Takes a token for a retry; false if none is left.
    bool take();
    /// Takes a token for a hedged attempt; false if too few would be left for retries.
    bool takeHedge();

private:
    // Invariant: 0 <= tokens_ <= maxTokens.
    double tokens_ = maxTokens;

    static constexpr double maxTokens = 10.0;
    // Hedged attempts leave this many tokens for retries, which matter more.
    static constexpr double reservedTokens = 5.0;
};

/// Returns the tokens that a call at `depth` adds.
double retryRatio(std::uint32_t depth);

} // namespace cornelhead
