// The admission queue in front of one backend server, kept by the node on its host.
//
// Load pattern: for seconds, more calls arrive than the server's slots can finish, and nested calls
// from other servers compete with calls of clients.  Nested calls go first, as slots are already
// spent on their outer calls, then routes by priority.  A call that cannot finish in time is
// refused at once, so that slots are spent only on responses that are still useful.  Within a rank
// the customers share the server: one that sends many times its usual calls waits behind the
// others, and gives way first.  A caller that was told to come back goes before first tries.  A
// server may also limit the rate of its calls; as all calls to it pass through this gate, the limit
// holds for all hosts together.
#pragma once

#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <vector>

#include "cornelhead/base/clock.h"
#include "cornelhead/base/ids.h"
#include "cornelhead/routing/call-pacer.h"
#include "cornelhead/routing/customer-shares.h"

namespace cornelhead {

/// Identifies a call at a gate.
using GateTicket = Number<struct GateTicketTag>;

/// A request to admit a call.
struct GateRequest
{
    GateTicket ticket;
    /// Lower ranks start first: `nestedCallRank` for a nested call from another server, else
    /// `callRank`.
    std::uint32_t rank = 1;
    /// Expected service time.
    Microseconds work{};
    /// A response after this time is useless; the call expires when it can no longer meet it.
    TimePoint finishBy{};
    /// Calls of equal rank start in the order of their customers' shares; empty if the call has
    /// none.
    CustomerId customer{};
    /// A caller's retry, which goes before first tries of its rank and customer, and a little
    /// before those of other customers.
    bool isReturning = false;
};

/// The load of a gate as reported to other nodes.
struct GateLoad
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
    /// Expected wait of a new call of normal priority.
    Microseconds wait{};
    /// The server's limit, and the rate at which calls arrive.
    std::optional<CallRate> limit;
    CallRate demand;
};

/// Decides which calls run, wait or are refused.  Does no I/O and reads no clock.
class ServerGate
{
public:
    /// Calls sent to the server beyond its slots, so that a free slot never waits for the next
    /// call.
    static constexpr std::uint32_t spareInFlight = 1;

    enum class Verdict {
        Start,
        Wait,
        Refuse, ///< The call could not finish in time.
    };

    void setSlots(std::uint32_t slots) { slots_ = slots; }
    void setLimit(std::optional<CallRate> limit, TimePoint now) { pacer_.setLimit(limit, now); }
    /// Records a call that arrived, also if it is not offered.
    void recordArrival(TimePoint now) { pacer_.recordArrival(now); }

    /// Starts, queues or refuses a call.  Waiting calls that expire because of it are removed and
    /// appended to `expired`.
    Verdict offer(const GateRequest &offer, TimePoint now, std::vector<GateTicket> &expired);
    /// Judges a call whose body needs `arrival` to come: `Start` if a place is free for it, `Wait`
    /// if it would have to wait but end in time.  Adds nothing to the queue.
    Verdict judgeRoom(const GateRequest &request, Microseconds arrival, TimePoint now);
    /// Counts a call that is yet to come as waiting, for the wait of later calls and for the load;
    /// calls that are there are not held up by it.
    void hold(const GateRequest &place) { held_.emplace(place.ticket, place); }
    void release(GateTicket ticket) { held_.erase(ticket); }
    /// Starts or queues a call for which room was held: it goes before the calls of its rank that
    /// came meanwhile.
    Verdict admitHeld(const GateRequest &request, TimePoint now, std::vector<GateTicket> &expired);
    /// Ends a running call, or removes a waiting one.
    void remove(GateTicket ticket);
    /// Starts the next waiting call if there is room.  Expired calls before it are removed and
    /// appended to `expired`.
    std::optional<GateTicket> startNext(TimePoint now, std::vector<GateTicket> &expired);
    /// Removes and returns all waiting calls.
    std::vector<GateTicket> removeWaiting();

    bool isWaiting(GateTicket ticket) const;
    /// Returns whether a new call would start at once.
    bool isOpen(TimePoint now) const { return waiting_.empty() && mayStart(now); }
    /// Returns the time until the limit allows the next waiting call to start; nothing if no call
    /// waits, or if it waits for a slot.
    std::optional<Microseconds> limitWait(TimePoint now) const;
    GateLoad load(TimePoint now) const;

private:
    struct Running
    {
        TimePoint expectedEnd{};
    };

    struct Waiting
    {
        GateRequest call;
        std::uint64_t arrival = 0;
        // Of calls of equal rank the lowest starts first; as `CustomerShares::level`.
        double level = 0.0;
    };
    using WaitingCalls = std::list<Waiting>;

    /// What a call waits behind.
    struct Queue
    {
        std::size_t calls = 0;
        /// Their service time.
        Microseconds work{};
    };

    bool hasRoom() const { return running_.size() < slots_ + spareInFlight; }
    bool mayStart(TimePoint now) const
    {
        return hasRoom() && pacer_.waitBehind(0, now) == Microseconds(0);
    }
    /// Returns the expected wait of a call behind `ahead`.
    Microseconds waitBehind(const Queue &ahead, TimePoint now) const;
    /// Returns what a new call of `rank` would wait behind.
    Queue queueAhead(std::uint32_t rank) const;
    /// Returns what a call of `rank` waits behind in the place of `call`.
    Queue queueAhead(WaitingCalls::const_iterator call, std::uint32_t rank) const;
    WaitingCalls::const_iterator insert(const GateRequest &offer, TimePoint now);
    /// Puts the waiting calls into start order, as the customers' shares change.
    void sort(TimePoint now);
    void start(const GateRequest &offer, TimePoint now);
    void removeExpired(TimePoint now, std::vector<GateTicket> &expired);

    std::uint32_t slots_ = 1;
    CallPacer pacer_;
    std::map<GateTicket, Running> running_;
    // In start order: by rank, then by level, then returning calls first, then by arrival.
    WaitingCalls waiting_;
    std::uint64_t arrivals_ = 0;
    CustomerShares shares_;
    // Calls whose bodies are still to come.
    std::map<GateTicket, GateRequest> held_;
};

} // namespace cornelhead
