// Follows changes of the key-value store, by its own watches or through a relay.
#pragma once

#include <array>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "cornelhead/base/event-log.h"
#include "cornelhead/base/random.h"
#include "cornelhead/net/event-loop.h"
#include "cornelhead/platform/client.h"
#include "cornelhead/sidecar/change-feed.h"

namespace cornelhead::detail {

struct FollowerHandlers
{
    std::function<void(Subtree, const WatchResponse &)> onResponse;
    /// Returns the relay that this node should poll, or nothing to follow the store directly.
    std::function<std::optional<Address>(const std::set<Address> &avoided)> chooseRelay;
    /// `isCurrent()` has changed to this value.
    std::function<void(bool)> onCurrent;
    /// The store is followed directly from now on; a call should soon show whether it is reachable.
    std::function<void()> onDirect;
};

/// Receives every change of both subtrees, from one source at a time.
///
/// A relay that does not respond or has itself lost the store is abandoned for the store within
/// about a second, as a configuration must be in force within two.  While the store does not
/// answer, only renewals of the lease probe it, which cost a tenth of other calls.
class StoreFollower
{
public:
    StoreFollower(EventLoop &loop, PlatformClient &platform, std::string operatorPrefix,
                  std::string fleetPrefix, EventLog &log, std::uint64_t seed,
                  FollowerHandlers handlers);

    void start();
    /// Records whether the store answered a call of this node, and the error if not.
    void setReachable(bool isReachable, const std::string &error);
    /// To be called a few times a second.
    void sweep();

    bool isReachable() const { return isReachable_; }
    /// Returns whether changes arrive, from the store or from a relay.
    bool isCurrent() const { return isReachable_ || isRelayActive_; }
    ChangeFeed &feed() { return feed_; }

private:
    struct Watch
    {
        Subtree subtree = Subtree::Operators;
        std::string prefix;
        /// All changes up to this revision are known.
        ModRevision after;
        /// Whether the prefix was listed, so that it can be watched.
        bool isListed = false;
        std::uint32_t consecutiveFailures = 0;
        TimePoint lastChangeAt{};
        /// Pause before the next request, after a single change and after one of a series.
        Milliseconds singlePause{};
        Milliseconds seriesPause{};
        Timer pauseTimer;
    };

    void requestChanges(Watch &watch);
    void requestChangesLater(Watch &watch, Milliseconds delay);
    void onWatchResponse(Watch &watch, Result<WatchResponse> response);
    void deliver(Watch &watch, const WatchResponse &response);
    void restartWatches();
    void chooseSource();
    void setSource(const std::optional<Address> &relay);
    bool hasListed() const;
    void pollRelay();
    void onFeedResponse(const Address &relay, const Result<HttpResponse> &response);
    void abandonRelay(const std::string &reason);
    void setRelayActive(bool isActive);
    bool canRelay() const;

    EventLoop &loop_;
    PlatformClient &platform_;
    EventLog &log_;
    Random random_;
    FollowerHandlers handlers_;
    HttpClient peers_;
    ChangeFeed feed_;
    std::array<Watch, subtreeCount> watches_;
    // Incremented whenever the source changes, so that late responses of the former source are
    // ignored.
    std::uint64_t generation_ = 0;
    // The relay that is polled; empty while the store is followed directly.
    std::optional<Address> relay_;
    std::map<Address, TimePoint> backoffUntil_;
    // No relay is chosen before this time.
    TimePoint directUntil_{};
    bool isReachable_ = false;
    bool wasEverReachable_ = false;
    bool isRelayActive_ = false;
    // When the store last answered this node.
    TimePoint lastResponseAt_{};
};

} // namespace cornelhead::detail
