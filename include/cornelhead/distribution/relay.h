// Distributes configuration, moves and records from a relay to its subscribers.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "cornelhead/base/metrics.h"
#include "cornelhead/base/random.h"
#include "cornelhead/distribution/node-state.h"
#include "cornelhead/rollout/outcome.h"

namespace cornelhead {

struct RelayHandlers
{
    /// A subscriber attached or changed its servers.
    std::function<void(const NodeRecord &)> onRecord;
    std::function<void(const OutcomeBatch &)> onOutcomes;
    /// A subscriber sent a configuration, which the relay pulls when the subscriber's is newer.
    std::function<void(const inner::Config &)> onConfig;
    std::function<void(const inner::Nack &)> onNack;
    /// Reads the newest revision at the platform; the callback gets nothing when the read failed.
    std::function<void(std::function<void(std::optional<Revision>)>)> confirmFloor;
};

/// Sends configuration and moves to subscribers immediately, and records in batches.
///
/// Invariant: a subscriber without a configuration is sent one only after its floor was read at the
/// platform or the read failed.
class Relay
{
public:
    Relay(NodeState &state, NetworkPort &network, Clock clock, Random &random, Metrics &metrics,
          Milliseconds heartbeatInterval, RelayHandlers handlers);

    void start();
    /// Redirects all subscribers to other relays.
    void stop();
    bool isServing() const { return serving_; }

    void onHello(LinkId link, const inner::Hello &hello);
    bool owns(LinkId link) const { return subscriptions_.contains(link); }
    void onFrame(LinkId link, const inner::Frame &frame);
    void onClosed(LinkId link);
    void tick();

    /// Sends the configuration in force to subscribers with an older one.
    void publishConfig();
    void publishMoves(const std::vector<Move> &moves);
    /// Sends the relay directory with the next batch.
    void queueRelays() { relaysQueued_ = true; }
    /// Sends a heartbeat to all subscribers now.
    void publishHeartbeat();
    /// Adds a record to the next batch.
    void queueRecord(const NodeRecord &record);
    /// Sends queued records and the queued directory without waiting for the next batch.
    void flushRecords();
    /// Invites one subscriber of each data centre with fewer than `slots` relays to acquire a slot.
    void inviteWhereVacant(std::uint32_t slots);

    std::size_t subscribers() const { return subscriptions_.size(); }

private:
    struct Subscription
    {
        NodeId node;
        Address address;
        DataCentreId dataCentre;
        TimePoint lastHeardAt;
        /// No configuration is sent until the floor was read.
        bool awaitsFloor = false;
        /// Whether the floor was read at the platform after Hello.
        bool confirmed = false;
        Revision floor;
        /// The last revision sent, which the subscriber may have applied.
        Revision sentRevision;
        Revision ackedRevision;
    };

    void redirect(LinkId link);
    void sendWelcome(LinkId link, bool relay);
    void sendState(LinkId link);
    void requestFloor(LinkId link);
    void onFloor(LinkId link, const NodeId &node, std::optional<Revision> revision);
    void sendConfig(LinkId link, Subscription &subscription);
    void onAck(Subscription &subscription, const inner::Ack &ack);
    void onNack(LinkId link, Subscription &subscription, const inner::Nack &nack);
    void onRecords(const inner::Records &records);
    void onHeartbeat(LinkId link, const Subscription &subscription,
                     const inner::Heartbeat &heartbeat);
    void onPull(LinkId link, Subscription &subscription, const inner::Pull &pull);
    void pullConfig(LinkId link, const Subscription &subscription);
    void closeSilentLinks();
    void invite(const DataCentreId &dataCentre);
    void sendToAll(const FramePtr &frame);

    NodeState *state_;
    NetworkPort *network_;
    Clock clock_;
    Random *random_;
    Milliseconds heartbeatInterval_;
    RelayHandlers handlers_;
    Counter *floorsUnconfirmed_;
    Counter *floorWaits_;
    Gauge *subscriberGauge_;
    bool serving_ = false;
    std::map<LinkId, Subscription> subscriptions_;
    std::map<NodeId, NodeRecord> queuedRecords_;
    bool relaysQueued_ = false;
    // Registry hash at the last batch, which heartbeats report.
    std::uint64_t sentRecordsHash_ = 0;
    TimePoint nextFlush_;
    TimePoint nextHeartbeat_;
};

} // namespace cornelhead
