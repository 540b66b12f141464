// A node's choice of relay, and the link to it.
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
    Milliseconds heartbeat = Milliseconds(500);
};

struct SubscriberHandlers
{
    std::function<FramePtr()> makeHello;
    std::function<void()> onAttached;
};

/// Keeps one link to the relay that rendezvous hashing prefers among those that answer.
///
/// Tries relays of its own data centre first, then those of others, then neighbours that may act
/// as relays, then seeds.  A candidate that failed is left out for a jittered, growing, bounded
/// time.
class Subscriber
{
public:
    Subscriber(SubscriberSettings settings, NetworkPort &network, Clock clock, Random &random,
               Metrics &metrics, SubscriberHandlers handlers);

    void start();
    void stop();
    void setDirectory(const RelayDirectory &directory);
    /// Names nodes to try when no relay answers.
    void setNeighbours(std::vector<Address> neighbours);
    void tick();

    bool owns(LinkId link) const { return link_ == link; }
    /// Takes Welcome, Goodbye and signs of life of its link.
    void onFrame(const inner::Frame &frame);
    void onClosed();

    /// Returns the link while a relay serves it.
    std::optional<LinkId> attachedLink() const { return welcomed_ ? link_ : std::nullopt; }
    /// Returns since when no relay serves it.
    std::optional<TimePoint> detachedSince() const { return detachedSince_; }
    /// Tells whether every candidate was tried in vain since the last relay was lost.
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
    Address address_;
    bool welcomed_ = false;
    TimePoint openedAt_;
    TimePoint lastHeardAt_;
    TimePoint nextConnect_;
    // Paces tries after each candidate was tried once.
    Backoff connectBackoff_;
    // Grows with each candidate that did not answer in time, since a busy host is slow to greet.
    Milliseconds welcomeTimeout_;
    std::optional<TimePoint> detachedSince_;
    std::optional<TimePoint> switchAt_;
};

} // namespace cornelhead
