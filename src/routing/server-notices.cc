// Implements the memory of servers' notices.
#include "cornelhead/routing/server-notices.h"

namespace cornelhead {

void ServerNotices::record(const ServerId &server, std::int64_t startedAtMs,
                           const ServerNotice &notice, TimePoint now)
{
    if (notice == ServerNotice())
        entries_.erase({server, startedAtMs});
    else
        entries_.insert_or_assign({server, startedAtMs}, Entry{notice, now});
}

ServerNotice ServerNotices::find(const HostedServer &server) const
{
    const auto entry = entries_.find({server.id, server.startedAtMs});
    return entry == entries_.end() ? ServerNotice() : entry->second.notice;
}

void ServerNotices::evictExpired(TimePoint now)
{
    std::erase_if(entries_,
                  [now](const auto &entry) { return now - entry.second.heardAt > retention; });
}

} // namespace cornelhead
