// Connects to a relay, fails over, and returns to the preferred relay.
#include "cornelhead/distribution/subscriber.h"

#include <algorithm>

#include "cornelhead/base/log.h"

namespace cornelhead {
namespace detail {

constexpr Milliseconds initialCandidateRetryDelay = Milliseconds(500);
constexpr Milliseconds maxCandidateRetryDelay = Milliseconds(1500);
constexpr Milliseconds minWelcomeTimeout = Milliseconds(500);
constexpr Milliseconds maxWelcomeTimeout = Milliseconds(1000);
constexpr Milliseconds initialConnectBackoff = Milliseconds(100);
constexpr Milliseconds maxConnectBackoff = Milliseconds(400);
/// Spreads the reconnections of subscribers that lost the same relay.
constexpr Milliseconds failoverJitter = Milliseconds(50);
/// Spreads the return of subscribers to a relay that became available again.
constexpr Milliseconds switchJitter = Milliseconds(2000);
constexpr int maxMissedRelayHeartbeats = 3;

} // namespace detail

Subscriber::Subscriber(SubscriberSettings settings, NetworkPort &network, Clock clock,
                       Random &random, Metrics &metrics, SubscriberHandlers handlers)
    : settings_(std::move(settings)), network_(&network), clock_(std::move(clock)),
      random_(&random), handlers_(std::move(handlers)),
      relayChanges_(&metrics.counter("cornelhead_relay_changes_total")),
      backoffs_(&metrics.counter("cornelhead_backoffs_total", {{"flow", "relay"}})),
      connectBackoff_(detail::initialConnectBackoff, detail::maxConnectBackoff),
      welcomeTimeout_(detail::minWelcomeTimeout)
{ }

void Subscriber::start()
{
    if (running_)
        return;
    running_ = true;
    detachedSince_ = now(clock_);
    nextConnect_ = now(clock_) + random_->jitter(detail::failoverJitter);
    rebuildCandidates();
}

void Subscriber::stop()
{
    running_ = false;
    if (link_)
        network_->close(*link_);
    link_.reset();
    welcomed_ = false;
    detachedSince_.reset();
}

void Subscriber::setDirectory(const RelayDirectory &directory)
{
    if (directory == directory_)
        return;
    directory_ = directory;
    rebuildCandidates();
}

void Subscriber::setNeighbours(std::vector<Address> neighbours)
{
    if (neighbours == neighbours_)
        return;
    neighbours_ = std::move(neighbours);
    rebuildCandidates();
}

void Subscriber::addCandidate(const Address &address)
{
    const bool isListed = std::find(ranked_.begin(), ranked_.end(), address) != ranked_.end();
    if (isListed || address == settings_.self.inner)
        return;
    ranked_.push_back(address);
    candidates_.try_emplace(
            address,
            Candidate{Backoff(detail::initialCandidateRetryDelay, detail::maxCandidateRetryDelay),
                      now(clock_)});
}

void Subscriber::rebuildCandidates()
{
    ranked_.clear();
    for (const NodeInfo &relay : rankRelays(directory_, settings_.self))
        addCandidate(relay.inner);
    relayCount_ = ranked_.size();
    for (const Address &neighbour : neighbours_)
        addCandidate(neighbour);
    for (const Address &seed : settings_.seeds)
        addCandidate(seed);
    std::erase_if(candidates_, [this](const auto &entry) {
        return std::find(ranked_.begin(), ranked_.end(), entry.first) == ranked_.end();
    });
}

std::optional<Address> Subscriber::nextCandidate() const
{
    const TimePoint time = now(clock_);
    for (const Address &address : ranked_) {
        if (time >= candidates_.at(address).notBefore)
            return address;
    }
    return std::nullopt;
}

bool Subscriber::allCandidatesFailed() const
{
    return std::all_of(candidates_.begin(), candidates_.end(),
                       [](const auto &entry) { return entry.second.failed; });
}

void Subscriber::connect()
{
    const std::optional<Address> address = nextCandidate();
    if (!address)
        return;
    address_ = *address;
    openedAt_ = now(clock_);
    lastHeardAt_ = openedAt_;
    link_ = network_->open(address_);
    network_->send(*link_, handlers_.makeHello());
}

void Subscriber::tick()
{
    if (!running_)
        return;
    if (!link_) {
        if (now(clock_) >= nextConnect_)
            connect();
        return;
    }
    checkTimeout();
    if (welcomed_)
        considerSwitch();
}

void Subscriber::checkTimeout()
{
    const Microseconds silence = now(clock_) - (welcomed_ ? lastHeardAt_ : openedAt_);
    const Microseconds limit = welcomed_
            ? settings_.heartbeatInterval * detail::maxMissedRelayHeartbeats
            : welcomeTimeout_;
    if (silence < limit)
        return;
    if (!welcomed_)
        welcomeTimeout_ = std::min(welcomeTimeout_ * 2, detail::maxWelcomeTimeout);
    abandon(true);
}

void Subscriber::considerSwitch()
{
    const auto preferred = nextCandidate();
    const bool hasBetter = relayCount_ > 0 && preferred && *preferred != address_
            && std::find(ranked_.begin(), ranked_.begin() + static_cast<long>(relayCount_),
                         *preferred)
                    != ranked_.begin() + static_cast<long>(relayCount_);
    if (!hasBetter) {
        switchAt_.reset();
        return;
    }
    if (!switchAt_)
        switchAt_ = now(clock_) + random_->jitter(detail::switchJitter);
    if (now(clock_) >= *switchAt_)
        abandon(false);
}

void Subscriber::recordFailure(const Address &address)
{
    const auto found = candidates_.find(address);
    if (found == candidates_.end())
        return;
    found->second.failed = true;
    found->second.notBefore = now(clock_) + found->second.backoff.next(*random_);
    backoffs_->add();
}

void Subscriber::abandon(bool failed)
{
    if (link_)
        network_->close(*link_);
    link_.reset();
    switchAt_.reset();
    if (welcomed_ || !detachedSince_)
        detachedSince_ = now(clock_);
    if (failed)
        recordFailure(address_);
    nextConnect_
            = now(clock_) + (welcomed_ ? random_->jitter(detail::failoverJitter) : Milliseconds(0));
    welcomed_ = false;
    if (now(clock_) >= nextConnect_)
        connect();
}

void Subscriber::onFrame(const inner::Frame &frame)
{
    lastHeardAt_ = now(clock_);
    if (frame.has_welcome())
        onWelcome(frame.welcome());
    else if (frame.has_goodbye())
        abandon(true);
}

void Subscriber::onWelcome(const inner::Welcome &welcome)
{
    // A node that is no relay sends its relay directory and then Goodbye.
    if (!welcome.relay())
        return;
    welcomed_ = true;
    detachedSince_.reset();
    switchAt_.reset();
    relayChanges_->add();
    for (auto &[address, candidate] : candidates_)
        candidate.failed = false;
    connectBackoff_.reset();
    welcomeTimeout_ = detail::minWelcomeTimeout;
    if (const auto found = candidates_.find(address_); found != candidates_.end())
        found->second.backoff.reset();
    handlers_.onAttached();
}

void Subscriber::onClosed()
{
    link_.reset();
    abandon(true);
}

} // namespace cornelhead
