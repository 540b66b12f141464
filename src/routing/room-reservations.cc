// Implements the rooms held for calls with large bodies.
#include "cornelhead/routing/room-reservations.h"

namespace cornelhead {
namespace detail {

// The caller's node shares its link between two bodies.
constexpr int transferFactor = 2;
// For the messages between the nodes, and a link of the caller's that is narrower than this one.
constexpr Milliseconds transferMargin(500);

} // namespace detail

Microseconds RoomReservations::arrivalTime(std::uint64_t bytes) const
{
    return link_.timeOf(bytes_ + bytes);
}

bool RoomReservations::isLinkFull(std::uint64_t bytes) const
{
    return !rooms_.empty() && arrivalTime(bytes) > maxSharedTime;
}

void RoomReservations::hold(const std::string &id, const GateRequest &place, std::uint64_t bytes,
                            TimePoint now)
{
    take(id);
    const TimePoint expiresAt
            = now + arrivalTime(bytes) * detail::transferFactor + detail::transferMargin;
    gate_.hold(place);
    rooms_.emplace(id, Room{place.ticket, bytes, expiresAt});
    bytes_ += bytes;
}

bool RoomReservations::take(const std::string &id)
{
    const auto found = rooms_.find(id);
    if (found == rooms_.end())
        return false;
    release(found->second);
    rooms_.erase(found);
    return true;
}

std::size_t RoomReservations::removeExpired(TimePoint now)
{
    return std::erase_if(rooms_, [&](const auto &entry) {
        if (now <= entry.second.expiresAt)
            return false;
        release(entry.second);
        return true;
    });
}

void RoomReservations::clear()
{
    for (const auto &[id, room] : rooms_)
        release(room);
    rooms_.clear();
}

void RoomReservations::release(const Room &room)
{
    gate_.release(room.ticket);
    bytes_ -= room.bytes;
}

} // namespace cornelhead
