// Implements the clocks.
#include "cornelhead/base/clock.h"

namespace cornelhead {

TimePoint SteadyClock::now() const
{
    return std::chrono::time_point_cast<Microseconds>(std::chrono::steady_clock::now());
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
