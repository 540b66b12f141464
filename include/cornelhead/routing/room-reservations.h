// The rooms that a node holds for calls whose large bodies have not arrived yet.
//
// Load pattern: uploads that arrive whole only to be refused fill the link of a server's host, so
// that calls which the server could run come late.  A caller's node therefore asks for room first;
// the room is held until the call comes or should have come.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "cornelhead/base/clock.h"
#include "cornelhead/routing/link-load.h"
#include "cornelhead/routing/server-gate.h"

namespace cornelhead {

/// Holds rooms at a gate by the ids of the calls.  Does no I/O and reads no clock.
///
/// Invariant: the gate holds a room for exactly the calls that are recorded here.
class RoomReservations
{
public:
    explicit RoomReservations(ServerGate &gate) : gate_(gate) { }

    void setLink(LinkSpeed link) { link_ = link; }
    /// Returns the expected time until a further body of `bytes` has arrived.
    Microseconds arrivalTime(std::uint64_t bytes) const;
    /// Returns whether a further body of `bytes` would delay the host's small calls too much.
    bool isLinkFull(std::uint64_t bytes) const;
    /// Holds room for a call that the gate has judged.  A second offer of a call replaces the
    /// first.
    void hold(const std::string &id, const GateRequest &place, std::uint64_t bytes, TimePoint now);
    /// Frees the room of a call that has come.  Returns whether there was one.
    bool take(const std::string &id);
    /// Frees the rooms whose calls did not come in time and returns their number.
    std::size_t removeExpired(TimePoint now);
    void clear();

    InboundLoad load() const { return InboundLoad{bytes_, link_}; }
    std::size_t size() const { return rooms_.size(); }

private:
    struct Room
    {
        GateTicket ticket;
        std::uint64_t bytes = 0;
        TimePoint expiresAt{};
    };

    void release(const Room &room);

    ServerGate &gate_;
    LinkSpeed link_;
    std::map<std::string, Room> rooms_;
    // Invariant: the sum of the bytes of `rooms_`.
    std::uint64_t bytes_ = 0;
};

} // namespace cornelhead
