// Anti-entropy between relays: changes in small batches, periodic summaries, and pulls of
// differences.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "cornelhead/base/metrics.h"
#include "cornelhead/base/random.h"
#include "cornelhead/distribution/backoff.h"
#include "cornelhead/distribution/node-state.h"
#include "cornelhead/rollout/outcome.h"

namespace cornelhead {

struct ExchangeHandlers
{
    std::function<FramePtr()> makeHello;
    std::function<void(const std::vector<NodeRecord> &)> onRecords;
    std::function<void(const std::vector<Move> &)> onMoves;
    std::function<void(const inner::Config &)> onConfig;
    std::function<void(const RelayDirectory &)> onRelays;
    std::function<void(const OutcomeBatch &)> onOutcomes;
    /// A data centre became reachable or unreachable.
    std::function<void()> onReachability;
    /// Returns whether the platform is reachable, so that the configuration comes from there.
    std::function<bool()> isPlatformReachable;
    /// Returns whether no call to the platform has completed yet.
    std::function<bool()> isFirstPlatformCallPending;
};

/// Connects a relay with all other relays.
///
/// A relay pushes only records that it did not get from another relay.  Updates lost in a network
/// partition are found by comparing summaries and pulled from any peer that has them.
class Exchange
{
public:
    Exchange(NodeState &state, NetworkPort &network, Clock clock, Random &random, Metrics &metrics,
             Milliseconds heartbeatInterval, ExchangeHandlers handlers);

    void start();
    void stop();
    /// Sets addresses to connect to besides the relays of the directory.
    void setExtraPeers(std::vector<Address> peers);

    void onHello(LinkId link, const inner::Hello &hello);
    bool owns(LinkId link) const { return links_.contains(link); }
    void onFrame(LinkId link, const inner::Frame &frame);
    void onClosed(LinkId link);
    void tick();

    /// Queues a record that did not come from another relay for the next batch.
    void queueRecord(const NodeRecord &record);
    void publishSummary();
    void publishOutcomes(const OutcomeBatch &batch);
    /// Sends queued records and changed floors without waiting for the next batch.
    void flush();
    /// Returns the relays that sent a frame within the last few heartbeat intervals.
    std::set<NodeId> livePeers() const;

private:
    struct Peer
    {
        Address address;
        bool outgoing = false;
        /// Set by Hello or Welcome.
        std::optional<NodeInfo> info;
        TimePoint lastHeardAt;
        TimePoint openedAt;
        /// When to pull a newer configuration from this peer unless the platform delivers it first.
        std::optional<TimePoint> pullConfigAt;
        TimePoint nextPull;
    };
    struct DialState
    {
        Backoff backoff;
        TimePoint notBefore;
    };

    void dialMissingPeers();
    void dial(const Address &address);
    bool isLinked(const Address &address) const;
    void recordFailure(const Address &address);
    void registerPeer(LinkId link, Peer &peer, const NodeInfo &info);
    void sendSummary(LinkId link);
    FramePtr summaryFrame() const;
    void onSummary(LinkId link, Peer &peer, const inner::Summary &summary);
    void pullDifferences(LinkId link, Peer &peer, const inner::Summary &summary);
    void onPull(LinkId link, const Peer &peer, const inner::Pull &pull);
    void sendConfig(LinkId link, const Peer &peer);
    void sendRecords(LinkId link, const inner::PullRecords &pull);
    void onRecordsFrame(const inner::Records &records);
    void onMovesFrame(const inner::Moves &moves);
    void onFloors(const inner::Floors &floors);
    void sendFloors();
    FramePtr floorsFrame(const std::map<Address, Revision> &addresses) const;
    void closeSilentLinks();
    void checkReachability();
    bool isLive(const Peer &peer) const;
    void pullDueConfigs();
    std::vector<LinkId> oneLinkPerPeer() const;
    void sendToPeers(const FramePtr &frame);

    NodeState *state_;
    NetworkPort *network_;
    Clock clock_;
    Random *random_;
    Milliseconds heartbeatInterval_;
    ExchangeHandlers handlers_;
    Counter *pulls_;
    Counter *backoffs_;
    Gauge *peerGauge_;
    bool running_ = false;
    TimePoint startedAt_;
    std::vector<Address> extraPeers_;
    std::map<LinkId, Peer> links_;
    std::map<Address, DialState> dials_;
    std::map<NodeId, NodeRecord> queuedRecords_;
    std::map<DataCentreId, TimePoint> lastHeardAt_;
    TimePoint nextFlush_;
    TimePoint nextHeartbeat_;
};

} // namespace cornelhead
