// Implements the admission queue of a backend server.
#include "cornelhead/routing/server-gate.h"

#include <algorithm>

namespace cornelhead {
namespace detail {

// Of several running calls, the next to end has less than half of its service time left on
// average.
constexpr int runningWorkDivisor = 2;
// Load reports contain the wait of a call of this rank: normal priority.
constexpr std::uint32_t reportedRank = 2;

} // namespace detail

ServerGate::Verdict ServerGate::offer(const GateRequest &offer, TimePoint now,
                                      std::vector<GateTicket> &expired)
{
    if (isOpen(now)) {
        start(offer, now);
        return Verdict::Start;
    }
    const Microseconds wait = waitBehind(queueAhead(offer.rank), now);
    if (now + wait + offer.work > offer.finishBy)
        return Verdict::Refuse;
    const auto position
            = std::find_if(waiting_.begin(), waiting_.end(),
                           [&](const GateRequest &waiting) { return waiting.rank > offer.rank; });
    waiting_.insert(position, offer);
    removeExpired(now, expired);
    return Verdict::Wait;
}

ServerGate::Verdict ServerGate::judgeRoom(const GateRequest &request, Microseconds arrival,
                                          TimePoint now) const
{
    const Microseconds wait = waitBehind(queueAhead(request.rank), now);
    if (now + std::max(wait, arrival) + request.work > request.finishBy)
        return Verdict::Refuse;
    const bool isFree = waiting_.empty() && running_.size() + held_.size() < slots_ + spareInFlight;
    return isFree && wait == Microseconds(0) ? Verdict::Start : Verdict::Wait;
}

ServerGate::Verdict ServerGate::admitHeld(const GateRequest &request, TimePoint now,
                                          std::vector<GateTicket> &expired)
{
    if (isOpen(now)) {
        start(request, now);
        return Verdict::Start;
    }
    const auto position
            = std::find_if(waiting_.begin(), waiting_.end(), [&](const GateRequest &waiting) {
                  return waiting.rank >= request.rank;
              });
    waiting_.insert(position, request);
    removeExpired(now, expired);
    return Verdict::Wait;
}

void ServerGate::remove(GateTicket ticket)
{
    if (running_.erase(ticket) == 0)
        waiting_.remove_if([&](const GateRequest &waiting) { return waiting.ticket == ticket; });
}

std::optional<GateTicket> ServerGate::startNext(TimePoint now, std::vector<GateTicket> &expired)
{
    while (!waiting_.empty() && mayStart(now)) {
        const GateRequest next = waiting_.front();
        waiting_.pop_front();
        if (now + next.work <= next.finishBy) {
            start(next, now);
            return next.ticket;
        }
        expired.push_back(next.ticket);
    }
    return std::nullopt;
}

std::vector<GateTicket> ServerGate::removeWaiting()
{
    std::vector<GateTicket> tickets;
    for (const GateRequest &waiting : waiting_)
        tickets.push_back(waiting.ticket);
    waiting_.clear();
    return tickets;
}

bool ServerGate::isWaiting(GateTicket ticket) const
{
    return std::any_of(waiting_.begin(), waiting_.end(),
                       [&](const GateRequest &waiting) { return waiting.ticket == ticket; });
}

GateLoad ServerGate::load(TimePoint now) const
{
    GateLoad load;
    load.running = static_cast<std::uint32_t>(running_.size());
    load.waiting = static_cast<std::uint32_t>(waiting_.size() + held_.size());
    load.slots = slots_;
    load.wait = waitBehind(queueAhead(detail::reportedRank), now);
    load.limit = pacer_.limit();
    load.demand = pacer_.demand(now);
    return load;
}

std::optional<Microseconds> ServerGate::limitWait(TimePoint now) const
{
    if (waiting_.empty() || !hasRoom())
        return std::nullopt;
    return pacer_.waitBehind(0, now);
}

Microseconds ServerGate::waitBehind(const Queue &ahead, TimePoint now) const
{
    const Microseconds paced = pacer_.waitBehind(ahead.calls, now);
    if (running_.size() + ahead.calls < slots_ + spareInFlight)
        return paced;
    Microseconds remaining{};
    for (const auto &[ticket, running] : running_)
        remaining += std::max(Microseconds(0), running.expectedEnd - now);
    return std::max(paced,
                    (ahead.work + remaining / detail::runningWorkDivisor) / std::max(1U, slots_));
}

ServerGate::Queue ServerGate::queueAhead(std::uint32_t rank) const
{
    Queue ahead;
    for (const GateRequest &waiting : waiting_) {
        if (waiting.rank > rank)
            break;
        ++ahead.calls;
        ahead.work += waiting.work;
    }
    for (const auto &[ticket, held] : held_) {
        if (held.rank <= rank) {
            ++ahead.calls;
            ahead.work += held.work;
        }
    }
    return ahead;
}

void ServerGate::start(const GateRequest &offer, TimePoint now)
{
    running_.emplace(offer.ticket, Running{now + offer.work});
    pacer_.start(now);
}

void ServerGate::removeExpired(TimePoint now, std::vector<GateTicket> &expired)
{
    Queue ahead;
    for (auto waiting = waiting_.begin(); waiting != waiting_.end();) {
        if (now + waitBehind(ahead, now) + waiting->work <= waiting->finishBy) {
            ++ahead.calls;
            ahead.work += waiting->work;
            ++waiting;
            continue;
        }
        expired.push_back(waiting->ticket);
        waiting = waiting_.erase(waiting);
    }
}

} // namespace cornelhead
