// Takes and keeps one of the relay slots of a data centre by compare-and-swap with a lease.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "cornelhead/base/clock.h"
#include "cornelhead/base/metrics.h"
#include "cornelhead/base/random.h"
#include "cornelhead/distribution/backoff.h"
#include "cornelhead/distribution/ports.h"
#include "cornelhead/distribution/relay-directory.h"

namespace cornelhead {

struct ElectionSettings
{
    NodeInfo self;
    std::uint32_t slots = 2;
    Milliseconds lease = Milliseconds(3000);
};

struct ElectionHandlers
{
    std::function<void()> onElected;
    /// Another node holds the slot, or none is vacant any more.
    std::function<void()> onLost;
    /// A contest ended without a slot, since all are taken.
    std::function<void()> onFull;
    std::function<void(const RelayDirectory &)> onRelays;
};

/// Contends for a slot and renews its lease.
///
/// A lease only decides who does the work; a holder whose lease lapsed unnoticed does no harm,
/// since every relay hands on only what the platform accepted.
class RelayElection
{
public:
    RelayElection(ElectionSettings settings, PlatformPort &platform, Clock clock, Random &random,
                  Metrics &metrics, ElectionHandlers handlers);

    /// Tries for a vacant slot, unless it holds one, is trying, or waits after a failure.
    void contend();
    /// Contends without waiting, since a relay saw a vacancy.
    void contendNow();
    /// Compares what the platform lists with what this node believes to hold.
    void onRelays(const RelayDirectory &directory);
    void tick();
    /// Gives the slot back and calls `done`, also when the platform is away.
    void resign(std::function<void()> done);

    bool holds() const { return phase_ == Phase::Holding; }
    /// Tells whether the last call was answered; true before the first.
    bool isPlatformReachable() const { return reachable_; }

private:
    enum class Phase { Idle, Contending, Holding, Resigned };
    /// A slot to take, and what it must hold still.
    struct Slot
    {
        std::string key;
        ExpectedRevision expected;
    };

    void list();
    void onListing(const Result<Listing> &listing);
    RelayDirectory readDirectory(const Listing &listing) const;
    std::optional<std::string> ownSlot(const RelayDirectory &directory) const;
    std::optional<Slot> formerSlot(const Listing &listing) const;
    std::optional<Slot> vacantSlot(const RelayDirectory &directory);
    void grant(const Slot &slot);
    void write(const Slot &slot);
    void onWritten(const std::string &slot, const Result<ModRevision> &written);
    void hold(const std::string &slot);
    void renew();
    void onRenewed(const Result<void> &renewed);
    void lose();
    void fail(const Error &error);
    template <typename T>
    std::function<void(Result<T>)> guarded(std::function<void(const Result<T> &)> handler);

    ElectionSettings settings_;
    PlatformPort *platform_;
    Clock clock_;
    Random *random_;
    ElectionHandlers handlers_;
    Counter *calls_;
    Counter *won_;
    Counter *lost_;
    Counter *backoffs_;
    Backoff backoff_;
    Phase phase_ = Phase::Idle;
    // Calls under way hold it weakly, so that none outlives this object.
    std::shared_ptr<int> alive_ = std::make_shared<int>();
    bool held_ = false;
    bool renewing_ = false;
    bool reachable_ = true;
    std::optional<LeaseId> lease_;
    ModRevision heldSince_;
    TimePoint nextTry_;
    TimePoint nextRenewal_;
};

} // namespace cornelhead
