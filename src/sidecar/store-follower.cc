// Implements following changes of the key-value store.
#include "cornelhead/sidecar/store-follower.h"

#include <utility>

namespace cornelhead::detail {

namespace {

constexpr const char *followerPart = "fleet";
/// A long poll costs one call however long it waits; the store allows at most 30 s.
constexpr Milliseconds watchWait(20000);
/// Pauses before the next watch, so that changes in quick succession share one call: after a single
/// change and after one of a series.  A change must be in force within two seconds.
constexpr Milliseconds operatorsPause(300);
constexpr Milliseconds operatorsSeriesPause(700);
/// The pauses for host entries are longer, as a host itself refuses calls that it cannot run.
constexpr Milliseconds hostsPause(400);
constexpr Milliseconds hostsSeriesPause(1000);
/// A change within this time of the last one belongs to a series.
constexpr Milliseconds maxSeriesGap(2500);
/// In a series, larger responses are listed instead of watched.  Such a response takes a link of
/// 10 Mbit/s a twentieth of a second.
constexpr std::size_t longResponseBytes = 64 * 1024;
/// A watch may break while the store is healthy, so the first retry is early.
constexpr Milliseconds firstRetryDelay(100);
/// After a second failure renewals of the lease detect when the store is back; the watch itself is
/// retried after this time in case they do not.
constexpr Milliseconds laterRetryDelay(2000);
/// A relay that responds later than this after `feedPollWait` is frozen or unreachable.
constexpr Milliseconds feedGrace(400);
/// A relay that failed is not chosen again for this time.
constexpr Milliseconds relayBackoff(2000);
/// Minimum time of following the store directly after a relay failed.
constexpr Milliseconds minDirectTime(400);
/// The same while the store is unreachable too, when the node looks for another relay.
constexpr Milliseconds relaySearchInterval(1000);
/// A node without contact to the store for longer cannot relay.  A relay renews its lease every
/// 600 ms, and a slow store answers within 300 ms.
constexpr Milliseconds maxStoreSilence(1000);

std::size_t sizeOf(const WatchResponse &response)
{
    std::size_t bytes = 0;
    for (const KeyValue &entry : response.changed)
        bytes += entry.value.size();
    return bytes;
}

} // namespace

StoreFollower::StoreFollower(EventLoop &loop, PlatformClient &platform, std::string operatorPrefix,
                             std::string fleetPrefix, EventLog &log, std::uint64_t seed,
                             FollowerHandlers handlers)
    : loop_(loop), platform_(platform), log_(log), random_(seed), handlers_(std::move(handlers)),
      peers_(loop), feed_(loop, [this] { return canRelay(); })
{
    Watch &operators = watches_[0];
    operators.prefix = std::move(operatorPrefix);
    operators.singlePause = operatorsPause;
    operators.seriesPause = operatorsSeriesPause;
    Watch &fleet = watches_[1];
    fleet.subtree = Subtree::Fleet;
    fleet.prefix = std::move(fleetPrefix);
    fleet.singlePause = hostsPause;
    fleet.seriesPause = hostsSeriesPause;
}

void StoreFollower::start()
{
    restartWatches();
}

void StoreFollower::restartWatches()
{
    ++generation_;
    // Configurations are large, and a watch would return every version since the last response.
    watches_[0].isListed = false;
    for (Watch &watch : watches_) {
        watch.consecutiveFailures = 0;
        requestChanges(watch);
    }
}

// Watches the prefix, or lists it first; every response schedules the next request.
void StoreFollower::requestChanges(Watch &watch)
{
    watch.pauseTimer = Timer();
    const auto onResponse
            = [this, &watch, generation = generation_](Result<WatchResponse> response) {
                  if (generation == generation_)
                      onWatchResponse(watch, std::move(response));
              };
    if (watch.isListed) {
        platform_.watch(watch.prefix, watch.after, watchWait, onResponse);
        return;
    }
    platform_.list(watch.prefix, [onResponse](Result<Listing> listing) {
        if (!listing)
            onResponse(tl::unexpected(listing.error()));
        else
            onResponse(
                    WatchResponse{std::move(listing->entries), {}, listing->storeRevision, true});
    });
}

void StoreFollower::requestChangesLater(Watch &watch, Milliseconds delay)
{
    watch.pauseTimer = loop_.after(delay, [this, &watch] { requestChanges(watch); });
}

void StoreFollower::onWatchResponse(Watch &watch, Result<WatchResponse> response)
{
    if (!response) {
        const bool isFirst = ++watch.consecutiveFailures == 1;
        if (!isFirst)
            setReachable(false, response.error().describe());
        const Milliseconds delay = isFirst ? firstRetryDelay : laterRetryDelay;
        requestChangesLater(watch, delay + random_.jitter(delay));
        return;
    }
    watch.consecutiveFailures = 0;
    const bool wasListing = !std::exchange(watch.isListed, true);
    const std::uint64_t generation = generation_;
    setReachable(true, {});
    deliver(watch, *response);
    // The store is back, which has restarted all watches.
    if (generation != generation_)
        return;
    if (wasListing) {
        requestChanges(watch);
        return;
    }
    const TimePoint time = now(SteadyClock());
    const bool isSeries = time - watch.lastChangeAt < maxSeriesGap;
    watch.lastChangeAt = time;
    // A watch would return every version of a series, a listing only the last one.
    if (isSeries && sizeOf(*response) > longResponseBytes)
        watch.isListed = false;
    requestChangesLater(watch, isSeries ? watch.seriesPause : watch.singlePause);
}

void StoreFollower::deliver(Watch &watch, const WatchResponse &response)
{
    watch.after = std::max(watch.after, response.storeRevision);
    feed_.apply(watch.subtree, response);
    handlers_.onResponse(watch.subtree, response);
}

void StoreFollower::setReachable(bool isReachable, const std::string &error)
{
    if (isReachable)
        lastResponseAt_ = now(SteadyClock());
    if (isReachable_ == isReachable)
        return;
    const bool wasCurrent = isCurrent();
    isReachable_ = isReachable;
    if (isReachable) {
        log_.write(EventKind::Lifecycle, followerPart, "dependency-regained",
                   {{"dependency", "platform"}});
    } else {
        log_.write(EventKind::Lifecycle, followerPart, "dependency-lost",
                   {{"dependency", "platform"}, {"why", error}});
        feed_.sweep();
    }
    if (wasCurrent != isCurrent())
        handlers_.onCurrent(isCurrent());
    // A long poll from before the outage may wait on a dead connection.
    if (isReachable && std::exchange(wasEverReachable_, true) && !relay_)
        restartWatches();
}

void StoreFollower::setRelayActive(bool isActive)
{
    const bool wasCurrent = isCurrent();
    isRelayActive_ = isActive;
    if (wasCurrent != isCurrent())
        handlers_.onCurrent(isCurrent());
}

bool StoreFollower::canRelay() const
{
    if (relay_ || !isReachable_ || now(SteadyClock()) - lastResponseAt_ > maxStoreSilence)
        return false;
    return hasListed();
}

bool StoreFollower::hasListed() const
{
    return watches_[0].after != ModRevision() && watches_[1].after != ModRevision();
}

void StoreFollower::sweep()
{
    feed_.sweep();
    if (!relay_ && hasListed() && now(SteadyClock()) >= directUntil_)
        chooseSource();
}

void StoreFollower::chooseSource()
{
    const TimePoint time = now(SteadyClock());
    std::erase_if(backoffUntil_, [time](const auto &entry) { return entry.second < time; });
    std::set<Address> avoided;
    for (const auto &[node, until] : backoffUntil_)
        avoided.insert(node);
    setSource(handlers_.chooseRelay(avoided));
    if (relay_)
        pollRelay();
}

void StoreFollower::setSource(const std::optional<Address> &relay)
{
    if (relay == relay_)
        return;
    relay_ = relay;
    log_.write(EventKind::StateChange, followerPart, "source-changed",
               {{"source", relay ? relay->toString() : "platform"}});
    if (!relay) {
        setRelayActive(false);
        // Otherwise the watches start once the store answers a renewal.
        if (isReachable_)
            restartWatches();
        handlers_.onDirect();
        return;
    }
    ++generation_;
    for (Watch &watch : watches_)
        watch.pauseTimer = Timer();
}

void StoreFollower::pollRelay()
{
    const HttpRequest request{
            HttpMethod::Get, encodeFeedPoll({watches_[0].after, watches_[1].after}), {}, {}, {}};
    peers_.send(*relay_, request, feedPollWait + feedGrace,
                [this, relay = *relay_,
                 generation = generation_](const Result<HttpResponse> &response) {
                    if (generation == generation_)
                        onFeedResponse(relay, response);
                });
}

void StoreFollower::onFeedResponse(const Address &relay, const Result<HttpResponse> &response)
{
    if (!response) {
        peers_.closeIdleConnections(relay);
        abandonRelay(response.error().describe());
        return;
    }
    const Result<FeedResponse> feed = decodeFeedResponse(response->body);
    if (!feed || !feed->canRelay) {
        abandonRelay(feed ? "the relay has lost the store" : feed.error().describe());
        return;
    }
    for (Watch &watch : watches_)
        deliver(watch, feed->changes[static_cast<std::size_t>(watch.subtree)]);
    setRelayActive(true);
    chooseSource();
}

void StoreFollower::abandonRelay(const std::string &reason)
{
    log_.write(EventKind::StateChange, followerPart, "relay-left",
               {{"relay", relay_->toString()}, {"why", reason}});
    const TimePoint time = now(SteadyClock());
    backoffUntil_[*relay_] = time + relayBackoff;
    // Meanwhile the node that becomes the next relay switches to the store itself.
    const Milliseconds directTime = isReachable_ ? minDirectTime : relaySearchInterval;
    directUntil_ = time + directTime + random_.jitter(directTime);
    setSource(std::nullopt);
}

} // namespace cornelhead::detail
