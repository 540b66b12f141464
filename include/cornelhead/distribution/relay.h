// The relay of a data centre: what to send to which subscriber, and when.
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
    /// A subscriber announced itself or changed its servers.
    std::function<void(const NodeRecord &)> onRecord;
    std::function<void(const OutcomeBatch &)> onOutcomes;
    /// A subscriber sent a configuration that is newer than this relay's.
    std::function<void(const inner::Config &)> onConfig;
    std::function<void(const inner::Nack &)> onNack;
    /// Reads the newest revision at the platform and then calls back; nothing when it is away.
    std::function<void(std::function<void(std::optional<Revision>)>)> confirmFloor;
};

/// Serves subscribers: configuration and moves at once, endpoints in batches.
///
/// Invariant: a subscriber that holds no configuration is sent one only after its floor was asked
/// for at the platform, or the platform was found away.
class Relay
{
public:
    Relay(NodeState &state, NetworkPort &network, Clock clock, Random &random, Metrics &metrics,
          Milliseconds heartbeat, RelayHandlers handlers);

    void start();
    /// Sends all subscribers elsewhere.
    void stop();
    bool isServing() const { return serving_; }

    void onHello(LinkId link, const inner::Hello &hello);
    bool owns(LinkId link) const { return subscriptions_.contains(link); }
    void onFrame(LinkId link, const inner::Frame &frame);
    void onClosed(LinkId link);
    void tick();

    /// Hands on the configuration in force.
    void publishConfig();
    void publishMoves(const std::vector<Move> &moves);
    /// Hands on the directory with the next batch.
    void queueRelays() { relaysQueued_ = true; }
    /// Tells all subscribers at once what a heartbeat tells.
    void publishHeartbeat();
    /// Adds a record to the next batch.
    void queueRecord(const NodeRecord &record);
    /// Sends what is queued without waiting for the batch.
    void flushRecords();
    /// Asks one subscriber of each data centre that has fewer relays than `slots` to take a slot.
    void inviteWhereVacant(std::uint32_t slots);

    std::size_t subscribers() const { return subscriptions_.size(); }

private:
    struct Subscription
    {
        NodeId node;
        Address address;
        DataCentreId dataCentre;
        TimePoint heard;
        /// Nothing is sent of the configuration until the floor is known.
        bool awaitsFloor = false;
        bool confirmed = false;
        Revision floor;
        /// The last revision sent, which it may act on.
        Revision sent;
        Revision acked;
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
    // Of the records that all subscribers were sent.
    std::uint64_t sentRecordsHash_ = 0;
    TimePoint nextFlush_;
    TimePoint nextHeartbeat_;
};

} // namespace cornelhead
