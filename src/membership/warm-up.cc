// Tracks the warm-up of the host's server.
#include "cornelhead/membership/warm-up.h"

#include <algorithm>

namespace cornelhead {

void WarmUp::observe(const ServerAnnouncement &announcement, TimePoint now)
{
    const TimePoint end = now + announcement.remainingColdTime;
    const bool isSameRun
            = server_ == announcement.server.id && startedAtMs_ == announcement.startedAtMs;
    endsAt_ = isSameRun && endsAt_ ? std::min(*endsAt_, end) : end;
    server_ = announcement.server.id;
    startedAtMs_ = announcement.startedAtMs;
}

} // namespace cornelhead
