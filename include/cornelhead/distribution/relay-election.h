// Acquires and holds one of the relay slots of a data centre by compare-and-swap with a lease.
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
    Milliseconds leaseTtl = Milliseconds(3000);
};

struct ElectionHandlers
{
    std::function<void()> onElected;
    /// This node lost its slot and no other slot was vacant.
    std::function<void()> onLost;
    /// An attempt ended without a slot because all slots are occupied.
    std::function<void()> onNoVacancy;
    std::function<void(const RelayDirectory &)> onRelays;
};

/// Contends for a slot and renews its lease.
///
/// Leases only limit the number of relays.  A relay that has not noticed the expiry of its lease is
/// harmless, since every relay distributes only configurations accepted by the platform.
class RelayElection
{
public:
    RelayElection(ElectionSettings settings, PlatformPort &platform, Clock clock, Random &random,
                  Metrics &metrics, ElectionHandlers handlers);

    /// Starts an election attempt unless this node holds a slot, an attempt is in progress, or the
    /// backoff after the last attempt has not ended.
    void contend();
    /// Like `contend`, but ignores the backoff; for use when a slot is reported vacant.
    void contendNow();
    /// Starts another attempt when `directory` no longer lists this node's slot.
    void onRelays(const RelayDirectory &directory);
    void tick();
    /// Revokes the lease and calls `done`, also when the revocation fails.
    void resign(std::function<void()> done);

    bool holdsSlot() const { return phase_ == Phase::Holding; }
    /// Returns whether the platform responded to the last call; true before the first call.
    bool isPlatformReachable() const { return reachable_; }

private:
    enum class Phase { Idle, Contending, Holding, Resigned };
    /// A slot to acquire, and its expected mod revision for the compare-and-swap.
    struct Slot
    {
        std::string key;
        ExpectedRevision expected;
    };

    void listSlots();
    void onListing(const Result<Listing> &listing);
    RelayDirectory readDirectory(const Listing &listing) const;
    std::optional<std::string> ownSlot(const RelayDirectory &directory) const;
    std::optional<Slot> slotOfPreviousRun(const Listing &listing) const;
    std::optional<Slot> vacantSlot(const RelayDirectory &directory);
    void grantLease(const Slot &slot);
    void writeSlot(const Slot &slot);
    void onSlotWritten(const std::string &slot, const Result<ModRevision> &written);
    void onSlotAcquired(const std::string &slot);
    void renewLease();
    void onRenewed(const Result<void> &renewed);
    void loseSlot();
    void onFailed(const Error &error);
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
    // Lifetime token; callbacks of calls in flight hold a weak reference.
    std::shared_ptr<int> alive_ = std::make_shared<int>();
    bool isElected_ = false;
    bool renewing_ = false;
    bool reachable_ = true;
    std::optional<LeaseId> lease_;
    ModRevision slotRevision_;
    TimePoint nextAttempt_;
    TimePoint nextRenewal_;
};

} // namespace cornelhead
