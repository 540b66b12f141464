// Implements the records of calls and the detection of pauses.
#include "cornelhead/sidecar/call-records.h"

#include <algorithm>

namespace cornelhead {
namespace detail {

// A caller's node acts on responses only before its deadline; this covers the network's delay.
constexpr Milliseconds recordGrace(1000);
// The first message of a call that was resumed before it arrived may be held up by a partition.
constexpr Milliseconds settledLifetime(30'000);
// Two seconds of running time, in which a process that was frozen reads all waiting input.
constexpr int minSweepsSinceExpiry = 8;
// Twice the longest time between two observations of a process that is not held up.
constexpr Milliseconds minPause(600);
// Time in which a process that was frozen reads the input that arrived meanwhile.
constexpr Milliseconds settleTime(250);

} // namespace detail

ArrivalDecision CallRecords::decide(const CallArrival &arrival, TimePoint now)
{
    const auto found = records_.find(arrival.id);
    if (found == records_.end()) {
        if (!arrival.isResumed)
            return StartCall{};
        if (!arrival.isForThisRun)
            return RepeatOutcome{{HopResult::Unknown, HopReason::NodeRestarted, nullptr}};
        const CallOutcome settled{HopResult::NotRun, HopReason::NeverArrived, nullptr};
        records_[arrival.id] = Record{std::nullopt, settled, now + detail::settledLifetime, 0};
        return RepeatOutcome{settled};
    }
    const Record &record = found->second;
    if (record.ticket)
        return AttachToCall{*record.ticket};
    if (arrival.isIdempotent && !arrival.isResumed)
        return StartCall{};
    return RepeatOutcome{record.outcome};
}

void CallRecords::start(const std::string &id, GateTicket ticket, TimePoint deadline)
{
    records_[id] = Record{ticket, {}, deadline + detail::recordGrace, 0};
}

void CallRecords::finish(const std::string &id, CallOutcome outcome)
{
    const auto record = records_.find(id);
    if (record == records_.end())
        return;
    record->second.ticket.reset();
    record->second.outcome = std::move(outcome);
}

void CallRecords::sweep(TimePoint now)
{
    for (auto entry = records_.begin(); entry != records_.end();) {
        Record &record = entry->second;
        const bool isExpired = !record.ticket && record.expiresAt < now
                && ++record.sweepsSinceExpiry > detail::minSweepsSinceExpiry;
        entry = isExpired ? records_.erase(entry) : std::next(entry);
    }
}

std::optional<GateTicket> CallRecords::findActive(const std::string &id) const
{
    const auto record = records_.find(id);
    return record == records_.end() ? std::nullopt : record->second.ticket;
}

bool CallRecords::wasCancelled(const std::string &id) const
{
    const auto record = records_.find(id);
    return record != records_.end() && !record->second.ticket
            && record->second.outcome.reason == HopReason::Cancelled;
}

void PauseDetector::observe(TimePoint now)
{
    if (lastObservedAt_ != TimePoint() && now - lastObservedAt_ > detail::minPause) {
        pausedAt_ = lastObservedAt_;
        resumedAt_ = now;
    }
    lastObservedAt_ = now;
}

Microseconds PauseDetector::maxInputAge(TimePoint now) const
{
    if (resumedAt_ == TimePoint() || now - resumedAt_ > detail::settleTime)
        return Microseconds(0);
    return now - pausedAt_;
}

Microseconds PauseDetector::pausedSince(TimePoint since) const
{
    return std::max(Microseconds(0), Microseconds(resumedAt_ - std::max(pausedAt_, since)));
}

} // namespace cornelhead
