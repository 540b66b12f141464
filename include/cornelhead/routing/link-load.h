// What large bodies cost on the links of two hosts.
//
// Load pattern: some hosts have links on which one upload takes as long as many small calls.  A
// burst of uploads fills the links of their servers' hosts and of their callers' hosts, while the
// servers themselves have room.
#pragma once

#include <compare>
#include <cstdint>

#include "cornelhead/base/clock.h"

namespace cornelhead {

/// The capacity of a host's link in one direction; zero if it is not known.
class LinkSpeed
{
public:
    constexpr LinkSpeed() = default;
    constexpr explicit LinkSpeed(std::uint64_t bytesPerSecond) : bytesPerSecond_(bytesPerSecond) { }
    static LinkSpeed fromMbps(double mbps);

    constexpr std::uint64_t bytesPerSecond() const { return bytesPerSecond_; }
    constexpr bool isKnown() const { return bytesPerSecond_ > 0; }
    /// Returns how long the link takes for `bytes`; 0 if its capacity is not known.
    Microseconds timeOf(std::uint64_t bytes) const;

    friend constexpr auto operator<=>(const LinkSpeed &, const LinkSpeed &) = default;

private:
    std::uint64_t bytesPerSecond_ = 0;
};

/// Large bodies share a link only while they take no longer than this together.  Small calls wait
/// behind them, and a host that does not accept a connection within this time is taken for
/// unreachable.
constexpr Milliseconds maxSharedTime = Milliseconds(250);

/// What a host reports about its link.
struct InboundLoad
{
    /// Bytes of large bodies for which the host holds room and which have not arrived whole.
    std::uint64_t bytes = 0;
    LinkSpeed speed;
};

/// The body of a call, and the link of the node that sends it.
struct OutgoingBody
{
    std::uint64_t bytes = 0;
    LinkSpeed ownLink;
};

/// Returns whether the body takes long enough on the narrower link, as far as known, that asking
/// for room first costs less than sending it in vain.
bool isLargeBody(const OutgoingBody &body, LinkSpeed otherLink);

/// Returns the expected time until a large body has arrived at a host whose report is `reportAge`
/// old; 0 for other bodies.
Microseconds arrivalTime(const OutgoingBody &body, const InboundLoad &host, Microseconds reportAge);

} // namespace cornelhead
