// Keeps a copy of the keys under one prefix of the platform by one long poll at a time.
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

/// What a prefix holds, or how it changed.
struct PrefixChange
{
    std::vector<KeyValue> changed;
    std::vector<std::string> removed;
    ModRevision storeRevision;
    /// `changed` is all that the prefix holds.
    bool complete = false;
};

/// Lists a prefix once and then long-polls it; after a failure it waits, jittered, and goes on
/// where it was.
class PrefixWatch
{
public:
    using Handler = std::function<void(const PrefixChange &)>;

    PrefixWatch(std::string prefix, PlatformPort &platform, Clock clock, Random &random,
                Metrics &metrics, Handler handler);

    void start();
    /// Forgets calls under way; their answers are ignored.
    void stop();
    bool isRunning() const { return running_ != nullptr; }
    /// Starts the next call when its time has come.
    void tick();
    /// Tells whether the last call was answered.
    bool isReachable() const { return reachable_; }
    /// Tells whether it runs but no call was answered or failed yet.
    bool isUndecided() const { return running_ && !decided_; }

private:
    void call();
    void list();
    void poll();
    void onListing(const Result<Listing> &listing);
    void onAnswer(const Result<WatchResponse> &answer);
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
    // Dropped by `stop`, so that answers to earlier calls find nobody.
    std::shared_ptr<int> running_;
    bool waiting_ = false;
    bool listed_ = false;
    bool reachable_ = false;
    bool decided_ = false;
    ModRevision storeRevision_;
    TimePoint nextCall_;
};

} // namespace cornelhead
