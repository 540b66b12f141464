// Selects a relay for a node and maintains the link to it.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "cornelhead/base/clock.h"
#include "cornelhead/base/metrics.h"
#include "cornelhead/base/random.h"
#include "cornelhead/distribution/backoff.h"
#include "cornelhead/distribution/ports.h"
#include "cornelhead/distribution/relay-directory.h"

namespace cornelhead {

struct SubscriberSettings
{
    NodeInfo self;
    std::vector<Address> seeds;
    Milliseconds heartbeatInterval = Milliseconds(500);
};

struct SubscriberHandlers
{
    std::function<FramePtr()> makeHello;
    std::function<void()> onAttached;
};

/// Keeps one link to the reachable relay that ranks highest by rendezvous hashing.
///
/// Tries relays of its own data centre first, then those of others, then neighbours that may act
/// as relays, then seeds.  A candidate that failed is skipped for an exponential, jittered and
/// bounded backoff.
class Subscriber
{
public:
    Subscriber(SubscriberSettings settings, NetworkPort &network, Clock clock, Random &random,
               Metrics &metrics, SubscriberHandlers handlers);

    void start();
    void stop();
    void setDirectory(const RelayDirectory &directory);
    /// Sets nodes to try when no relay is reachable.
    void setNeighbours(std::vector<Address> neighbours);
    void tick();

    bool owns(LinkId link) const { return link_ == link; }
    /// Handles Welcome and Goodbye; any frame of its link resets the heartbeat timeout.
    void onFrame(const inner::Frame &frame);
    void onClosed();

    /// Returns the link to the relay, or nothing before its Welcome.
    std::optional<LinkId> attachedLink() const { return welcomed_ ? link_ : std::nullopt; }
    /// Returns the time since which the node has had no relay, or nothing while it is attached.
    std::optional<TimePoint> detachedSince() const { return detachedSince_; }
    /// Returns whether every candidate failed since the node was last attached.
    bool allCandidatesFailed() const;

private:
    struct Candidate
    {
        Backoff backoff;
        TimePoint notBefore;
        bool failed = false;
    };

    void rebuildCandidates();
    void addCandidate(const Address &address);
    void connect();
    void abandon(bool failed);
    void recordFailure(const Address &address);
    void checkTimeout();
    void considerSwitch();
    std::optional<Address> nextCandidate() const;
    void onWelcome(const inner::Welcome &welcome);

    SubscriberSettings settings_;
    NetworkPort *network_;
    Clock clock_;
    Random *random_;
    SubscriberHandlers handlers_;
    Counter *relayChanges_;
    Counter *backoffs_;
    bool running_ = false;
    RelayDirectory directory_;
    std::vector<Address> neighbours_;
    // In order of preference; the first `relayCount_` of them hold a slot.
    std::vector<Address> ranked_;
    std::size_t relayCount_ = 0;
    std::map<Address, Candidate> candidates_;
    std::optional<LinkId> link_;
    /// Address of the current or last link.
    Address address_;
    bool welcomed_ = false;
    TimePoint openedAt_;
    TimePoint lastHeardAt_;
    TimePoint nextConnect_;
    Backoff connectBackoff_;
    // Doubles after each candidate that sent no Welcome in time, since a busy host may respond
    // slowly.
    Milliseconds welcomeTimeout_;
    std::optional<TimePoint> detachedSince_;
    std::optional<TimePoint> switchAt_;
};

} // namespace cornelhead
