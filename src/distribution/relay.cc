// Serves subscribers.
#include "cornelhead/distribution/relay.h"

#include "cornelhead/base/log.h"
#include "cornelhead/distribution/wire.h"

namespace cornelhead {
namespace detail {

constexpr Milliseconds recordBatchInterval = Milliseconds(100);
constexpr int maxMissedSubscriberHeartbeats = 3;

} // namespace detail

Relay::Relay(NodeState &state, NetworkPort &network, Clock clock, Random &random, Metrics &metrics,
             Milliseconds heartbeatInterval, RelayHandlers handlers)
    : state_(&state), network_(&network), clock_(std::move(clock)), random_(&random),
      heartbeatInterval_(heartbeatInterval), handlers_(std::move(handlers)),
      floorsUnconfirmed_(&metrics.counter("cornelhead_floor_unconfirmed_total")),
      floorWaits_(&metrics.counter("cornelhead_floor_waits_total")),
      subscriberGauge_(&metrics.gauge("cornelhead_subscribers"))
{ }

void Relay::start()
{
    serving_ = true;
    nextFlush_ = now(clock_);
    nextHeartbeat_ = now(clock_) + heartbeatInterval_;
}

void Relay::stop()
{
    serving_ = false;
    for (const auto &[link, subscription] : subscriptions_) {
        network_->send(link, relaysFrame(state_->directory));
        network_->send(link, goodbyeFrame());
    }
    subscriptions_.clear();
    subscriberGauge_->set(0);
    queuedRecords_.clear();
}

void Relay::sendWelcome(LinkId link, bool relay)
{
    auto frame = std::make_shared<inner::Frame>();
    inner::Welcome *welcome = frame->mutable_welcome();
    welcome->set_protocol(protocolVersion);
    *welcome->mutable_node() = toWire(state_->self);
    welcome->set_relay(relay);
    welcome->set_revision(state_->config.revision().value());
    network_->send(link, frame);
}

void Relay::onHello(LinkId link, const inner::Hello &hello)
{
    const Result<NodeRecord> record = fromWire(hello.record());
    if (!record) {
        CORNELHEAD_LOG(WARNING, "relay") << "Rejected Hello: " << record.error().describe();
        network_->close(link);
        return;
    }
    if (!serving_) {
        redirect(link);
        return;
    }
    Subscription subscription;
    subscription.node = record->info.id;
    subscription.address = record->info.inner;
    subscription.dataCentre = record->info.dataCentre;
    subscription.lastHeardAt = now(clock_);
    subscription.ackedRevision = Revision(hello.revision());
    subscription.sentRevision = subscription.ackedRevision;
    subscription.awaitsFloor = hello.revision() == 0;
    subscriptions_[link] = subscription;
    subscriberGauge_->set(static_cast<std::int64_t>(subscriptions_.size()));
    state_->floors.raise(subscription.address, subscription.ackedRevision);
    state_->floors.raise(subscription.dataCentre, subscription.ackedRevision);
    NodeRecord attached = *record;
    attached.caretaker = state_->self.id;
    handlers_.onRecord(attached);
    sendState(link);
}

void Relay::redirect(LinkId link)
{
    sendWelcome(link, false);
    network_->send(link, relaysFrame(state_->directory));
    network_->send(link, goodbyeFrame());
}

void Relay::sendState(LinkId link)
{
    sendWelcome(link, true);
    network_->send(link, relaysFrame(state_->directory));
    network_->send(link, allRecordsFrame(state_->registry, false));
    network_->send(link, movesFrame(*state_->moves.table()));
    Subscription &subscription = subscriptions_.at(link);
    if (subscription.awaitsFloor)
        requestFloor(link);
    else
        sendConfig(link, subscription);
    pullConfig(link, subscription);
}

void Relay::requestFloor(LinkId link)
{
    const NodeId node = subscriptions_.at(link).node;
    handlers_.confirmFloor([this, link, node](std::optional<Revision> revision) {
        onFloor(link, node, revision);
    });
}

void Relay::onFloor(LinkId link, const NodeId &node, std::optional<Revision> revision)
{
    const auto found = subscriptions_.find(link);
    if (found == subscriptions_.end() || found->second.node != node)
        return;
    Subscription &subscription = found->second;
    subscription.awaitsFloor = false;
    subscription.confirmed = revision.has_value();
    const Revision recordedFloor
            = state_->floors.floorOf(subscription.address, subscription.dataCentre);
    subscription.floor = std::max(recordedFloor, revision.value_or(Revision(0)));
    if (!revision)
        floorsUnconfirmed_->add();
    if (subscription.floor > state_->config.revision())
        floorWaits_->add();
    sendConfig(link, subscription);
}

void Relay::sendConfig(LinkId link, Subscription &subscription)
{
    const EncodedConfig &config = state_->config.current();
    if (!state_->config.snapshot() || subscription.awaitsFloor)
        return;
    if (config.revision <= subscription.sentRevision || config.revision < subscription.floor)
        return;
    // Links deliver in order, so the subscriber has received the base when the delta arrives.
    const std::optional<EncodedDelta> &delta = state_->config.delta();
    const bool hasBase = delta && subscription.sentRevision == delta->baseRevision;
    subscription.sentRevision = config.revision;
    // Raised before sending, since the address may apply the revision from then on.
    state_->floors.raise(subscription.address, config.revision);
    state_->floors.raise(subscription.dataCentre, config.revision);
    const Revision floor = subscription.floor;
    network_->send(link,
                   hasBase ? deltaFrame(config, *delta, floor)
                           : configFrame(config, floor, subscription.confirmed));
}

void Relay::publishConfig()
{
    for (auto &[link, subscription] : subscriptions_)
        sendConfig(link, subscription);
}

void Relay::sendToAll(const FramePtr &frame)
{
    for (const auto &[link, subscription] : subscriptions_)
        network_->send(link, frame);
}

void Relay::publishMoves(const std::vector<Move> &moves)
{
    MoveTable table;
    for (const Move &move : moves)
        table.moves[move.service] = move;
    if (!table.moves.empty() && !subscriptions_.empty())
        sendToAll(movesFrame(table));
}

void Relay::publishHeartbeat()
{
    if (!subscriptions_.empty())
        sendToAll(relayHeartbeatFrame(*state_, sentRecordsHash_));
}

void Relay::queueRecord(const NodeRecord &record)
{
    if (serving_)
        queuedRecords_[record.info.id] = record;
}

void Relay::inviteWhereVacant(std::uint32_t slots)
{
    std::set<DataCentreId> vacant;
    for (const auto &[link, subscription] : subscriptions_) {
        if (countRelays(state_->directory, subscription.dataCentre) < slots)
            vacant.insert(subscription.dataCentre);
    }
    for (const DataCentreId &dataCentre : vacant)
        invite(dataCentre);
}

void Relay::invite(const DataCentreId &dataCentre)
{
    std::vector<LinkId> candidates;
    for (const auto &[link, subscription] : subscriptions_) {
        if (subscription.dataCentre == dataCentre)
            candidates.push_back(link);
    }
    auto frame = std::make_shared<inner::Frame>();
    frame->mutable_invite();
    network_->send(candidates[random_->below(candidates.size())], frame);
}

void Relay::onFrame(LinkId link, const inner::Frame &frame)
{
    Subscription &subscription = subscriptions_.at(link);
    subscription.lastHeardAt = now(clock_);
    state_->registry.recordHeartbeat(subscription.node);
    switch (frame.body_case()) {
    case inner::Frame::kRecords:
        onRecords(frame.records());
        break;
    case inner::Frame::kAck:
        onAck(subscription, frame.ack());
        break;
    case inner::Frame::kNack:
        onNack(link, subscription, frame.nack());
        break;
    case inner::Frame::kHeartbeat:
        onHeartbeat(link, subscription, frame.heartbeat());
        break;
    case inner::Frame::kPull:
        onPull(link, subscription, frame.pull());
        break;
    case inner::Frame::kConfig:
        handlers_.onConfig(frame.config());
        break;
    case inner::Frame::kOutcomes:
        handlers_.onOutcomes(fromWire(frame.outcomes()));
        break;
    default:
        break;
    }
}

void Relay::onAck(Subscription &subscription, const inner::Ack &ack)
{
    subscription.ackedRevision = std::max(subscription.ackedRevision, Revision(ack.revision()));
    state_->floors.raise(subscription.address, subscription.ackedRevision);
}

void Relay::onNack(LinkId link, Subscription &subscription, const inner::Nack &nack)
{
    if (nack.want_whole()) {
        subscription.sentRevision = Revision(0);
        sendConfig(link, subscription);
        return;
    }
    handlers_.onNack(nack);
}

void Relay::onHeartbeat(LinkId link, const Subscription &subscription,
                        const inner::Heartbeat &heartbeat)
{
    const NodeRecord *record = state_->registry.find(subscription.node);
    const bool isBehind
            = record && (record->gone || record->sequence < RecordSequence(heartbeat.sequence()));
    if (!isBehind)
        return;
    auto frame = std::make_shared<inner::Frame>();
    frame->mutable_pull()->add_records()->set_data_centre(subscription.dataCentre.value());
    network_->send(link, frame);
}

void Relay::onPull(LinkId link, Subscription &subscription, const inner::Pull &pull)
{
    if (pull.config()) {
        subscription.sentRevision = Revision(0);
        sendConfig(link, subscription);
    }
    if (pull.moves())
        network_->send(link, movesFrame(*state_->moves.table()));
    if (pull.relays())
        network_->send(link, relaysFrame(state_->directory));
    if (pull.all_records())
        network_->send(link, allRecordsFrame(state_->registry, pull.replace_records()));
}

void Relay::pullConfig(LinkId link, const Subscription &subscription)
{
    if (subscription.ackedRevision <= state_->config.revision())
        return;
    auto frame = std::make_shared<inner::Frame>();
    frame->mutable_pull()->set_config(true);
    frame->mutable_pull()->set_held_revision(state_->config.revision().value());
    network_->send(link, frame);
}

void Relay::onRecords(const inner::Records &records)
{
    for (const inner::Record &wire : records.records()) {
        Result<NodeRecord> record = fromWire(wire);
        if (!record)
            continue;
        record->caretaker = state_->self.id;
        handlers_.onRecord(*record);
    }
}

void Relay::onClosed(LinkId link)
{
    subscriptions_.erase(link);
    subscriberGauge_->set(static_cast<std::int64_t>(subscriptions_.size()));
}

void Relay::tick()
{
    if (!serving_)
        return;
    if (now(clock_) >= nextFlush_)
        flushRecords();
    if (now(clock_) >= nextHeartbeat_) {
        nextHeartbeat_ = now(clock_) + heartbeatInterval_;
        publishHeartbeat();
        closeSilentLinks();
    }
}

void Relay::flushRecords()
{
    nextFlush_ = now(clock_) + detail::recordBatchInterval;
    sentRecordsHash_ = state_->registry.hash();
    if (std::exchange(relaysQueued_, false) && !subscriptions_.empty())
        sendToAll(relaysFrame(state_->directory));
    if (queuedRecords_.empty())
        return;
    std::vector<NodeRecord> records;
    for (auto &[node, record] : queuedRecords_)
        records.push_back(std::move(record));
    queuedRecords_.clear();
    if (!subscriptions_.empty())
        sendToAll(recordsFrame(records));
}

void Relay::closeSilentLinks()
{
    std::vector<LinkId> silent;
    for (const auto &[link, subscription] : subscriptions_) {
        if (now(clock_) - subscription.lastHeardAt
            >= heartbeatInterval_ * detail::maxMissedSubscriberHeartbeats)
            silent.push_back(link);
    }
    for (const LinkId link : silent) {
        network_->close(link);
        onClosed(link);
    }
}

} // namespace cornelhead
