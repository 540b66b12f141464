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
/// A large change takes a slow link longer than that, so a response that has begun may go on while
/// bytes arrive.
constexpr Milliseconds feedStall(400);
constexpr Milliseconds longestFeedResponse(5000);
/// Another host accepts within two milliseconds unless it is down, unreachable or frozen.
constexpr Milliseconds feedConnectTimeout(250);
/// A relay that failed is not chosen again for this time, doubled with each failure in a row: its
/// host may be gone for good, and remains listed for seconds.
constexpr Milliseconds relayBackoff(2000);
constexpr std::uint32_t maxRelayBackoffDoublings = 3;
/// A node that failed to get changes from so many relays in a row, or for so long, follows the
/// store if it can.
constexpr std::uint32_t maxRelayFailures = 4;
constexpr Milliseconds maxRelaySilence(1500);
/// Minimum time of following the store directly after that.
constexpr Milliseconds minDirectTime(400);
/// Interval between polls of relays while the store is unreachable too.
constexpr Milliseconds relaySearchInterval(500);
/// Pause between a listing and the first watch, in which the node may find a relay.
constexpr Milliseconds listingPause(50);
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
      peers_(loop), feed_(loop, [this] { return relayState(); })
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

// A restarted node of a running fleet gets all state from a relay, which it finds by one cheap
// call.
void StoreFollower::start()
{
    const auto onListing = [this, generation = generation_](const Result<Listing> &listing) {
        if (generation != generation_)
            return;
        if (listing)
            setReachable(true, {});
        const std::optional<Address> relay
                = listing ? handlers_.chooseFirstRelay(*listing) : std::nullopt;
        if (!relay) {
            restartWatches();
            return;
        }
        setSource(relay);
        pollRelay();
    };
    platform_.list(watches_[1].prefix, onListing, Freshness::MayBeStale);
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
        if (watches_[0].isListed && watches_[1].isListed && now(SteadyClock()) >= directUntil_)
            chooseSource();
        if (!relay_)
            requestChangesLater(watch, listingPause);
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
    const ModRevision before = watch.after;
    watch.after = std::max(watch.after, response.storeRevision);
    const std::size_t passedOver = feed_.apply(watch.subtree, response);
    if (passedOver > 0 || response.storeRevision < before) {
        log_.write(EventKind::StateChange, followerPart, "changes-passed-over",
                   {{"prefix", watch.prefix},
                    {"changes", response.changed.size()},
                    {"passedOver", passedOver},
                    {"revision", response.storeRevision.value()},
                    {"before", before.value()}});
    }
    handlers_.onResponse(watch.subtree, response);
}

void StoreFollower::setReachable(bool isReachable, const std::string &error)
{
    if (isReachable)
        lastResponseAt_ = now(SteadyClock());
    if (isReachable_ == isReachable)
        return;
    isReachable_ = isReachable;
    if (isReachable) {
        log_.write(EventKind::Lifecycle, followerPart, "dependency-regained",
                   {{"dependency", "platform"}});
    } else {
        log_.write(EventKind::Lifecycle, followerPart, "dependency-lost",
                   {{"dependency", "platform"}, {"why", error}});
        feed_.sweep();
    }
    reportCurrent();
    // A long poll from before the outage may wait on a dead connection.
    if (isReachable && std::exchange(wasEverReachable_, true) && !relay_)
        restartWatches();
}

void StoreFollower::onStoreRestored()
{
    for (Watch &watch : watches_)
        watch.isListed = false;
    // Otherwise the watches start once the store answers.
    if (!relay_ && isReachable_)
        restartWatches();
}

void StoreFollower::setRelayActive(bool isActive)
{
    isRelayActive_ = isActive;
    reportCurrent();
}

void StoreFollower::reportCurrent()
{
    if (std::exchange(wasCurrent_, isCurrent()) != isCurrent())
        handlers_.onCurrent(isCurrent());
}

void StoreFollower::stop()
{
    isStopping_ = true;
    feed_.sweep();
}

RelayState StoreFollower::relayState() const
{
    if (isStopping_)
        return RelayState::Unable;
    if (relay_ || !wasEverReachable_)
        return RelayState::NotYet;
    if (!isReachable_ || now(SteadyClock()) - lastResponseAt_ > maxStoreSilence)
        return RelayState::Unable;
    return hasListed() ? RelayState::Ready : RelayState::NotYet;
}

bool StoreFollower::hasListed() const
{
    return watches_[0].after != ModRevision() && watches_[1].after != ModRevision();
}

void StoreFollower::sweep()
{
    feed_.sweep();
    // A listing that is on its way is not given up for a relay that may turn out to be down as
    // well.
    const bool isListing = isReachable_ && !(watches_[0].isListed && watches_[1].isListed);
    if (!relay_ && hasListed() && !isListing && now(SteadyClock()) >= directUntil_)
        chooseSource();
}

void StoreFollower::chooseSource()
{
    const TimePoint time = now(SteadyClock());
    std::erase_if(backoffs_, [time](const auto &entry) {
        return time - entry.second.until > relayBackoff * (1U << maxRelayBackoffDoublings);
    });
    std::set<Address> avoided;
    for (const auto &[node, backoff] : backoffs_) {
        if (backoff.until > time)
            avoided.insert(node);
    }
    setSource(handlers_.chooseRelay(avoided));
    if (relay_)
        pollRelay();
}

void StoreFollower::setSource(const std::optional<Address> &relay)
{
    if (relay == relay_)
        return;
    // A new relay is presumed to deliver until it fails.
    if (!relay_) {
        isRelayActive_ = isReachable_;
        lastFeedAt_ = now(SteadyClock());
    }
    relay_ = relay;
    log_.write(EventKind::StateChange, followerPart, "source-changed",
               {{"source", relay ? relay->toString() : "platform"}});
    ++generation_;
    nextRelayTimer_ = Timer();
    for (Watch &watch : watches_)
        watch.pauseTimer = Timer();
    reportCurrent();
    if (relay)
        return;
    // Otherwise the watches start once the store answers a renewal.
    if (isReachable_)
        restartWatches();
    handlers_.checkStore();
}

void StoreFollower::pollRelay()
{
    const HttpRequest request{
            HttpMethod::Get, encodeFeedPoll({watches_[0].after, watches_[1].after}), {}, {}, {}};
    const HttpTimeouts timeouts{feedConnectTimeout, feedPollWait + feedGrace, feedStall,
                                longestFeedResponse};
    peers_.send(*relay_, request, timeouts,
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
    if (feed && !feed->canRelay)
        handlers_.checkStore();
    if (!feed || !feed->canRelay) {
        abandonRelay(feed ? "the relay has lost the store or is stopping"
                          : feed.error().describe());
        return;
    }
    for (Watch &watch : watches_)
        deliver(watch, feed->changes[static_cast<std::size_t>(watch.subtree)]);
    relayFailures_ = 0;
    backoffs_.erase(relay);
    lastFeedAt_ = now(SteadyClock());
    setRelayActive(true);
    chooseSource();
}

void StoreFollower::abandonRelay(const std::string &reason)
{
    log_.write(EventKind::StateChange, followerPart, "relay-left",
               {{"relay", relay_->toString()}, {"why", reason}});
    const TimePoint time = now(SteadyClock());
    Backoff &backoff = backoffs_[*relay_];
    backoff.until
            = time + relayBackoff * (1U << std::min(backoff.failures++, maxRelayBackoffDoublings));
    ++generation_;
    setRelayActive(false);
    if (++relayFailures_ < maxRelayFailures && time - lastFeedAt_ < maxRelaySilence) {
        chooseSource();
        return;
    }
    if (!isReachable_) {
        const Milliseconds delay = relaySearchInterval + random_.jitter(relaySearchInterval);
        nextRelayTimer_ = loop_.after(delay, [this] { chooseSource(); });
        return;
    }
    relayFailures_ = 0;
    directUntil_ = time + minDirectTime + random_.jitter(minDirectTime);
    setSource(std::nullopt);
}

} // namespace cornelhead::detail
