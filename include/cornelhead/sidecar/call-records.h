// What a node remembers of the calls to its host's server, so that a call that is sent again never
// runs twice.
//
// Load pattern: a caller's node whose connection broke or stalled asks again on a new connection.
// Either message may be delayed for seconds by the network, and both may wait unread while this
// process is frozen.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <variant>

#include "cornelhead/base/clock.h"
#include "cornelhead/routing/key-table.h"
#include "cornelhead/routing/server-gate.h"
#include "cornelhead/sidecar/hop.h"

namespace cornelhead {

/// How a call ended at this node.
struct CallOutcome
{
    HopResult result = HopResult::Unknown;
    HopReason reason = HopReason::None;
    /// The response, for calls that must not run twice.
    std::shared_ptr<const StoredResponse> response;
};

/// A call as it arrives from a caller's node.
struct CallArrival
{
    std::string id;
    /// The same call was sent to this node before, on another connection.
    bool isResumed = false;
    /// The call was first sent to this run of the node, not to an earlier one.
    bool isForThisRun = true;
    bool isIdempotent = false;
};

/// The call is to run.
struct StartCall
{ };
/// The call waits or runs already; its response goes to the new connection.
struct AttachToCall
{
    GateTicket ticket;
};
/// The call has ended, or will never run.
struct RepeatOutcome
{
    CallOutcome outcome;
};
using ArrivalDecision = std::variant<StartCall, AttachToCall, RepeatOutcome>;

/// Records of calls by their request ids.  Does no I/O and reads no clock.
///
/// Invariant: an id that was reported as not run never starts while its record is kept, and the
/// record outlives every message about it that the caller's node may still act on.
class CallRecords
{
public:
    /// A resumed call that is unknown here is recorded as never to be run: its first message may
    /// still arrive, after the caller's node has sent the call elsewhere.
    ArrivalDecision decide(const CallArrival &arrival, TimePoint now);
    /// Records a call that waits or runs.  The caller's node gives up at `deadline` at the latest.
    void start(const std::string &id, GateTicket ticket, TimePoint deadline);
    /// Records the end of a call.
    void finish(const std::string &id, CallOutcome outcome);
    /// Removes old records.  To be called every `sweepPeriod` while the process runs.
    void sweep(TimePoint now);

    /// Returns the ticket of a call that waits or runs.
    std::optional<GateTicket> findActive(const std::string &id) const;
    /// Returns whether the caller left before the call ended, and the call was cancelled.
    bool wasCancelled(const std::string &id) const;
    std::size_t size() const { return records_.size(); }

    static constexpr Milliseconds sweepPeriod{250};

private:
    struct Record
    {
        // Empty once the call has ended.
        std::optional<GateTicket> ticket;
        CallOutcome outcome;
        TimePoint expiresAt{};
        // Sweeps since the record expired.  A process that was frozen has unread messages, which
        // are read within a few sweeps.
        int sweepsSinceExpiry = 0;
    };

    std::map<std::string, Record> records_;
};

/// Detects that the process stood still, and tells how long input that is read now may have waited
/// and by how much a measured duration is too long.
///
/// A frozen process reads requests whose callers have given up meanwhile.
class PauseDetector
{
public:
    /// To be called whenever input is read, and every `CallRecords::sweepPeriod` besides.
    void observe(TimePoint now);
    /// Returns the longest time that input read at `now` may have waited; 0 without a recent pause.
    Microseconds maxInputAge(TimePoint now) const;
    /// Returns how long the process stood still after `since`, in its last pause.
    Microseconds pausedSince(TimePoint since) const;

private:
    TimePoint lastObservedAt_{};
    TimePoint pausedAt_{};
    TimePoint resumedAt_{};
};

} // namespace cornelhead
