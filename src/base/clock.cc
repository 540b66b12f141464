// Implements the clocks.
#include "cornelhead/base/clock.h"

#include <ctime>

namespace cornelhead {

TimePoint SteadyClock::now() const
{
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return TimePoint(std::chrono::duration_cast<Microseconds>(
            std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec)));
}

TimePoint now(const Clock &clock)
{
    return std::visit([](const auto &source) { return source.now(); }, clock);
}

std::int64_t wallClockMs()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<Milliseconds>(sinceEpoch).count();
}

} // namespace cornelhead
