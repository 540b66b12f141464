// Implements the election of relays.
#include "cornelhead/distribution/relay-election.h"

#include "cornelhead/base/log.h"
#include "cornelhead/config/manifest.h"
#include "cornelhead/distribution/wire.h"

namespace cornelhead {
namespace detail {

constexpr Milliseconds initialElectionBackoff = Milliseconds(500);
constexpr Milliseconds maxElectionBackoff = Milliseconds(10000);

} // namespace detail

RelayElection::RelayElection(ElectionSettings settings, PlatformPort &platform, Clock clock,
                             Random &random, Metrics &metrics, ElectionHandlers handlers)
    : settings_(std::move(settings)), platform_(&platform), clock_(std::move(clock)),
      random_(&random), handlers_(std::move(handlers)),
      calls_(&metrics.counter("cornelhead_platform_calls_total", {{"flow", "election"}})),
      won_(&metrics.counter("cornelhead_relay_elections_total", {{"outcome", "won"}})),
      lost_(&metrics.counter("cornelhead_relay_elections_total", {{"outcome", "lost"}})),
      backoffs_(&metrics.counter("cornelhead_backoffs_total", {{"flow", "election"}})),
      backoff_(detail::initialElectionBackoff, detail::maxElectionBackoff)
{ }

template <typename T>
std::function<void(Result<T>)>
RelayElection::guarded(std::function<void(const Result<T> &)> handler)
{
    calls_->add();
    return [alive = std::weak_ptr<int>(alive_), handler = std::move(handler)](Result<T> response) {
        if (!alive.expired())
            handler(response);
    };
}

void RelayElection::contend()
{
    if (now(clock_) >= nextAttempt_)
        contendNow();
}

void RelayElection::contendNow()
{
    if (phase_ != Phase::Idle)
        return;
    phase_ = Phase::Contending;
    listSlots();
}

void RelayElection::listSlots()
{
    platform_->list(relayPrefix,
                    guarded<Listing>([this](const auto &listing) { onListing(listing); }));
}

RelayDirectory RelayElection::readDirectory(const Listing &listing) const
{
    RelayDirectory directory;
    directory.storeRevision = listing.storeRevision;
    for (const KeyValue &entry : listing.entries) {
        if (const Result<NodeInfo> info = decodeNodeInfo(entry.value))
            directory.relays[entry.key] = *info;
    }
    return directory;
}

std::optional<RelayElection::Slot> RelayElection::slotOfPreviousRun(const Listing &listing) const
{
    for (const KeyValue &entry : listing.entries) {
        const Result<NodeInfo> info = decodeNodeInfo(entry.value);
        if (info && info->inner == settings_.self.inner && info->id != settings_.self.id)
            return Slot{entry.key, ExpectedRevision{entry.modRevision}};
    }
    return std::nullopt;
}

std::optional<std::string> RelayElection::ownSlot(const RelayDirectory &directory) const
{
    for (const auto &[key, info] : directory.relays) {
        if (info.id == settings_.self.id)
            return key;
    }
    return std::nullopt;
}

std::optional<RelayElection::Slot> RelayElection::vacantSlot(const RelayDirectory &directory)
{
    std::vector<std::string> vacant;
    for (std::uint32_t slot = 0; slot < settings_.slots; ++slot) {
        const std::string key = relaySlotKey(settings_.self.dataCentre, slot);
        if (!directory.relays.contains(key))
            vacant.push_back(key);
    }
    if (vacant.empty())
        return std::nullopt;
    return Slot{vacant[random_->below(vacant.size())], ExpectedRevision{}};
}

void RelayElection::onListing(const Result<Listing> &listing)
{
    if (phase_ != Phase::Contending)
        return;
    if (!listing) {
        onFailed(listing.error());
        return;
    }
    reachable_ = true;
    const RelayDirectory directory = readDirectory(*listing);
    handlers_.onRelays(directory);
    // A write whose response was lost may have succeeded.
    if (const auto own = ownSlot(directory); own && lease_) {
        slotRevision_ = directory.storeRevision;
        onSlotAcquired(*own);
    } else if (const auto former = slotOfPreviousRun(*listing)) {
        // The previous run at this address has ended; take over its slot before the lease expires.
        grantLease(*former);
    } else if (const auto slot = vacantSlot(directory)) {
        grantLease(*slot);
    } else {
        phase_ = Phase::Idle;
        nextAttempt_ = now(clock_) + backoff_.next(*random_);
        if (isElected_)
            loseSlot();
        handlers_.onNoVacancy();
    }
}

void RelayElection::grantLease(const Slot &slot)
{
    platform_->grantLease(settings_.leaseTtl,
                          guarded<LeaseId>([this, slot](const Result<LeaseId> &lease) {
                              if (!lease) {
                                  onFailed(lease.error());
                                  return;
                              }
                              lease_ = *lease;
                              writeSlot(slot);
                          }));
}

void RelayElection::writeSlot(const Slot &slot)
{
    platform_->put(slot.key, encodeNodeInfo(settings_.self), slot.expected, lease_,
                   guarded<ModRevision>([this, slot](const Result<ModRevision> &written) {
                       onSlotWritten(slot.key, written);
                   }));
}

void RelayElection::onSlotWritten(const std::string &slot, const Result<ModRevision> &written)
{
    if (phase_ == Phase::Resigned)
        return;
    if (written) {
        slotRevision_ = *written;
        onSlotAcquired(slot);
        return;
    }
    if (written.error().kind == ErrorKind::Conflict) {
        lost_->add();
        platform_->revoke(*lease_, guarded<void>([](const auto &) {}));
        lease_.reset();
        // List again to find which node won the slot.
        listSlots();
        return;
    }
    onFailed(written.error());
}

void RelayElection::onSlotAcquired(const std::string &slot)
{
    phase_ = Phase::Holding;
    reachable_ = true;
    backoff_.reset();
    nextRenewal_ = now(clock_) + settings_.leaseTtl / 3;
    if (isElected_)
        return;
    isElected_ = true;
    won_->add();
    CORNELHEAD_LOG(INFO, "election") << "Acquired relay slot " << slot << ".";
    handlers_.onElected();
}

void RelayElection::onRelays(const RelayDirectory &directory)
{
    if (phase_ != Phase::Holding || directory.storeRevision < slotRevision_)
        return;
    if (ownSlot(directory))
        return;
    // The lease expired; try to acquire a slot once more before giving up the relay role.
    lease_.reset();
    phase_ = Phase::Contending;
    listSlots();
}

void RelayElection::tick()
{
    if (phase_ == Phase::Holding && !renewing_ && now(clock_) >= nextRenewal_)
        renewLease();
    if (phase_ == Phase::Idle && isElected_ && now(clock_) >= nextAttempt_)
        contendNow();
}

void RelayElection::renewLease()
{
    renewing_ = true;
    platform_->keepAlive(*lease_, guarded<void>([this](const Result<void> &renewed) {
        renewing_ = false;
        onRenewed(renewed);
    }));
}

void RelayElection::onRenewed(const Result<void> &renewed)
{
    if (phase_ != Phase::Holding)
        return;
    reachable_ = renewed.has_value() || renewed.error().kind == ErrorKind::NotFound;
    nextRenewal_ = now(clock_) + settings_.leaseTtl / 3;
    if (renewed || renewed.error().kind != ErrorKind::NotFound)
        return;
    lease_.reset();
    phase_ = Phase::Contending;
    listSlots();
}

void RelayElection::loseSlot()
{
    isElected_ = false;
    lease_.reset();
    CORNELHEAD_LOG(INFO, "election") << "Lost the relay slot.";
    handlers_.onLost();
}

void RelayElection::onFailed(const Error &error)
{
    if (phase_ == Phase::Resigned)
        return;
    phase_ = Phase::Idle;
    reachable_ = error.kind != ErrorKind::Unavailable && error.kind != ErrorKind::Unknown;
    backoffs_->add();
    nextAttempt_ = now(clock_) + backoff_.next(*random_);
    CORNELHEAD_LOG(DEBUG, "election") << "Election attempt failed: " << error.describe();
}

void RelayElection::resign(std::function<void()> done)
{
    phase_ = Phase::Resigned;
    isElected_ = false;
    if (!lease_) {
        done();
        return;
    }
    platform_->revoke(*lease_, guarded<void>([done = std::move(done)](const auto &) { done(); }));
    lease_.reset();
}

} // namespace cornelhead
