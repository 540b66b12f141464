// Implements the memory of servers' notices.
#include "cornelhead/routing/server-notices.h"

namespace cornelhead {

void ServerNotices::record(const ServerId &server, std::int64_t startedAtMs,
                           const ServerNotice &notice, TimePoint now)
{
    const std::pair run(server, startedAtMs);
    const auto entry = entries_.find(run);
    const bool isLeaving
            = notice.isLeaving || (entry != entries_.end() && entry->second.notice.isLeaving);
    if (!notice.limit && !isLeaving)
        entries_.erase(run);
    else
        entries_.insert_or_assign(run, Entry{ServerNotice{notice.limit, isLeaving}, now});
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
