// Watches the keys under one prefix of the platform by long polling.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "cornelhead/base/clock.h"
#include "cornelhead/base/metrics.h"
#include "cornelhead/base/random.h"
#include "cornelhead/distribution/backoff.h"
#include "cornelhead/distribution/ports.h"

namespace cornelhead {

/// The entries of a prefix, or their changes.
struct PrefixChange
{
    std::vector<KeyValue> changed;
    std::vector<std::string> removed;
    ModRevision storeRevision;
    /// True when `changed` lists all entries of the prefix.
    bool complete = false;
};

/// Lists a prefix once and then long-polls it; after a failure, resumes from the last store
/// revision with a jittered backoff.
class PrefixWatch
{
public:
    using Handler = std::function<void(const PrefixChange &)>;

    PrefixWatch(std::string prefix, PlatformPort &platform, Clock clock, Random &random,
                Metrics &metrics, Handler handler);

    void start();
    /// Stops watching; responses to calls in flight are ignored.
    void stop();
    bool isRunning() const { return runToken_ != nullptr; }
    /// Starts the next call when it is due.
    void tick();
    /// Returns whether the last call succeeded.
    bool isReachable() const { return reachable_; }
    /// Returns whether the watch runs and no call has completed yet.
    bool isFirstCallPending() const { return runToken_ && !firstCallDone_; }

private:
    void call();
    void list();
    void poll();
    void onListing(const Result<Listing> &listing);
    void onPollResult(const Result<WatchResponse> &response);
    void onFailure(const Error &error);
    void onSuccess(ModRevision storeRevision);

    std::string prefix_;
    PlatformPort *platform_;
    Clock clock_;
    Random *random_;
    Handler handler_;
    Counter *calls_;
    Counter *backoffs_;
    Backoff backoff_;
    // Lifetime token; reset by `stop`, so that responses to earlier calls are ignored.
    std::shared_ptr<int> runToken_;
    bool callPending_ = false;
    bool hasListing_ = false;
    bool reachable_ = false;
    bool firstCallDone_ = false;
    ModRevision storeRevision_;
    TimePoint nextCall_;
};

} // namespace cornelhead
