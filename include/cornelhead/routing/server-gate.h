// The queue in front of one backend server, kept by the node on its host.
//
// Load pattern: more calls arrive than the server's slots can finish, for seconds, while calls that
// servers make for other calls compete with those of clients.  Work that a slot was already spent
// on goes first, then the more urgent routes, and whatever can no longer be finished in time is
// refused at once, so that slots are spent on answers that are still worth something.
#pragma once

#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <vector>

#include "cornelhead/base/clock.h"
#include "cornelhead/base/ids.h"

namespace cornelhead {

/// Numbers a call at one gate.
using GateTicket = Number<struct GateTicketTag>;

/// What the gate needs to know of a call.
struct GateRequest
{
    GateTicket ticket;
    /// 0 for a call that a server makes while it runs another one, else 1 + the route's priority.
    std::uint32_t rank = 1;
    /// Expected time at the server.
    Microseconds work{};
    /// The call is of no use if it ends later.
    TimePoint finishBy{};
};

/// What others may know of a gate.
struct GateLoad
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
    /// Expected wait of a call of middle rank that arrives now.
    Microseconds wait{};
};

/// Decides which calls run, wait or are refused.  Holds no socket and no clock.
class ServerGate
{
public:
    /// Calls kept at the server beyond its slots, so that a slot never waits for the next call.
    static constexpr std::uint32_t spareInFlight = 1;

    enum class Verdict {
        Start,
        Wait,
        Refuse, ///< It could not be finished in time.
    };

    void setSlots(std::uint32_t slots) { slots_ = slots; }

    /// Takes a call.  Waiting calls that can no longer be finished because of it are removed and
    /// added to `hopeless`.
    Verdict offer(const GateRequest &offer, TimePoint now, std::vector<GateTicket> &hopeless);
    /// Ends a running call, or removes a waiting one.
    void remove(GateTicket ticket);
    /// Starts the next waiting call if there is room; hopeless ones are removed and added.
    std::optional<GateTicket> startNext(TimePoint now, std::vector<GateTicket> &hopeless);
    /// Removes every waiting call.
    std::vector<GateTicket> removeWaiting();

    bool isWaiting(GateTicket ticket) const;
    GateLoad load(TimePoint now) const;

private:
    struct Running
    {
        TimePoint expectedEnd{};
    };

    bool hasRoom() const { return running_.size() < slots_ + spareInFlight; }
    /// Time until a slot is free for a call that has `ahead` of work before it.
    Microseconds waitBehind(Microseconds ahead, TimePoint now) const;
    Microseconds workAhead(std::uint32_t rank) const;
    void start(const GateRequest &offer, TimePoint now);
    void removeHopeless(TimePoint now, std::vector<GateTicket> &hopeless);

    std::uint32_t slots_ = 1;
    std::map<GateTicket, Running> running_;
    // In the order in which they start: by rank, then by arrival.
    std::list<GateRequest> waiting_;
};

} // namespace cornelhead
