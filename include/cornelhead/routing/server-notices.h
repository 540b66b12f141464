// What a node remembers of the notices of backend servers on other hosts.
//
// Load pattern: the node beside a server restarts and forgets what the server reported.  Until the
// server answers again, the nodes that have heard of its limit pass it on with their calls, and
// those that have heard that it leaves send it none.
#pragma once

#include <cstdint>
#include <map>
#include <utility>

#include "cornelhead/base/clock.h"
#include "cornelhead/membership/host-entry.h"
#include "cornelhead/membership/server-notice.h"

namespace cornelhead {

/// The last notice of each run of a server.  Survives restarts of the node beside the server.
class ServerNotices
{
public:
    /// A run that has not been heard of for this long has ended, or is idle.
    static constexpr Milliseconds retention = Milliseconds(600'000);

    /// Records a notice of the run of `server` that started at `startedAtMs`, as in `HostedServer`.
    /// A run that leaves does not return.
    void record(const ServerId &server, std::int64_t startedAtMs, const ServerNotice &notice,
                TimePoint now);
    /// Returns the last notice of this run of a server; an empty one if it is not known.
    ServerNotice find(const HostedServer &server) const;
    void evictExpired(TimePoint now);

private:
    struct Entry
    {
        ServerNotice notice;
        TimePoint heardAt{};
    };

    // Holds no empty notices.
    std::map<std::pair<ServerId, std::int64_t>, Entry> entries_;
};

} // namespace cornelhead
