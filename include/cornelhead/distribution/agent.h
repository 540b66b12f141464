// The distribution logic of one node, without I/O: subscriber, relay and peer roles.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "cornelhead/distribution/distribution.h"
#include "cornelhead/distribution/exchange.h"
#include "cornelhead/distribution/nack-writer.h"
#include "cornelhead/distribution/node-state.h"
#include "cornelhead/distribution/platform-watcher.h"
#include "cornelhead/distribution/reconciler.h"
#include "cornelhead/distribution/relay-election.h"
#include "cornelhead/distribution/relay.h"
#include "cornelhead/distribution/subscriber.h"

namespace cornelhead {

/// Runs the distribution protocol on one node.
///
/// The owner delivers frames and closed links and calls `tick` periodically; all output goes
/// through the ports and handlers.
class Agent
{
public:
    Agent(DistributionSettings settings, NetworkPort network, PlatformPort platform,
          const Clock &clock, Metrics &metrics, DistributionHandlers handlers);
    ~Agent();
    Agent(const Agent &) = delete;
    Agent &operator=(const Agent &) = delete;

    void start();
    void tick();
    void onFrame(LinkId link, const inner::Frame &frame);
    void onClosed(LinkId link);

    void announce(const Endpoint &server);
    void withdraw(const ServerId &server);
    void report(const OutcomeBatch &outcomes);
    /// Sends Goodbye to the relay and to subscribers and revokes the relay lease; calls `done` once
    /// the revocation succeeded or failed.
    void drain(std::function<void()> done);
    DistributionStatus status() const;

    const NodeState &state() const { return state_; }

private:
    enum class Role {
        Subscriber, ///< Receives updates from a relay.
        Acting, ///< Serves without a slot because no relay was reachable.
        Relay, ///< Holds a slot.
    };

    // Handlers of the components.
    SubscriberHandlers subscriberHandlers();
    RelayHandlers relayHandlers();
    ExchangeHandlers exchangeHandlers();
    WatcherHandlers watcherHandlers();
    ElectionHandlers electionHandlers();

    // Roles.
    void becomeRelay(Role role);
    void becomeSubscriber();
    void considerRole();
    void considerElection();
    void considerActing();
    void fillVacantSlots();
    bool mayActAsRelay(const std::vector<Address> &candidates) const;
    std::vector<Address> actingCandidates(Microseconds detached) const;
    bool hasLiveLocalRelay() const;
    bool servesSubscribers() const { return role_ != Role::Subscriber; }

    // Incoming frames and platform updates.
    void onHello(LinkId link, const inner::Hello &hello);
    void onRelayFrame(LinkId link, const inner::Frame &frame);
    void onRelayHeartbeat(LinkId link, const inner::Heartbeat &heartbeat);
    void onRelayPull(LinkId link, const inner::Pull &pull);
    void onConfigFrame(std::optional<LinkId> link, const inner::Config &wire);
    Result<bool> applyConfig(const EncodedConfig &config);
    Result<bool> applyDelta(const inner::Config &wire);
    void distributeConfig();
    void mergeMoves(const std::vector<Move> &moves);
    void mergeRecords(const inner::Records &records);
    void mergeRecord(const NodeRecord &record, bool fromSubscriber);
    void updateDirectory(const RelayDirectory &directory);
    void updateReachability(const inner::Heartbeat &heartbeat);
    void deliverOutcomes(const OutcomeBatch &batch);
    void rejectConfig(std::optional<LinkId> link, const inner::Config &wire, const Error &error);

    // Outgoing frames.
    FramePtr makeHello(inner::LinkRole role);
    void publishOwnRecord();
    void sendToRelay(const FramePtr &frame);
    void flushEndpoints();
    void flushOutcomes();
    void sendHeartbeat();
    void expireRecords();

    DistributionSettings settings_;
    NetworkPort network_;
    PlatformPort platform_;
    Clock clock_;
    DistributionHandlers handlers_;
    Random random_;
    NodeState state_;
    NodeRecord ownRecord_;
    Role role_ = Role::Subscriber;
    bool draining_ = false;
    /// True once a relay sent its complete set of records, or this node became a relay.
    bool recordsComplete_ = false;
    /// Received before the records were complete; applied once they are.
    std::optional<inner::Config> pendingConfig_;
    OutcomeBatch outcomes_;
    std::shared_ptr<const EndpointTable> deliveredTable_;
    TimePoint nextHeartbeat_;
    TimePoint nextOutcomes_;
    TimePoint nextExpiry_;
    TimePoint nextInvite_;
    TimePoint electionStart_;
    Gauge *roleGauge_;
    Gauge *platformGauge_;
    Subscriber subscriber_;
    Relay relay_;
    Exchange exchange_;
    PlatformWatcher watcher_;
    RelayElection election_;
    NackWriter nackWriter_;
    Reconciler reconciler_;
    Counter *pulls_;
};

} // namespace cornelhead
