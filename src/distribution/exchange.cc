// Connects relays and reconciles their state.
#include "cornelhead/distribution/exchange.h"

#include <algorithm>

#include "cornelhead/base/log.h"
#include "cornelhead/distribution/wire.h"

namespace cornelhead {
namespace detail {

constexpr Milliseconds exchangeBatchInterval = Milliseconds(100);
constexpr Milliseconds initialDialRetryDelay = Milliseconds(250);
constexpr Milliseconds maxDialRetryDelay = Milliseconds(2000);
/// Time for the platform to deliver a configuration before it is pulled from a peer.
constexpr Milliseconds platformConfigDelay = Milliseconds(100);
constexpr Milliseconds pullInterval = Milliseconds(200);
/// A data centre without frames for this long is considered unreachable.
constexpr Milliseconds unreachableTimeout = Milliseconds(3000);
constexpr int maxMissedPeerHeartbeats = 3;
/// A link whose other end sent no Hello or Welcome by then is closed.
constexpr Milliseconds welcomeTimeout = Milliseconds(1000);

} // namespace detail

Exchange::Exchange(NodeState &state, NetworkPort &network, Clock clock, Random &random,
                   Metrics &metrics, Milliseconds heartbeatInterval, ExchangeHandlers handlers)
    : state_(&state), network_(&network), clock_(std::move(clock)), random_(&random),
      heartbeatInterval_(heartbeatInterval), handlers_(std::move(handlers)),
      pulls_(&metrics.counter("cornelhead_exchange_pulls_total")),
      backoffs_(&metrics.counter("cornelhead_backoffs_total", {{"flow", "exchange"}})),
      peerGauge_(&metrics.gauge("cornelhead_peers"))
{ }

void Exchange::start()
{
    if (running_)
        return;
    running_ = true;
    startedAt_ = now(clock_);
    nextFlush_ = startedAt_;
    nextHeartbeat_ = startedAt_;
    lastHeardAt_.clear();
    dialMissingPeers();
}

void Exchange::stop()
{
    running_ = false;
    for (const auto &[link, peer] : links_)
        network_->close(link);
    links_.clear();
    dials_.clear();
    queuedRecords_.clear();
    peerGauge_->set(0);
}

void Exchange::setExtraPeers(std::vector<Address> peers)
{
    extraPeers_ = std::move(peers);
}

bool Exchange::isLinked(const Address &address) const
{
    return std::any_of(links_.begin(), links_.end(), [&](const auto &entry) {
        const Peer &peer = entry.second;
        return peer.address == address || (peer.info && peer.info->inner == address);
    });
}

void Exchange::dialMissingPeers()
{
    // Of each pair of listed relays the one with the smaller id dials; an unlisted relay dials all.
    const bool listed = isListed(state_->directory, state_->self.id);
    for (const auto &[key, info] : state_->directory.relays) {
        if (!listed || state_->self.id < info.id)
            dial(info.inner);
    }
    for (const Address &address : extraPeers_)
        dial(address);
}

void Exchange::dial(const Address &address)
{
    if (address == state_->self.inner || isLinked(address))
        return;
    const auto found = dials_.find(address);
    if (found != dials_.end() && now(clock_) < found->second.notBefore)
        return;
    const LinkId link = network_->open(address);
    Peer peer;
    peer.address = address;
    peer.outgoing = true;
    peer.lastHeardAt = now(clock_);
    peer.openedAt = peer.lastHeardAt;
    links_[link] = peer;
    network_->send(link, handlers_.makeHello());
}

void Exchange::recordFailure(const Address &address)
{
    DialState &state = dials_.try_emplace(address,
                                          DialState{Backoff(detail::initialDialRetryDelay,
                                                            detail::maxDialRetryDelay),
                                                    now(clock_)})
                               .first->second;
    state.notBefore = now(clock_) + state.backoff.next(*random_);
    backoffs_->add();
}

void Exchange::onHello(LinkId link, const inner::Hello &hello)
{
    const Result<NodeInfo> info = fromWire(hello.record().node());
    auto frame = std::make_shared<inner::Frame>();
    frame->mutable_welcome()->set_protocol(protocolVersion);
    *frame->mutable_welcome()->mutable_node() = toWire(state_->self);
    frame->mutable_welcome()->set_relay(running_);
    network_->send(link, frame);
    if (!running_ || !info) {
        network_->send(link, goodbyeFrame());
        return;
    }
    Peer &peer = links_[link];
    peer.openedAt = now(clock_);
    peer.lastHeardAt = peer.openedAt;
    registerPeer(link, peer, *info);
}

void Exchange::registerPeer(LinkId link, Peer &peer, const NodeInfo &info)
{
    peer.info = info;
    peer.address = info.inner;
    dials_.erase(info.inner);
    peerGauge_->set(static_cast<std::int64_t>(links_.size()));
    sendSummary(link);
    if (info.dataCentre == state_->self.dataCentre)
        network_->send(link, floorsFrame(state_->floors.addresses()));
}

void Exchange::onFrame(LinkId link, const inner::Frame &frame)
{
    Peer &peer = links_.at(link);
    peer.lastHeardAt = now(clock_);
    if (peer.info)
        lastHeardAt_[peer.info->dataCentre] = peer.lastHeardAt;
    switch (frame.body_case()) {
    case inner::Frame::kWelcome:
        if (const Result<NodeInfo> info = fromWire(frame.welcome().node());
            info && frame.welcome().relay())
            registerPeer(link, peer, *info);
        break;
    case inner::Frame::kGoodbye:
        network_->close(link);
        onClosed(link);
        break;
    case inner::Frame::kSummary:
        onSummary(link, peer, frame.summary());
        break;
    case inner::Frame::kPull:
        onPull(link, peer, frame.pull());
        break;
    case inner::Frame::kRecords:
        onRecordsFrame(frame.records());
        break;
    case inner::Frame::kMoves:
        onMovesFrame(frame.moves());
        break;
    case inner::Frame::kConfig:
        handlers_.onConfig(frame.config());
        break;
    case inner::Frame::kRelays:
        if (const Result<RelayDirectory> directory = fromWire(frame.relays()))
            handlers_.onRelays(*directory);
        break;
    case inner::Frame::kOutcomes:
        handlers_.onOutcomes(fromWire(frame.outcomes()));
        break;
    case inner::Frame::kFloors:
        onFloors(frame.floors());
        break;
    default:
        break;
    }
}

void Exchange::onClosed(LinkId link)
{
    const auto found = links_.find(link);
    if (found == links_.end())
        return;
    if (found->second.outgoing)
        recordFailure(found->second.address);
    links_.erase(found);
    peerGauge_->set(static_cast<std::int64_t>(links_.size()));
}

FramePtr Exchange::summaryFrame() const
{
    auto frame = std::make_shared<inner::Frame>();
    inner::Summary *summary = frame->mutable_summary();
    summary->set_revision(state_->config.revision().value());
    summary->set_digest(state_->config.current().digest.value());
    summary->set_moves_hash(state_->moves.hash());
    summary->set_relays_revision(state_->directory.storeRevision.value());
    for (const DataCentreId &dataCentre : state_->registry.dataCentres()) {
        inner::RecordsSummary *records = summary->add_records();
        records->set_data_centre(dataCentre.value());
        records->set_hash(state_->registry.hash(dataCentre));
    }
    return frame;
}

void Exchange::sendSummary(LinkId link)
{
    network_->send(link, summaryFrame());
}

void Exchange::publishSummary()
{
    if (!running_)
        return;
    sendToPeers(summaryFrame());
}

void Exchange::onSummary(LinkId link, Peer &peer, const inner::Summary &summary)
{
    const bool isBehind = Revision(summary.revision()) > state_->config.revision();
    if (!isBehind)
        peer.pullConfigAt.reset();
    else if (!peer.pullConfigAt)
        peer.pullConfigAt = now(clock_)
                + (handlers_.isPlatformReachable() ? detail::platformConfigDelay : Milliseconds(0));
    pullDifferences(link, peer, summary);
    pullDueConfigs();
}

void Exchange::pullDifferences(LinkId link, Peer &peer, const inner::Summary &summary)
{
    if (now(clock_) < peer.nextPull)
        return;
    auto frame = std::make_shared<inner::Frame>();
    inner::Pull *pull = frame->mutable_pull();
    pull->set_moves(summary.moves_hash() != state_->moves.hash());
    pull->set_relays(ModRevision(summary.relays_revision()) > state_->directory.storeRevision);
    for (const inner::RecordsSummary &theirs : summary.records()) {
        const DataCentreId dataCentre(theirs.data_centre());
        if (theirs.hash() == state_->registry.hash(dataCentre))
            continue;
        inner::PullRecords *records = pull->add_records();
        records->set_data_centre(theirs.data_centre());
        for (const KnownRecord &known : state_->registry.recordVersions(dataCentre)) {
            inner::KnownRecord *out = records->add_known();
            out->set_node(known.node.value());
            out->set_sequence(known.sequence.value());
            out->set_gone(known.gone);
        }
    }
    if (!pull->moves() && !pull->relays() && pull->records_size() == 0)
        return;
    peer.nextPull = now(clock_) + detail::pullInterval;
    pulls_->add();
    network_->send(link, frame);
}

void Exchange::pullDueConfigs()
{
    // A node without a configuration waits for the platform, which has the authoritative floor.
    if (state_->config.revision() == Revision(0) && handlers_.isFirstPlatformCallPending())
        return;
    for (auto &[link, peer] : links_) {
        if (!peer.pullConfigAt || now(clock_) < *peer.pullConfigAt)
            continue;
        peer.pullConfigAt.reset();
        auto frame = std::make_shared<inner::Frame>();
        frame->mutable_pull()->set_config(true);
        frame->mutable_pull()->set_held_revision(state_->config.revision().value());
        pulls_->add();
        network_->send(link, frame);
    }
}

void Exchange::onPull(LinkId link, const Peer &peer, const inner::Pull &pull)
{
    if (pull.config() && Revision(pull.held_revision()) < state_->config.revision())
        sendConfig(link, peer);
    if (pull.moves())
        network_->send(link, movesFrame(*state_->moves.table()));
    if (pull.relays())
        network_->send(link, relaysFrame(state_->directory));
    for (const inner::PullRecords &records : pull.records())
        sendRecords(link, records);
}

void Exchange::sendConfig(LinkId link, const Peer &peer)
{
    if (!peer.info || !state_->config.snapshot())
        return;
    const Revision floor = state_->floors.floorOf(peer.info->inner, peer.info->dataCentre);
    state_->floors.raise(peer.info->inner, state_->config.revision());
    state_->floors.raise(peer.info->dataCentre, state_->config.revision());
    network_->send(link, configFrame(state_->config.current(), floor, false));
}

void Exchange::sendRecords(LinkId link, const inner::PullRecords &pull)
{
    std::vector<KnownRecord> known;
    for (const inner::KnownRecord &record : pull.known())
        known.push_back({NodeId(record.node()), RecordSequence(record.sequence()), record.gone()});
    const auto records = state_->registry.recordsNewerThan(DataCentreId(pull.data_centre()), known);
    if (!records.empty())
        network_->send(link, recordsFrame(records));
}

void Exchange::onRecordsFrame(const inner::Records &records)
{
    std::vector<NodeRecord> parsed;
    for (const inner::Record &wire : records.records()) {
        if (Result<NodeRecord> record = fromWire(wire))
            parsed.push_back(std::move(*record));
    }
    handlers_.onRecords(parsed);
}

void Exchange::onMovesFrame(const inner::Moves &moves)
{
    std::vector<Move> parsed;
    for (const inner::Move &wire : moves.moves()) {
        if (Result<Move> move = fromWire(wire))
            parsed.push_back(std::move(*move));
    }
    handlers_.onMoves(parsed);
}

void Exchange::onFloors(const inner::Floors &floors)
{
    for (const inner::Floor &floor : floors.addresses()) {
        if (const Result<Address> address = parseAddress(floor.address()))
            state_->floors.raise(*address, Revision(floor.revision()));
    }
    for (const inner::Floor &floor : floors.data_centres())
        state_->floors.raise(DataCentreId(floor.address()), Revision(floor.revision()));
}

FramePtr Exchange::floorsFrame(const std::map<Address, Revision> &addresses) const
{
    auto frame = std::make_shared<inner::Frame>();
    inner::Floors *floors = frame->mutable_floors();
    for (const auto &[address, revision] : addresses) {
        inner::Floor *floor = floors->add_addresses();
        floor->set_address(address.toString());
        floor->set_revision(revision.value());
    }
    for (const auto &[dataCentre, revision] : state_->floors.dataCentres()) {
        inner::Floor *floor = floors->add_data_centres();
        floor->set_address(dataCentre.value());
        floor->set_revision(revision.value());
    }
    return frame;
}

void Exchange::sendFloors()
{
    const std::map<Address, Revision> changed = state_->floors.drainChanged();
    if (changed.empty())
        return;
    const FramePtr localFrame = floorsFrame(changed);
    const FramePtr remoteFrame = floorsFrame({});
    for (const LinkId link : oneLinkPerPeer()) {
        const bool isLocal = links_.at(link).info->dataCentre == state_->self.dataCentre;
        network_->send(link, isLocal ? localFrame : remoteFrame);
    }
}

void Exchange::queueRecord(const NodeRecord &record)
{
    if (running_)
        queuedRecords_[record.info.id] = record;
}

void Exchange::publishOutcomes(const OutcomeBatch &batch)
{
    if (!running_ || batch.empty())
        return;
    auto frame = std::make_shared<inner::Frame>();
    *frame->mutable_outcomes() = toWire(batch);
    sendToPeers(frame);
}

bool Exchange::isLive(const Peer &peer) const
{
    return peer.info
            && now(clock_) - peer.lastHeardAt
            < heartbeatInterval_ * detail::maxMissedPeerHeartbeats;
}

std::set<NodeId> Exchange::livePeers() const
{
    std::set<NodeId> peers;
    for (const auto &[link, peer] : links_) {
        if (isLive(peer))
            peers.insert(peer.info->id);
    }
    return peers;
}

std::vector<LinkId> Exchange::oneLinkPerPeer() const
{
    std::map<NodeId, LinkId> chosen;
    for (const auto &[link, peer] : links_) {
        if (peer.info)
            chosen[peer.info->id] = link;
    }
    std::vector<LinkId> links;
    links.reserve(chosen.size());
    for (const auto &[node, link] : chosen)
        links.push_back(link);
    return links;
}

void Exchange::sendToPeers(const FramePtr &frame)
{
    for (const LinkId link : oneLinkPerPeer())
        network_->send(link, frame);
}

void Exchange::tick()
{
    if (!running_)
        return;
    const TimePoint time = now(clock_);
    dialMissingPeers();
    pullDueConfigs();
    if (time >= nextFlush_)
        flush();
    if (time >= nextHeartbeat_) {
        nextHeartbeat_ = time + heartbeatInterval_;
        publishSummary();
        closeSilentLinks();
        checkReachability();
    }
}

void Exchange::flush()
{
    nextFlush_ = now(clock_) + detail::exchangeBatchInterval;
    sendFloors();
    if (queuedRecords_.empty())
        return;
    std::vector<NodeRecord> records;
    for (auto &[node, record] : queuedRecords_)
        records.push_back(std::move(record));
    queuedRecords_.clear();
    sendToPeers(recordsFrame(records));
}

void Exchange::closeSilentLinks()
{
    std::vector<LinkId> silent;
    for (const auto &[link, peer] : links_) {
        const bool isSilent = now(clock_) - peer.lastHeardAt
                >= heartbeatInterval_ * detail::maxMissedPeerHeartbeats;
        const bool isUnidentified
                = !peer.info && now(clock_) - peer.openedAt >= detail::welcomeTimeout;
        if (isSilent || isUnidentified)
            silent.push_back(link);
    }
    for (const LinkId link : silent) {
        network_->close(link);
        onClosed(link);
    }
}

void Exchange::checkReachability()
{
    const TimePoint time = now(clock_);
    std::set<NodeId> caretakers = livePeers();
    caretakers.insert(state_->self.id);
    const std::set<DataCentreId> servedDataCentres
            = state_->registry.dataCentresServedBy(caretakers);
    bool changed = false;
    for (const DataCentreId &dataCentre : state_->registry.dataCentres()) {
        const auto entry = lastHeardAt_.find(dataCentre);
        const TimePoint last = entry == lastHeardAt_.end() ? startedAt_ : entry->second;
        const bool reachable = dataCentre == state_->self.dataCentre
                || servedDataCentres.contains(dataCentre)
                || time - last < detail::unreachableTimeout;
        changed |= state_->registry.setReachable(dataCentre, reachable);
    }
    if (changed)
        handlers_.onReachability();
}

} // namespace cornelhead
