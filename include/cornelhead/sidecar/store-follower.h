// Follows the key-value service: by watches of its own, or through a relay near by.
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
    std::function<void(Subtree, const WatchResponse &)> onAnswer;
    /// Returns the node that should feed this one, or nothing.
    std::function<std::optional<Address>(const std::set<Address> &avoided)> chooseRelay;
    /// Changes are heard of from now on, or no longer.
    std::function<void(bool)> onCurrent;
    /// The service itself is followed from now on, so it should soon be shown to be reached.
    std::function<void()> onDirect;
};

/// Hears of every change of two prefixes, from one source at a time.
///
/// A relay that is silent, or has itself not heard of the service, is left within about a second
/// for the service itself, as a configuration must be in force within two.  While the service does
/// not answer, it is asked by renewals of the lease alone, which cost a tenth of other calls.
class StoreFollower
{
public:
    StoreFollower(EventLoop &loop, PlatformClient &platform, std::string operatorPrefix,
                  std::string ownPrefix, EventLog &log, std::uint64_t seed,
                  FollowerHandlers handlers);

    void start();
    /// Takes whether the service answered another call of this node.
    void noteReach(bool reached, const std::string &why);
    /// To be called a few times a second.
    void sweep();

    bool isReachable() const { return isReachable_; }
    /// Tells whether changes are heard of, from the service or from a relay.
    bool isCurrent() const { return isReachable_ || isFed_; }
    ChangeFeed &feed() { return feed_; }

private:
    struct Watch
    {
        Subtree subtree = Subtree::Operators;
        std::string prefix;
        ModRevision after;
        bool isListed = false;
        std::uint32_t failuresInRow = 0;
        TimePoint lastChange{};
        /// After a change, and after one of a series.
        Milliseconds pauseTime{};
        Milliseconds seriesPause{};
        Timer pause;
    };

    void follow(Watch &watch);
    void followLater(Watch &watch, Milliseconds pause);
    void takeAnswer(Watch &watch, Result<WatchResponse> answer);
    void deliver(Watch &watch, const WatchResponse &answer);
    void restartWatches();
    void chooseSource();
    void setSource(const std::optional<Address> &relay);
    bool hasListed() const;
    void pollRelay();
    void takeFeed(const Address &relay, const Result<HttpResponse> &answer);
    void leaveRelay(const std::string &why);
    void setFed(bool isFed);
    bool isFit() const;

    EventLoop &loop_;
    PlatformClient &platform_;
    EventLog &log_;
    Random random_;
    FollowerHandlers handlers_;
    HttpClient peers_;
    ChangeFeed feed_;
    std::array<Watch, subtreeCount> watches_;
    // Rises with each change of the source, so that late answers of the former one are ignored.
    std::uint64_t generation_ = 0;
    std::optional<Address> relay_;
    std::map<Address, TimePoint> avoidedUntil_;
    TimePoint directUntil_{};
    bool isReachable_ = false;
    bool wasEverReachable_ = false;
    bool isFed_ = false;
    TimePoint heardAt_{};
};

} // namespace cornelhead::detail
