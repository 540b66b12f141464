// Tracks the state of the host's backend server.
#include "cornelhead/membership/local-server.h"

#include <tuple>
#include <utility>

namespace cornelhead {

LocalServer::UpdateResult LocalServer::apply(const ServerAnnouncement &announcement)
{
    // Servers that do not report their start time are distinguished by id alone.
    const bool isOtherServerWithoutStart = announcement.startedAtMs == 0 && startedAtMs_ == 0
            && server_ && server_->id != announcement.server.id;
    const auto order = std::tie(announcement.startedAtMs, announcement.sequence);
    if (!isOtherServerWithoutStart && order <= std::tie(startedAtMs_, sequence_))
        return UpdateResult::Stale;
    if (isDeparted(announcement.server.id, announcement.startedAtMs))
        return UpdateResult::Stale;
    const bool isNewRun = isOtherServerWithoutStart || announcement.startedAtMs != startedAtMs_;
    // A draining server does not return to serving within one run.
    const bool wasDraining = !isNewRun && server_ && server_->state == ServerState::Draining;
    HostedServer server = announcement.server;
    server.startedAtMs = announcement.startedAtMs;
    if (wasDraining)
        server.state = ServerState::Draining;
    isUnconfirmed_ = isUnconfirmed_ && !isNewRun;
    if (isNewRun) {
        notice_ = ServerNotice();
        hasHeardNotice_ = false;
    }
    const bool isChanged = isDown_ != isUnconfirmed_ || server_ != server;
    startedAtMs_ = announcement.startedAtMs;
    sequence_ = announcement.sequence;
    server_ = server;
    isDown_ = isUnconfirmed_;
    return isChanged ? UpdateResult::Changed : UpdateResult::Unchanged;
}

LocalServer::UpdateResult LocalServer::apply(const ServerDeparture &departure)
{
    if (!server_) {
        departed_ = departure.id;
        departedStartedAtMs_ = departure.receivedAtMs;
        return UpdateResult::Unchanged;
    }
    if (server_->id != departure.id)
        return UpdateResult::Stale;
    departed_ = departure.id;
    departedStartedAtMs_ = startedAtMs_;
    const bool isChanged = server_->state != ServerState::Draining;
    server_->state = ServerState::Draining;
    return isChanged ? UpdateResult::Changed : UpdateResult::Unchanged;
}

LocalServer::UpdateResult LocalServer::apply(const ServerNotice &notice)
{
    hasHeardNotice_ = true;
    if (notice.isLeaving && server_)
        server_->state = ServerState::Draining;
    return std::exchange(notice_, notice) == notice ? UpdateResult::Unchanged
                                                    : UpdateResult::Changed;
}

LocalServer::UpdateResult LocalServer::applyKnownLimit(CallRate limit)
{
    if (hasHeardNotice_ || notice_.limit)
        return UpdateResult::Unchanged;
    notice_.limit = limit;
    return UpdateResult::Changed;
}

bool LocalServer::adopt(const HostedServer &published)
{
    if (server_ || isDeparted(published.id, published.startedAtMs))
        return false;
    server_ = published;
    startedAtMs_ = published.startedAtMs;
    isDown_ = true;
    isUnconfirmed_ = true;
    return true;
}

bool LocalServer::markDown()
{
    const bool isChanged = server_ && !isDown_;
    isDown_ = true;
    return isChanged;
}

bool LocalServer::markHealthy(const ServerId &id)
{
    if (!server_ || server_->id != id)
        return false;
    const bool isChanged = isDown_;
    isDown_ = false;
    isUnconfirmed_ = false;
    return isChanged;
}

void LocalServer::markReplaced()
{
    isDown_ = true;
}

std::optional<HostedServer> LocalServer::published() const
{
    if (isDown_)
        return std::nullopt;
    return server_;
}

const HostedServer *LocalServer::usable() const
{
    if (!server_ || isDown_ || server_->state == ServerState::Draining)
        return nullptr;
    return &*server_;
}

} // namespace cornelhead
