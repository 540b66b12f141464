// Implements the pacing of calls to a limited server.
#include "cornelhead/routing/call-pacer.h"

#include <algorithm>
#include <cmath>

namespace cornelhead {
namespace detail {

constexpr double microsecondsPerSecond = 1e6;
constexpr double arrivalsDecaySeconds = 1.0;

double secondsBetween(TimePoint from, TimePoint to)
{
    return static_cast<double>((to - from).count()) / microsecondsPerSecond;
}

} // namespace detail

void CallPacer::setLimit(std::optional<CallRate> limit, TimePoint now)
{
    if (limit)
        limit = std::max(*limit, minLimit);
    if (limit_ == limit)
        return;
    if (limit_ && limit) {
        const auto used = static_cast<double>((usedUntil_ - now).count());
        const double scale = limit_->perSecond() / limit->perSecond();
        usedUntil_ = now + Microseconds(static_cast<std::int64_t>(std::max(0.0, used) * scale));
    } else {
        usedUntil_ = now + burstTime;
    }
    limit_ = limit;
}

Microseconds CallPacer::interval() const
{
    return Microseconds(static_cast<std::int64_t>(
            std::ceil(detail::microsecondsPerSecond / limit_->perSecond())));
}

Microseconds CallPacer::waitBehind(std::size_t ahead, TimePoint now) const
{
    if (!limit_)
        return Microseconds(0);
    const TimePoint next
            = std::max(usedUntil_, now) + interval() * static_cast<std::int64_t>(ahead) - burstTime;
    return std::max(Microseconds(0), next - now);
}

void CallPacer::start(TimePoint now)
{
    if (limit_)
        usedUntil_ = std::max(usedUntil_, now) + interval();
}

void CallPacer::recordArrival(TimePoint now)
{
    arrivals_ = demand(now).perSecond() * detail::arrivalsDecaySeconds + 1.0;
    arrivalsAt_ = now;
}

CallRate CallPacer::demand(TimePoint now) const
{
    const double decay
            = std::exp(-detail::secondsBetween(arrivalsAt_, now) / detail::arrivalsDecaySeconds);
    return CallRate(arrivals_ * decay / detail::arrivalsDecaySeconds);
}

} // namespace cornelhead
