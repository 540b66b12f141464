// When a backend server that has just started reaches its full speed.
#pragma once

#include <optional>

#include "cornelhead/base/clock.h"
#include "cornelhead/membership/local-server.h"

namespace cornelhead {

/// Tracks the warm-up of the host's server by its heartbeats.  Reads no clock.
///
/// Invariant: within one run of the server the end of the warm-up only moves to an earlier time.  A
/// heartbeat that is delayed, or read after a pause of this process, states an end that is too
/// late.
class WarmUp
{
public:
    /// Applies a heartbeat that is not stale.
    void observe(const ServerAnnouncement &announcement, TimePoint now);
    /// Forgets the server, which may have restarted: it is not warm until its next heartbeat.
    void reset() { endsAt_.reset(); }
    bool isOver(TimePoint now) const { return endsAt_ && now >= *endsAt_; }

private:
    ServerId server_;
    std::int64_t startedAtMs_ = 0;
    // Empty before the first heartbeat of the run.
    std::optional<TimePoint> endsAt_;
};

} // namespace cornelhead
