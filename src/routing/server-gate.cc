// Implements the admission queue of a backend server.
#include "cornelhead/routing/server-gate.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "cornelhead/routing/call-rank.h"

namespace cornelhead {
namespace detail {

// Of several running calls, the next to end has less than half of its service time left on
// average.
constexpr int runningWorkDivisor = 2;
// Load reports contain the wait of a call of this rank: normal priority.
constexpr std::uint32_t reportedRank = 2;
// A returning call goes before first tries of customers that have had up to this many of such calls
// less.  Without a bound the returning calls of one customer would take all slots.
constexpr double returningLead = 4.0;

} // namespace detail

ServerGate::Verdict ServerGate::offer(const GateRequest &offer, TimePoint now,
                                      std::vector<GateTicket> &expired)
{
    shares_.recordDemand(offer.customer, offer.work, now);
    if (isOpen(now)) {
        start(offer, now);
        return Verdict::Start;
    }
    const auto position = insert(offer, now);
    const Microseconds wait = waitBehind(queueAhead(position, offer.rank), now);
    if (now + wait + offer.work > offer.finishBy) {
        waiting_.erase(position);
        return Verdict::Refuse;
    }
    removeExpired(now, expired);
    return Verdict::Wait;
}

ServerGate::Verdict ServerGate::judgeRoom(const GateRequest &request, Microseconds arrival,
                                          TimePoint now)
{
    // In the place that it would have now.
    const auto position = insert(request, now);
    const Microseconds wait = waitBehind(queueAhead(position, request.rank), now);
    waiting_.erase(position);
    if (now + std::max(wait, arrival) + request.work > request.finishBy)
        return Verdict::Refuse;
    const bool isFree = waiting_.empty() && running_.size() + held_.size() < slots_ + spareInFlight;
    return isFree && wait == Microseconds(0) ? Verdict::Start : Verdict::Wait;
}

ServerGate::Verdict ServerGate::admitHeld(const GateRequest &request, TimePoint now,
                                          std::vector<GateTicket> &expired)
{
    shares_.recordDemand(request.customer, request.work, now);
    if (isOpen(now)) {
        start(request, now);
        return Verdict::Start;
    }
    // Goes before first tries of its rank, as a returning call does.
    GateRequest first = request;
    first.isReturning = true;
    insert(first, now);
    removeExpired(now, expired);
    return Verdict::Wait;
}

void ServerGate::remove(GateTicket ticket)
{
    if (running_.erase(ticket) == 0)
        waiting_.remove_if([&](const Waiting &waiting) { return waiting.call.ticket == ticket; });
}

std::optional<GateTicket> ServerGate::startNext(TimePoint now, std::vector<GateTicket> &expired)
{
    while (!waiting_.empty() && mayStart(now)) {
        sort(now);
        const GateRequest next = waiting_.front().call;
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
    for (const Waiting &waiting : waiting_)
        tickets.push_back(waiting.call.ticket);
    waiting_.clear();
    return tickets;
}

bool ServerGate::isWaiting(GateTicket ticket) const
{
    return std::any_of(waiting_.begin(), waiting_.end(),
                       [&](const Waiting &waiting) { return waiting.call.ticket == ticket; });
}

GateLoad ServerGate::load(TimePoint now) const
{
    GateLoad load;
    load.running = static_cast<std::uint32_t>(running_.size());
    load.waiting = static_cast<std::uint32_t>(waiting_.size() + held_.size());
    load.slots = slots_;
    // The priorities of customers spread calls over more ranks.
    load.wait = waitBehind(queueAhead(shares_.isEmpty() ? detail::reportedRank : maxCallRank - 1),
                           now);
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
    const auto behind = std::find_if(waiting_.begin(), waiting_.end(), [&](const Waiting &waiting) {
        return waiting.call.rank > rank;
    });
    return queueAhead(behind, rank);
}

ServerGate::Queue ServerGate::queueAhead(WaitingCalls::const_iterator call,
                                         std::uint32_t rank) const
{
    Queue ahead;
    for (auto waiting = waiting_.begin(); waiting != call; ++waiting) {
        ++ahead.calls;
        ahead.work += waiting->call.work;
    }
    for (const auto &[ticket, held] : held_) {
        if (held.rank <= rank) {
            ++ahead.calls;
            ahead.work += held.work;
        }
    }
    return ahead;
}

ServerGate::WaitingCalls::const_iterator ServerGate::insert(const GateRequest &offer, TimePoint now)
{
    const auto added = waiting_.insert(waiting_.end(), Waiting{offer, ++arrivals_});
    sort(now);
    return added;
}

void ServerGate::sort(TimePoint now)
{
    const auto byArrival = [](const Waiting &waiting) {
        return std::make_tuple(waiting.call.rank, !waiting.call.isReturning, waiting.arrival);
    };
    waiting_.sort([&](const Waiting &a, const Waiting &b) { return byArrival(a) < byArrival(b); });
    if (shares_.isEmpty())
        return;
    // The level that each customer will have once its calls before the next one have started.
    std::map<CustomerId, double> levels;
    const double meanLevel = shares_.meanLevel(now);
    for (Waiting &waiting : waiting_) {
        const CustomerId &customer = waiting.call.customer;
        if (customer.empty()) {
            waiting.level = meanLevel;
            continue;
        }
        double &level = levels.try_emplace(customer, shares_.level(customer, now)).first->second;
        const double share
                = static_cast<double>(waiting.call.work.count()) / shares_.weight(customer, now);
        waiting.level = level - (waiting.call.isReturning ? detail::returningLead * share : 0.0);
        level += share;
    }
    waiting_.sort([](const Waiting &a, const Waiting &b) {
        return std::make_pair(a.call.rank, a.level) < std::make_pair(b.call.rank, b.level);
    });
}

void ServerGate::start(const GateRequest &offer, TimePoint now)
{
    running_.emplace(offer.ticket, Running{now + offer.work});
    pacer_.start(now);
    shares_.recordStart(offer.customer, offer.work, now);
}

void ServerGate::removeExpired(TimePoint now, std::vector<GateTicket> &expired)
{
    Queue ahead;
    for (auto waiting = waiting_.begin(); waiting != waiting_.end();) {
        if (now + waitBehind(ahead, now) + waiting->call.work <= waiting->call.finishBy) {
            ++ahead.calls;
            ahead.work += waiting->call.work;
            ++waiting;
            continue;
        }
        expired.push_back(waiting->call.ticket);
        waiting = waiting_.erase(waiting);
    }
}

} // namespace cornelhead
