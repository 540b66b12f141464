// Coordinates the subscriber, relay and peer roles of a node.
#include "cornelhead/distribution/agent.h"

#include <algorithm>

#include "cornelhead/base/digest.h"
#include "cornelhead/base/log.h"
#include "cornelhead/distribution/wire.h"

namespace cornelhead {
namespace detail {

constexpr Milliseconds outcomeInterval = Milliseconds(1000);
constexpr Milliseconds expiryInterval = Milliseconds(250);
constexpr Milliseconds inviteInterval = Milliseconds(1000);
/// Spreads the first election attempts of nodes that start at the same time.
constexpr Milliseconds electionJitter = Milliseconds(500);
/// A node without a relay for this long tries to acquire a slot.
constexpr Milliseconds electionDelay = Milliseconds(500);
/// A node without a relay for this long may act as one although all slots are occupied.
constexpr Milliseconds actingDelay = Milliseconds(1000);
/// Number of nodes per data centre that may act as relays; doubles with each second without a
/// relay.
constexpr std::size_t minActingNodes = 3;
constexpr std::size_t maxActingNodes = 64;
constexpr int missedHeartbeatsBeforeGone = 3;

EncodedConfig encodedConfigFrom(const inner::Config &wire)
{
    return {Revision(wire.revision()), Digest(wire.digest()),
            std::make_shared<const std::string>(wire.whole())};
}

RegistryTiming registryTiming(const DistributionSettings &settings)
{
    RegistryTiming timing;
    timing.heartbeatTimeout = settings.heartbeatInterval * missedHeartbeatsBeforeGone;
    timing.orphanGracePeriod = settings.relayLeaseTtl * 2;
    return timing;
}

} // namespace detail

Agent::Agent(DistributionSettings settings, NetworkPort network, PlatformPort platform,
             const Clock &clock, Metrics &metrics, DistributionHandlers handlers)
    : settings_(std::move(settings)), network_(std::move(network)), platform_(std::move(platform)),
      clock_(clock), handlers_(std::move(handlers)), random_(settings_.seed),
      state_(settings_.self, clock, detail::registryTiming(settings_), metrics),
      roleGauge_(&metrics.gauge("cornelhead_relay_role")),
      platformGauge_(&metrics.gauge("cornelhead_platform_reachable")),
      subscriber_({settings_.self, settings_.seeds, settings_.heartbeatInterval}, network_, clock,
                  random_, metrics, subscriberHandlers()),
      relay_(state_, network_, clock, random_, metrics, settings_.heartbeatInterval,
             relayHandlers()),
      exchange_(state_, network_, clock, random_, metrics, settings_.heartbeatInterval,
                exchangeHandlers()),
      watcher_(platform_, clock, random_, metrics, watcherHandlers()),
      election_({settings_.self, settings_.relaysPerDataCentre, settings_.relayLeaseTtl}, platform_,
                clock, random_, metrics, electionHandlers()),
      nackWriter_(platform_, metrics), reconciler_(state_),
      pulls_(&metrics.counter("cornelhead_subscriber_pulls_total"))
{
    ownRecord_.info = settings_.self;
    ownRecord_.sequence = RecordSequence(1);
}

Agent::~Agent() = default;

SubscriberHandlers Agent::subscriberHandlers()
{
    return {[this] { return makeHello(inner::SUBSCRIBER); }, [this] { reconciler_.reset(); }};
}

RelayHandlers Agent::relayHandlers()
{
    RelayHandlers handlers;
    handlers.onRecord = [this](const NodeRecord &record) { mergeRecord(record, true); };
    handlers.onOutcomes = [this](const OutcomeBatch &batch) { mergeOutcomes(outcomes_, batch); };
    handlers.onConfig
            = [this](const inner::Config &config) { onConfigFrame(std::nullopt, config); };
    handlers.onNack = [this](const inner::Nack &nack) {
        nackWriter_.write({Revision(nack.revision()), NodeId(nack.node()), nack.reason()});
    };
    handlers.confirmFloor = [this](auto callback) { watcher_.confirmFloor(std::move(callback)); };
    return handlers;
}

ExchangeHandlers Agent::exchangeHandlers()
{
    ExchangeHandlers handlers;
    handlers.makeHello = [this] { return makeHello(inner::PEER); };
    handlers.onRecords = [this](const std::vector<NodeRecord> &records) {
        for (const NodeRecord &record : records)
            mergeRecord(record, false);
    };
    handlers.onMoves = [this](const std::vector<Move> &moves) { mergeMoves(moves); };
    handlers.onConfig
            = [this](const inner::Config &config) { onConfigFrame(std::nullopt, config); };
    handlers.onRelays = [this](const RelayDirectory &directory) { updateDirectory(directory); };
    handlers.onOutcomes = [this](const OutcomeBatch &batch) { deliverOutcomes(batch); };
    handlers.onReachability = [this] { relay_.publishHeartbeat(); };
    handlers.isPlatformReachable = [this] { return watcher_.isReachable(); };
    handlers.isFirstPlatformCallPending = [this] { return watcher_.isFirstCallPending(); };
    return handlers;
}

WatcherHandlers Agent::watcherHandlers()
{
    WatcherHandlers handlers;
    handlers.onConfig = [this](const EncodedConfig &config) {
        const Result<bool> applied = applyConfig(config);
        inner::Config wire;
        wire.set_revision(config.revision.value());
        if (!applied)
            rejectConfig(std::nullopt, wire, applied.error());
    };
    handlers.onMoves = [this](const std::vector<Move> &moves) { mergeMoves(moves); };
    handlers.onRelays = [this](const RelayDirectory &directory) {
        updateDirectory(directory);
        election_.onRelays(directory);
    };
    return handlers;
}

ElectionHandlers Agent::electionHandlers()
{
    ElectionHandlers handlers;
    handlers.onElected = [this] { becomeRelay(Role::Relay); };
    handlers.onLost = [this] { becomeSubscriber(); };
    handlers.onNoVacancy = [this] {
        if (role_ == Role::Acting && hasLiveLocalRelay())
            becomeSubscriber();
    };
    handlers.onRelays = [this](const RelayDirectory &directory) { updateDirectory(directory); };
    return handlers;
}

void Agent::start()
{
    const TimePoint time = now(clock_);
    nextHeartbeat_ = time + random_.jitter(settings_.heartbeatInterval);
    nextOutcomes_ = time + detail::outcomeInterval;
    nextExpiry_ = time;
    nextInvite_ = time;
    electionStart_ = time + random_.jitter(detail::electionJitter)
            + (settings_.seeds.empty() ? Milliseconds(0) : detail::electionDelay);
    state_.registry.merge(ownRecord_);
    subscriber_.start();
}

void Agent::tick()
{
    if (draining_)
        return;
    subscriber_.tick();
    watcher_.tick();
    election_.tick();
    relay_.tick();
    exchange_.tick();
    considerRole();
    if (now(clock_) >= nextExpiry_)
        expireRecords();
    if (now(clock_) >= nextHeartbeat_)
        sendHeartbeat();
    if (now(clock_) >= nextOutcomes_)
        flushOutcomes();
    flushEndpoints();
}

// Roles

void Agent::considerRole()
{
    considerElection();
    considerActing();
    fillVacantSlots();
    roleGauge_->set(static_cast<std::int64_t>(role_));
    platformGauge_->set(status().platformReachable ? 1 : 0);
}

void Agent::considerElection()
{
    if (role_ == Role::Relay || now(clock_) < electionStart_)
        return;
    if (role_ == Role::Acting) {
        const bool vacant = countRelays(state_.directory, settings_.self.dataCentre)
                < settings_.relaysPerDataCentre;
        if (watcher_.isReachable() && vacant)
            election_.contendNow();
        else if (watcher_.isReachable())
            election_.contend();
        return;
    }
    const auto detachedSince = subscriber_.detachedSince();
    const bool noRelayKnown = settings_.seeds.empty() && state_.directory.relays.empty();
    const bool noRelayFound = detachedSince && now(clock_) - *detachedSince >= detail::electionDelay
            && subscriber_.allCandidatesFailed();
    if (detachedSince && (noRelayKnown || noRelayFound))
        election_.contend();
}

std::vector<Address> Agent::actingCandidates(Microseconds detached) const
{
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(detached).count();
    const std::size_t maxCandidates = std::min(detail::minActingNodes << std::min<long>(seconds, 8),
                                               detail::maxActingNodes);
    std::vector<std::pair<std::uint64_t, Address>> ranked;
    const std::string key = "acting/" + settings_.self.dataCentre.value();
    for (const auto &[id, info] : state_.registry.table()->nodes) {
        if (info.dataCentre == settings_.self.dataCentre)
            ranked.emplace_back(rendezvousWeight(key, id.value()), info.inner);
    }
    std::sort(ranked.rbegin(), ranked.rend());
    std::vector<Address> candidates;
    for (std::size_t i = 0; i < std::min(maxCandidates, ranked.size()); ++i)
        candidates.push_back(ranked[i].second);
    return candidates;
}

bool Agent::hasLiveLocalRelay() const
{
    const std::set<NodeId> liveNodes = exchange_.livePeers();
    const auto &relays = state_.directory.relays;
    return std::any_of(relays.begin(), relays.end(), [&](const auto &entry) {
        return entry.second.dataCentre == settings_.self.dataCentre
                && liveNodes.contains(entry.second.id);
    });
}

bool Agent::mayActAsRelay(const std::vector<Address> &candidates) const
{
    const Address &self = settings_.self.inner;
    const std::vector<Address> &seeds = settings_.seeds;
    if (std::find(seeds.begin(), seeds.end(), self) != seeds.end())
        return true;
    // A node without records of other nodes would rank first only because its view is empty.
    return candidates.size() > 1
            && std::find(candidates.begin(), candidates.end(), self) != candidates.end();
}

void Agent::considerActing()
{
    const auto detachedSince = subscriber_.detachedSince();
    if (role_ != Role::Subscriber || !detachedSince)
        return;
    const Microseconds detached = now(clock_) - *detachedSince;
    if (detached < detail::actingDelay)
        return;
    // Neighbours start to act only after this delay too, so earlier connections to them would fail.
    const std::vector<Address> candidates = actingCandidates(detached);
    const bool noRelayFound = subscriber_.allCandidatesFailed();
    subscriber_.setNeighbours(candidates);
    if (noRelayFound && mayActAsRelay(candidates))
        becomeRelay(Role::Acting);
}

void Agent::fillVacantSlots()
{
    if (role_ != Role::Relay || !watcher_.isReachable() || now(clock_) < nextInvite_)
        return;
    nextInvite_ = now(clock_) + detail::inviteInterval + random_.jitter(detail::inviteInterval);
    relay_.inviteWhereVacant(settings_.relaysPerDataCentre);
}

void Agent::becomeRelay(Role role)
{
    const bool wasServing = servesSubscribers();
    role_ = role;
    if (wasServing)
        return;
    CORNELHEAD_LOG(INFO, "relay") << "Became a relay.";
    subscriber_.stop();
    recordsComplete_ = true;
    if (role == Role::Acting) {
        std::vector<Address> extraPeers = actingCandidates(Microseconds(0));
        extraPeers.insert(extraPeers.end(), settings_.seeds.begin(), settings_.seeds.end());
        exchange_.setExtraPeers(std::move(extraPeers));
    }
    nextInvite_ = now(clock_) + detail::inviteInterval;
    relay_.start();
    exchange_.start();
    watcher_.start();
    publishOwnRecord();
}

void Agent::becomeSubscriber()
{
    if (!servesSubscribers() || draining_)
        return;
    CORNELHEAD_LOG(INFO, "relay") << "Stopped being a relay.";
    role_ = Role::Subscriber;
    relay_.stop();
    exchange_.stop();
    exchange_.setExtraPeers({});
    watcher_.stop();
    subscriber_.start();
}

// Incoming frames and platform updates

void Agent::onFrame(LinkId link, const inner::Frame &frame)
{
    if (draining_)
        return;
    if (frame.has_hello())
        onHello(link, frame.hello());
    else if (subscriber_.owns(link))
        onRelayFrame(link, frame);
    else if (relay_.owns(link))
        relay_.onFrame(link, frame);
    else if (exchange_.owns(link))
        exchange_.onFrame(link, frame);
}

void Agent::onHello(LinkId link, const inner::Hello &hello)
{
    if (hello.role() == inner::PEER)
        exchange_.onHello(link, hello);
    else
        relay_.onHello(link, hello);
}

void Agent::onClosed(LinkId link)
{
    if (subscriber_.owns(link))
        subscriber_.onClosed();
    else if (relay_.owns(link))
        relay_.onClosed(link);
    else
        exchange_.onClosed(link);
}

void Agent::onRelayFrame(LinkId link, const inner::Frame &frame)
{
    switch (frame.body_case()) {
    case inner::Frame::kConfig:
        onConfigFrame(link, frame.config());
        break;
    case inner::Frame::kRecords:
        mergeRecords(frame.records());
        break;
    case inner::Frame::kMoves: {
        std::vector<Move> moves;
        for (const inner::Move &wire : frame.moves().moves()) {
            if (Result<Move> move = fromWire(wire))
                moves.push_back(std::move(*move));
        }
        mergeMoves(moves);
        break;
    }
    case inner::Frame::kRelays:
        if (const Result<RelayDirectory> directory = fromWire(frame.relays()))
            updateDirectory(*directory);
        break;
    case inner::Frame::kHeartbeat:
        onRelayHeartbeat(link, frame.heartbeat());
        break;
    case inner::Frame::kPull:
        onRelayPull(link, frame.pull());
        break;
    case inner::Frame::kInvite:
        election_.contendNow();
        break;
    default:
        break;
    }
    // Handled last because Goodbye closes the link.
    if (subscriber_.owns(link))
        subscriber_.onFrame(frame);
}

void Agent::onRelayHeartbeat(LinkId link, const inner::Heartbeat &heartbeat)
{
    updateReachability(heartbeat);
    const std::optional<inner::Pull> pull = reconciler_.onHeartbeat(heartbeat);
    if (!pull)
        return;
    pulls_->add();
    auto frame = std::make_shared<inner::Frame>();
    *frame->mutable_pull() = *pull;
    network_.send(link, frame);
}

void Agent::onRelayPull(LinkId link, const inner::Pull &pull)
{
    if (pull.records_size() > 0)
        network_.send(link, recordsFrame({ownRecord_}));
    if (pull.config() && state_.config.revision() > Revision(pull.held_revision()))
        network_.send(link, configFrame(state_.config.current(), Revision(0), false));
}

void Agent::onConfigFrame(std::optional<LinkId> link, const inner::Config &wire)
{
    state_.config.raiseFloor(Revision(wire.floor()));
    if (!recordsComplete_) {
        pendingConfig_ = wire;
        return;
    }
    const Result<bool> applied = wire.delta().empty() ? applyConfig(detail::encodedConfigFrom(wire))
                                                      : applyDelta(wire);
    if (!applied) {
        rejectConfig(link, wire, applied.error());
        return;
    }
    if (!link)
        return;
    auto frame = std::make_shared<inner::Frame>();
    frame->mutable_ack()->set_revision(wire.revision());
    network_.send(*link, frame);
}

Result<bool> Agent::applyConfig(const EncodedConfig &config)
{
    Result<bool> applied = state_.config.offer(config);
    if (applied && *applied)
        distributeConfig();
    return applied;
}

Result<bool> Agent::applyDelta(const inner::Config &wire)
{
    Result<bool> applied = state_.config.offerDelta(Revision(wire.revision()),
                                                    Digest(wire.digest()), wire.delta());
    if (applied && *applied)
        distributeConfig();
    return applied;
}

void Agent::distributeConfig()
{
    state_.floors.raise(settings_.self.inner, state_.config.revision());
    // Endpoints first, so that the configuration never routes to an unknown server.
    flushEndpoints();
    handlers_.onConfig(state_.config.snapshot());
    relay_.publishConfig();
    exchange_.publishSummary();
}

void Agent::rejectConfig(std::optional<LinkId> link, const inner::Config &wire, const Error &error)
{
    CORNELHEAD_LOG(WARNING, "config")
            << "Rejected revision " << wire.revision() << ": " << error.describe();
    if (error.kind == ErrorKind::Stale)
        return;
    if (!link) {
        nackWriter_.write({Revision(wire.revision()), settings_.self.id, error.describe()});
        return;
    }
    auto frame = std::make_shared<inner::Frame>();
    inner::Nack *nack = frame->mutable_nack();
    nack->set_revision(wire.revision());
    nack->set_digest(wire.digest());
    nack->set_reason(error.describe());
    nack->set_node(settings_.self.id.value());
    nack->set_want_whole(!wire.delta().empty());
    network_.send(*link, frame);
}

void Agent::mergeMoves(const std::vector<Move> &moves)
{
    std::vector<Move> newer;
    for (const Move &move : moves) {
        if (state_.moves.merge(move))
            newer.push_back(move);
    }
    if (newer.empty())
        return;
    flushEndpoints();
    handlers_.onMoves(state_.moves.table());
    relay_.publishMoves(newer);
    exchange_.publishSummary();
}

void Agent::mergeRecords(const inner::Records &records)
{
    std::set<NodeId> receivedNodes;
    for (const inner::Record &wire : records.records()) {
        const Result<NodeRecord> record = fromWire(wire);
        if (!record)
            continue;
        receivedNodes.insert(record->info.id);
        mergeRecord(*record, false);
    }
    if (records.replace())
        state_.registry.retainOnly(receivedNodes);
    if (!records.complete())
        return;
    recordsComplete_ = true;
    flushEndpoints();
    if (pendingConfig_)
        onConfigFrame(subscriber_.attachedLink(), *std::exchange(pendingConfig_, std::nullopt));
}

void Agent::mergeRecord(const NodeRecord &record, bool fromSubscriber)
{
    // Only this node changes its own record; it overrides a record marked gone by a newer one.
    if (record.info.id == settings_.self.id) {
        if (record.gone && record.sequence >= ownRecord_.sequence && !draining_) {
            ownRecord_.sequence = record.sequence;
            publishOwnRecord();
        }
        return;
    }
    if (!state_.registry.merge(record))
        return;
    relay_.queueRecord(record);
    if (fromSubscriber)
        exchange_.queueRecord(record);
}

void Agent::updateDirectory(const RelayDirectory &directory)
{
    if (directory.storeRevision < state_.directory.storeRevision)
        return;
    const bool changed = directory.relays != state_.directory.relays;
    state_.directory = directory;
    subscriber_.setDirectory(directory);
    if (changed)
        relay_.queueRelays();
}

void Agent::updateReachability(const inner::Heartbeat &heartbeat)
{
    std::set<DataCentreId> unreachable;
    for (const std::string &name : heartbeat.unreachable())
        unreachable.insert(DataCentreId(name));
    for (const DataCentreId &dataCentre : state_.registry.dataCentres())
        state_.registry.setReachable(dataCentre, !unreachable.contains(dataCentre));
}

void Agent::deliverOutcomes(const OutcomeBatch &batch)
{
    if (servesSubscribers() && handlers_.onOutcomes && !batch.empty())
        handlers_.onOutcomes(batch);
}

// Outgoing frames

FramePtr Agent::makeHello(inner::LinkRole role)
{
    if (role == inner::SUBSCRIBER) {
        ownRecord_.sequence = ownRecord_.sequence.next();
        state_.registry.merge(ownRecord_);
    }
    auto frame = std::make_shared<inner::Frame>();
    inner::Hello *hello = frame->mutable_hello();
    hello->set_protocol(protocolVersion);
    hello->set_role(role);
    *hello->mutable_record() = toWire(ownRecord_);
    hello->set_revision(state_.config.revision().value());
    hello->set_digest(state_.config.current().digest.value());
    return frame;
}

void Agent::publishOwnRecord()
{
    ownRecord_.sequence = ownRecord_.sequence.next();
    ownRecord_.caretaker = servesSubscribers() ? settings_.self.id : NodeId();
    state_.registry.merge(ownRecord_);
    if (servesSubscribers()) {
        relay_.queueRecord(ownRecord_);
        exchange_.queueRecord(ownRecord_);
        return;
    }
    sendToRelay(recordsFrame({ownRecord_}));
}

void Agent::sendToRelay(const FramePtr &frame)
{
    if (const auto link = subscriber_.attachedLink())
        network_.send(*link, frame);
}

void Agent::flushEndpoints()
{
    if (!recordsComplete_)
        return;
    std::shared_ptr<const EndpointTable> table = state_.registry.table();
    if (table == deliveredTable_)
        return;
    deliveredTable_ = std::move(table);
    handlers_.onEndpoints(deliveredTable_);
}

void Agent::flushOutcomes()
{
    nextOutcomes_ = now(clock_) + detail::outcomeInterval;
    if (outcomes_.empty())
        return;
    if (servesSubscribers()) {
        const OutcomeBatch batch = std::exchange(outcomes_, {});
        deliverOutcomes(batch);
        exchange_.publishOutcomes(batch);
        return;
    }
    if (!subscriber_.attachedLink())
        return;
    auto frame = std::make_shared<inner::Frame>();
    *frame->mutable_outcomes() = toWire(std::exchange(outcomes_, {}));
    sendToRelay(frame);
}

void Agent::sendHeartbeat()
{
    nextHeartbeat_ = now(clock_) + settings_.heartbeatInterval;
    sendToRelay(heartbeatFrame(ownRecord_.sequence));
}

void Agent::expireRecords()
{
    nextExpiry_ = now(clock_) + detail::expiryInterval;
    state_.registry.collectGarbage();
    if (!servesSubscribers())
        return;
    std::set<NodeId> caretakers = exchange_.livePeers();
    caretakers.insert(settings_.self.id);
    for (const NodeRecord &record : state_.registry.expire(caretakers)) {
        CORNELHEAD_LOG(INFO, "relay")
                << "Node " << record.info.id.value() << " timed out; marked it gone.";
        relay_.queueRecord(record);
        exchange_.queueRecord(record);
    }
}

// Calls of the owner

void Agent::announce(const Endpoint &server)
{
    Endpoint endpoint = server;
    endpoint.node = settings_.self.id;
    endpoint.dataCentre = settings_.self.dataCentre;
    const auto existing
            = std::find_if(ownRecord_.servers.begin(), ownRecord_.servers.end(),
                           [&](const Endpoint &other) { return other.id == server.id; });
    if (existing == ownRecord_.servers.end())
        ownRecord_.servers.push_back(endpoint);
    else if (*existing == endpoint)
        return;
    else
        *existing = endpoint;
    publishOwnRecord();
}

void Agent::withdraw(const ServerId &server)
{
    const auto removed = std::erase_if(ownRecord_.servers,
                                       [&](const Endpoint &other) { return other.id == server; });
    if (removed > 0)
        publishOwnRecord();
}

void Agent::report(const OutcomeBatch &outcomes)
{
    mergeOutcomes(outcomes_, outcomes);
}

void Agent::drain(std::function<void()> done)
{
    if (draining_) {
        done();
        return;
    }
    flushOutcomes();
    ownRecord_.gone = true;
    ownRecord_.servers.clear();
    publishOwnRecord();
    if (const auto link = subscriber_.attachedLink())
        network_.send(*link, goodbyeFrame());
    if (servesSubscribers()) {
        exchange_.flush();
        relay_.flushRecords();
        // Removed from the directory so that subscribers do not reconnect to this draining relay.
        std::erase_if(state_.directory.relays,
                      [&](const auto &entry) { return entry.second.id == settings_.self.id; });
        relay_.stop();
    }
    draining_ = true;
    watcher_.stop();
    election_.resign(std::move(done));
}

DistributionStatus Agent::status() const
{
    DistributionStatus status;
    status.revision = state_.config.revision();
    status.digest = state_.config.current().digest;
    status.isRelay = servesSubscribers();
    status.hasRelay = servesSubscribers() || subscriber_.attachedLink().has_value();
    status.platformReachable
            = servesSubscribers() ? watcher_.isReachable() : election_.isPlatformReachable();
    status.subscribers = relay_.subscribers();
    return status;
}

} // namespace cornelhead
