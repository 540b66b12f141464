// Decides whether a call is sent again, and bounds how often.
#pragma once

#include <cstdint>
#include <optional>

#include "cornelhead/base/clock.h"
#include "cornelhead/config/declarations.h"

namespace cornelhead {

/// Tells how one attempt at a backend server ended without an answer for the caller.
enum class AttemptFailure {
    NotSent, ///< No byte of the request left; certainly not run.
    RefusedNotRun, ///< The server proved that it did not run it.
    Broken, ///< The connection broke after the request was sent.
    Silent, ///< No progress within the attempt's time.
};

/// Tells whether the attempt was certainly not run.
bool provesNotRun(AttemptFailure failure);

/// What the retry decision rests on.
struct FailedAttempt
{
    Idempotency idempotency = Idempotency::Keyed;
    AttemptFailure failure = AttemptFailure::Broken;
    /// Attempts made so far.
    std::uint32_t attempts = 1;
    Milliseconds remaining = Milliseconds(0);
};

enum class RetryDecision {
    Retry,
    NotAllowed, ///< The call may have been run and must not run twice.
    TooLate, ///< The deadline leaves no time.
    TooMany, ///< The call used up its attempts.
};

/// Attempts of one call, the first included.
constexpr std::uint32_t maxAttempts = 3;
/// A retry needs at least this much time to be of use.
constexpr Milliseconds minRetryTime = Milliseconds(2);

/// How long an attempt may stay without an answer before the call looks elsewhere.
struct AttemptTimeouts
{
    /// After it another server is asked as well; nothing where calls may not be hedged.
    std::optional<Microseconds> hedgeAfter;
    /// After it the connection counts as silent; nothing where the call must wait.
    std::optional<Microseconds> giveUpAfter;
};

/// Returns the patience with an attempt at a server whose smoothed latency is `latency`, 0 for an
/// unknown one.
AttemptTimeouts attemptTimeouts(const Route &route, Microseconds latency, Milliseconds remaining);

/// Decides without regard to the budget, which is asked next.
RetryDecision decideRetry(const FailedAttempt &question);

/// Bounds retries to a part of the calls seen, less with each hop.
///
/// Sums to less than a tenth over 19 hops, so that retries at every hop together multiply the
/// calls of the last one by at most 1.1.
class RetryBudget
{
public:
    /// Earns for a call that came through `depth` hops.
    void addCall(std::uint32_t depth);
    /// Earns for time that has passed, so that a node with few calls is not left without retries.
    void addTime(Microseconds elapsed);
    /// Takes one retry, if there is one left.
    bool take();
    /// Takes one hedged attempt, if enough is left for retries after it.
    bool takeHedge();

private:
    // Invariant: 0 <= tokens_ <= maxTokens.
    double tokens_ = maxTokens;

    static constexpr double maxTokens = 10.0;
    // Hedges leave this much for retries, which are needed more.
    static constexpr double reservedTokens = 5.0;
};

/// Returns the retries that one call at `depth` earns.
double retryRatio(std::uint32_t depth);

} // namespace cornelhead
