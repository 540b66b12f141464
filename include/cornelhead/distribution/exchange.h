// What relays tell each other: changes at once, summaries at intervals, and pulls of what differs.
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
    /// Tells whether the platform brings the configuration without the peers.
    std::function<bool()> isPlatformReachable;
    /// Tells whether the platform's first answer is still awaited.
    std::function<bool()> isFirstPlatformCallPending;
};

/// Links a relay with all other relays.
///
/// Each relay sends on only what it learnt first-hand; what a cut keeps from arriving that way is
/// found by comparing summaries and pulled, from whichever peer has it.
class Exchange
{
public:
    Exchange(NodeState &state, NetworkPort &network, Clock clock, Random &random, Metrics &metrics,
             Milliseconds heartbeat, ExchangeHandlers handlers);

    void start();
    void stop();
    /// Names addresses to link with besides the relays of the directory.
    void setExtraPeers(std::vector<Address> peers);

    void onHello(LinkId link, const inner::Hello &hello);
    bool owns(LinkId link) const { return links_.contains(link); }
    void onFrame(LinkId link, const inner::Frame &frame);
    void onClosed(LinkId link);
    void tick();

    /// Sends a record that this node is the first relay to know.
    void queueRecord(const NodeRecord &record);
    void publishSummary();
    void publishOutcomes(const OutcomeBatch &batch);
    /// Sends what is queued without waiting for the batch.
    void flush();
    /// Returns the relays heard of within a few heartbeats.
    std::set<NodeId> livePeers() const;

private:
    struct Peer
    {
        Address address;
        bool outgoing = false;
        /// Known after Hello or Welcome.
        std::optional<NodeInfo> info;
        TimePoint heard;
        TimePoint opened;
        /// When to ask for a configuration that the platform was expected to bring.
        std::optional<TimePoint> pullConfigAt;
        TimePoint nextPull;
    };
    struct Dial
    {
        Backoff backoff;
        TimePoint notBefore;
    };

    void dialMissing();
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
    std::map<Address, Dial> dials_;
    std::map<NodeId, NodeRecord> queuedRecords_;
    std::map<DataCentreId, TimePoint> lastHeardAt_;
    TimePoint nextFlush_;
    TimePoint nextHeartbeat_;
};

} // namespace cornelhead
