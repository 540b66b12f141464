// Implements the following of the key-value service.
#include "cornelhead/sidecar/store-follower.h"

#include <utility>

namespace cornelhead::detail {

namespace {

constexpr const char *followerPart = "fleet";
/// A long poll is one priced call however long it waits; the service allows at most 30 s.
constexpr Milliseconds watchWait(20000);
/// Changes come in series; those within this time share one call.  A longer series shares more, as
/// a change must be in force only after two seconds.
constexpr Milliseconds watchPause(300);
constexpr Milliseconds operatorSeriesPause(700);
/// Entries of hosts may be older, as a host refuses truthfully what it cannot take.
constexpr Milliseconds hostsPause(400);
constexpr Milliseconds hostsSeriesPause(1000);
constexpr Milliseconds seriesGap(2500);
/// Bytes that take a link of 10 Mbit/s a twentieth of a second.
constexpr std::size_t longAnswer = 64 * 1024;
/// A watch may be cut while the service is well.
constexpr Milliseconds firstRetry(100);
/// After a second failure renewals of the lease tell when the service is back; this is for the case
/// that they do not.
constexpr Milliseconds laterRetry(2000);
/// A relay that answers later than this after its own wait is frozen or cut off.
constexpr Milliseconds feedGrace(400);
constexpr Milliseconds avoidTime(2000);
/// After a relay failed the service itself is followed for at least so long.
constexpr Milliseconds directTime(400);
/// A node that the service turns away as well looks for a relay that it serves this often.
constexpr Milliseconds awayTime(1000);
/// Renewals of a relay's lease come each 600 ms, and a slow service takes up to 300 ms.
constexpr Milliseconds mostSilence(1000);

std::size_t sizeOf(const WatchResponse &answer)
{
    std::size_t bytes = 0;
    for (const KeyValue &entry : answer.changed)
        bytes += entry.value.size();
    return bytes;
}

} // namespace

StoreFollower::StoreFollower(EventLoop &loop, PlatformClient &platform, std::string operatorPrefix,
                             std::string ownPrefix, EventLog &log, std::uint64_t seed,
                             FollowerHandlers handlers)
    : loop_(loop), platform_(platform), log_(log), random_(seed), handlers_(std::move(handlers)),
      peers_(loop), feed_(loop, [this] { return isFit(); })
{
    Watch &operators = watches_[0];
    operators.prefix = std::move(operatorPrefix);
    operators.pauseTime = watchPause;
    operators.seriesPause = operatorSeriesPause;
    Watch &own = watches_[1];
    own.subtree = Subtree::Own;
    own.prefix = std::move(ownPrefix);
    own.pauseTime = hostsPause;
    own.seriesPause = hostsSeriesPause;
}

void StoreFollower::start()
{
    restartWatches();
}

void StoreFollower::restartWatches()
{
    ++generation_;
    // Configurations are long, and a watch would bring every version since.
    watches_[0].isListed = false;
    for (Watch &watch : watches_) {
        watch.failuresInRow = 0;
        follow(watch);
    }
}

// Lists or watches, whichever is due, and goes on for ever.
void StoreFollower::follow(Watch &watch)
{
    watch.pause = Timer();
    const auto take = [this, &watch, generation = generation_](Result<WatchResponse> answer) {
        if (generation == generation_)
            takeAnswer(watch, std::move(answer));
    };
    if (watch.isListed) {
        platform_.watch(watch.prefix, watch.after, watchWait, take);
        return;
    }
    platform_.list(watch.prefix, [take](Result<Listing> listing) {
        if (!listing)
            take(tl::unexpected(listing.error()));
        else
            take(WatchResponse{std::move(listing->entries), {}, listing->storeRevision, true});
    });
}

void StoreFollower::followLater(Watch &watch, Milliseconds pause)
{
    watch.pause = loop_.after(pause, [this, &watch] { follow(watch); });
}

void StoreFollower::takeAnswer(Watch &watch, Result<WatchResponse> answer)
{
    if (!answer) {
        const bool isFirst = ++watch.failuresInRow == 1;
        if (!isFirst)
            noteReach(false, answer.error().describe());
        const Milliseconds pause = isFirst ? firstRetry : laterRetry;
        followLater(watch, pause + random_.jitter(pause));
        return;
    }
    watch.failuresInRow = 0;
    const bool wasListing = !std::exchange(watch.isListed, true);
    const std::uint64_t generation = generation_;
    noteReach(true, {});
    deliver(watch, *answer);
    // The service is back, and all watches were begun anew.
    if (generation != generation_)
        return;
    if (wasListing) {
        follow(watch);
        return;
    }
    const TimePoint time = now(SteadyClock());
    const bool isSeries = time - watch.lastChange < seriesGap;
    watch.lastChange = time;
    // A watch would bring every version of a series, a listing only the last.
    if (isSeries && sizeOf(*answer) > longAnswer)
        watch.isListed = false;
    followLater(watch, isSeries ? watch.seriesPause : watch.pauseTime);
}

void StoreFollower::deliver(Watch &watch, const WatchResponse &answer)
{
    watch.after = std::max(watch.after, answer.storeRevision);
    feed_.take(watch.subtree, answer);
    handlers_.onAnswer(watch.subtree, answer);
}

void StoreFollower::noteReach(bool reached, const std::string &why)
{
    if (reached)
        heardAt_ = now(SteadyClock());
    if (isReachable_ == reached)
        return;
    const bool wasCurrent = isCurrent();
    isReachable_ = reached;
    if (reached) {
        log_.write(EventKind::Lifecycle, followerPart, "dependency-regained",
                   {{"dependency", "platform"}});
    } else {
        log_.write(EventKind::Lifecycle, followerPart, "dependency-lost",
                   {{"dependency", "platform"}, {"why", why}});
        feed_.sweep();
    }
    if (wasCurrent != isCurrent())
        handlers_.onCurrent(isCurrent());
    // A long poll from before may hang on a path that was lost.
    if (reached && std::exchange(wasEverReachable_, true) && !relay_)
        restartWatches();
}

void StoreFollower::setFed(bool isFed)
{
    const bool wasCurrent = isCurrent();
    isFed_ = isFed;
    if (wasCurrent != isCurrent())
        handlers_.onCurrent(isCurrent());
}

bool StoreFollower::isFit() const
{
    if (relay_ || !isReachable_ || now(SteadyClock()) - heardAt_ > mostSilence)
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
    std::erase_if(avoidedUntil_, [time](const auto &entry) { return entry.second < time; });
    std::set<Address> avoided;
    for (const auto &[node, until] : avoidedUntil_)
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
        setFed(false);
        // Otherwise the watches begin when the service answers a renewal.
        if (isReachable_)
            restartWatches();
        handlers_.onDirect();
        return;
    }
    ++generation_;
    for (Watch &watch : watches_)
        watch.pause = Timer();
}

void StoreFollower::pollRelay()
{
    const HttpRequest request{
            HttpMethod::Get, encodeFeedPoll({watches_[0].after, watches_[1].after}), {}, {}, {}};
    peers_.send(
            *relay_, request, feedWait + feedGrace,
            [this, relay = *relay_, generation = generation_](const Result<HttpResponse> &answer) {
                if (generation == generation_)
                    takeFeed(relay, answer);
            });
}

void StoreFollower::takeFeed(const Address &relay, const Result<HttpResponse> &answer)
{
    if (!answer) {
        peers_.closeIdleConnections(relay);
        leaveRelay(answer.error().describe());
        return;
    }
    const Result<FeedAnswer> feed = decodeFeedAnswer(answer->body);
    if (!feed || !feed->isFit) {
        leaveRelay(feed ? "it has not heard of the service" : feed.error().describe());
        return;
    }
    for (Watch &watch : watches_)
        deliver(watch, feed->changes[static_cast<std::size_t>(watch.subtree)]);
    setFed(true);
    chooseSource();
}

void StoreFollower::leaveRelay(const std::string &why)
{
    log_.write(EventKind::StateChange, followerPart, "relay-left",
               {{"relay", relay_->toString()}, {"why", why}});
    const TimePoint time = now(SteadyClock());
    avoidedUntil_[*relay_] = time + avoidTime;
    // Meanwhile the next relay, which has lost this one too, turns to the service itself.
    const Milliseconds pause = isReachable_ ? directTime : awayTime;
    directUntil_ = time + pause + random_.jitter(pause);
    setSource(std::nullopt);
}

} // namespace cornelhead::detail
