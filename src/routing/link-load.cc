// Implements what large bodies cost on links.
#include "cornelhead/routing/link-load.h"

#include <algorithm>
#include <cmath>

namespace cornelhead {
namespace detail {

constexpr double bytesPerMegabit = 125'000.0;
constexpr std::uint64_t microsecondsPerSecond = 1'000'000;
// Smaller bodies fit into the first windows of a connection.
constexpr std::uint64_t minLargeBytes = 16 * 1024;
// About the time of a message to another data centre and back.
constexpr Microseconds minLargeTime = Milliseconds(5);

} // namespace detail

LinkSpeed LinkSpeed::fromMbps(double mbps)
{
    return LinkSpeed(static_cast<std::uint64_t>(std::llround(mbps * detail::bytesPerMegabit)));
}

Microseconds LinkSpeed::timeOf(std::uint64_t bytes) const
{
    if (!isKnown())
        return Microseconds(0);
    return Microseconds(bytes * detail::microsecondsPerSecond / bytesPerSecond_);
}

bool isLargeBody(const OutgoingBody &body, LinkSpeed otherLink)
{
    if (body.bytes <= detail::minLargeBytes)
        return false;
    return std::max(body.ownLink.timeOf(body.bytes), otherLink.timeOf(body.bytes))
            >= detail::minLargeTime;
}

Microseconds arrivalTime(const OutgoingBody &body, const InboundLoad &host, Microseconds reportAge)
{
    if (!isLargeBody(body, host.speed))
        return Microseconds(0);
    const Microseconds ahead = std::max(Microseconds(0), host.speed.timeOf(host.bytes) - reportAge);
    return std::max(body.ownLink.timeOf(body.bytes), ahead + host.speed.timeOf(body.bytes));
}

} // namespace cornelhead
