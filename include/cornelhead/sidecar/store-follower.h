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
    /// Returns the relay to poll first, from a listing of the fleet that may be seconds old.
    std::function<std::optional<Address>(const Listing &)> chooseFirstRelay;
    /// `isCurrent()` has changed to this value.
    std::function<void(bool)> onCurrent;
    /// Makes a cheap call soon, which shows whether the store is reachable.
    std::function<void()> checkStore;
};

/// Receives every change of both subtrees, from one source at a time.
///
/// A relay that does not respond or has itself lost the store is abandoned for the next one within
/// about a second, as a configuration must be in force within two.  Only a node that finds no relay
/// but reaches the store follows it directly: every call to the store is paid for, and hundreds of
/// nodes lose their relays at the same moment.  While the store does not answer, only renewals of
/// the lease probe it, which cost a tenth of other calls.
class StoreFollower
{
public:
    StoreFollower(EventLoop &loop, PlatformClient &platform, std::string operatorPrefix,
                  std::string fleetPrefix, EventLog &log, std::uint64_t seed,
                  FollowerHandlers handlers);

    void start();
    /// Records whether the store answered a call of this node, and the error if not.
    void setReachable(bool isReachable, const std::string &error);
    /// The store came back from an older copy: changes since then are not those that follow the
    /// last ones.
    void onStoreRestored();
    /// To be called a few times a second.
    void sweep();
    /// Sends followers to another relay, as this process will end.
    void stop();

    bool isReachable() const { return isReachable_; }
    /// Returns whether changes come from the store, not from a relay.
    bool isDirect() const { return !relay_; }
    /// Returns whether changes arrive, from the store or from a relay.
    bool isCurrent() const { return relay_ ? isRelayActive_ : isReachable_; }
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

    struct Backoff
    {
        TimePoint until{};
        std::uint32_t failures = 0;
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
    /// Reports a change of `isCurrent()`.
    void reportCurrent();
    RelayState relayState() const;

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
    // Of relays that have failed since they last delivered.
    std::map<Address, Backoff> backoffs_;
    // Since the last changes from a relay, which came at `lastFeedAt_`.
    std::uint32_t relayFailures_ = 0;
    TimePoint lastFeedAt_{};
    Timer nextRelayTimer_;
    // No relay is chosen before this time.
    TimePoint directUntil_{};
    bool isReachable_ = false;
    bool wasEverReachable_ = false;
    bool isRelayActive_ = false;
    bool isStopping_ = false;
    // As last reported.
    bool wasCurrent_ = false;
    // When the store last answered this node.
    TimePoint lastResponseAt_{};
};

} // namespace cornelhead::detail
