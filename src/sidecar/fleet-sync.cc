// Implements the node's view of the fleet.
#include "cornelhead/sidecar/fleet-sync.h"

#include <nlohmann/json.hpp>

#include "cornelhead/membership/relay-choice.h"
#include "cornelhead/sidecar/entry-publisher.h"
#include "cornelhead/sidecar/store-follower.h"

namespace cornelhead {
namespace detail {

constexpr const char *syncPart = "fleet";
constexpr const char *ownPrefix = "cornelhead/";
constexpr const char *hostPrefix = "cornelhead/hosts/";
constexpr const char *movePrefix = "cornelhead/moves/";

/// The service answers in milliseconds, when it is slow in some hundreds.
constexpr Milliseconds callTimeout(1000);
/// The service allows a few hundred calls a second over all nodes, which all come back at once.
constexpr Milliseconds retryPause(300);
/// Renewals cost a tenth of a call; the first keeps a lease of six seconds over two lost ones, the
/// second is a relay's, whose followers must learn within a second that it lost the service.
constexpr Milliseconds usualRenewal(1700);
constexpr Milliseconds relayRenewal(600);
/// Other nodes are asked after the service has been silent for so long, and then at this period.
constexpr Milliseconds peerPeriod(500);
constexpr Milliseconds peerTimeout(400);
/// Part of the questions that go to any data centre, in case the own one is cut off as a whole.
constexpr double farPeers = 0.2;
/// A revision that another node holds should come from the service within this time.
constexpr Milliseconds peerLead(400);

bool startsWith(const std::string &text, std::string_view prefix)
{
    return text.compare(0, prefix.size(), prefix) == 0;
}

} // namespace detail

struct FleetSync::Impl
{
    EventLoop &loop;
    const Dialect &dialect;
    Address self;
    EventLog &log;
    Random random;
    FleetHandlers handlers;
    PlatformClient platform;
    HttpClient peers;
    detail::StoreFollower follower;
    detail::EntryPublisher publisher;
    HostDirectory directory;
    std::shared_ptr<const RouteTable> configuration;
    std::string configurationBytes;
    // Orders of moves as they lie in the service, told to other nodes.
    std::map<std::string, KeyValue> orders;
    std::map<std::string, KeyValue> moves;

    Timer peerTimer;
    Timer leadTimer;
    Address leadPeer;
    Revision leadRevision;

    Impl(EventLoop &taskLoop, const Dialect &names, const Address &platformAddress,
         const Address &ownAddress, Metrics &metrics, EventLog &eventLog, std::uint64_t seed,
         FleetHandlers fleetHandlers)
        : loop(taskLoop), dialect(names), self(ownAddress), log(eventLog), random(seed),
          handlers(std::move(fleetHandlers)),
          platform(loop, {platformAddress}, detail::callTimeout, metrics, names.store), peers(loop),
          follower(loop, platform, names.operatorPrefix, detail::ownPrefix, log, seed + 1,
                   followerHandlers()),
          publisher(loop, platform, detail::hostPrefix + ownAddress.toString(), log,
                    [this](bool reached, const std::string &why) {
                        follower.noteReach(reached, why);
                    })
    { }

    detail::FollowerHandlers followerHandlers()
    {
        detail::FollowerHandlers followed;
        followed.onAnswer = [this](Subtree subtree, const WatchResponse &answer) {
            if (subtree == Subtree::Operators)
                applyOperator(answer);
            else
                applyOwn(answer);
        };
        followed.chooseRelay = [this](const std::set<Address> &avoided) {
            return chooseRelay(self, directory.hosts(), avoided);
        };
        followed.onDirect = [this] { publisher.renewNow(); };
        followed.onCurrent = [this](bool isCurrent) { noteCurrent(isCurrent); };
        return followed;
    }

    void noteCurrent(bool isCurrent)
    {
        if (isCurrent) {
            peerTimer = Timer();
            directory.restartGrace(now(SteadyClock()));
        } else {
            peerTimer = loop.every(detail::peerPeriod, [this] { askRandomPeer(); });
        }
    }

    void applyOperator(const WatchResponse &answer)
    {
        // A series of changes holds each version whole; only the last of a key matters.
        std::map<std::string_view, const KeyValue *> last;
        for (const KeyValue &entry : answer.changed)
            last[entry.key] = &entry;
        for (const auto &[key, newest] : last) {
            const KeyValue &entry = *newest;
            if (entry.key == dialect.configurationKey)
                takeConfiguration(entry.value, "platform");
            else if (dialect.isMoveOrder(entry.key))
                takeOrder(entry);
        }
    }

    void takeOrder(const KeyValue &entry)
    {
        const Result<VersionMoveOrder> order = dialect.readMoveOrder(entry);
        if (!order) {
            log.write(EventKind::Failure, detail::syncPart, "move-order-refused",
                      {{"key", entry.key}, {"why", order.error().describe()}});
            return;
        }
        orders.insert_or_assign(entry.key, entry);
        handlers.onMoveOrder(*order);
    }

    void takeConfiguration(const std::string &bytes, std::string_view source)
    {
        if (bytes == configurationBytes)
            return;
        const auto table = dialect.readConfiguration(bytes);
        if (!table) {
            log.write(EventKind::Failure, detail::syncPart, "configuration-refused",
                      {{"why", table.error().describe()}, {"source", source}});
            return;
        }
        const Revision held = configuration ? configuration->revision() : Revision();
        if (configuration && (*table)->revision() <= held)
            return;
        log.write(EventKind::StateChange, detail::syncPart, "configuration-in-force",
                  {{"revision", (*table)->revision().value()},
                   {"before", held.value()},
                   {"routes", (*table)->size()},
                   {"source", source}});
        configuration = *table;
        configurationBytes = bytes;
        handlers.onConfiguration(configuration);
    }

    void applyOwn(const WatchResponse &answer)
    {
        const TimePoint time = now(SteadyClock());
        std::vector<HostEntry> hosts;
        std::optional<KeyValue> ownEntry;
        for (const KeyValue &entry : answer.changed) {
            if (detail::startsWith(entry.key, detail::movePrefix))
                takeMove(entry);
            else if (const auto host = readHost(entry))
                hosts.push_back(*host);
        }
        bool isChanged = false;
        if (answer.isSnapshot) {
            isChanged = directory.replaceAll(hosts, time);
            checkOwnEntry(hosts);
        } else {
            for (const HostEntry &host : hosts) {
                isChanged |= putHost(host);
                if (host.node == self)
                    publisher.noteListed(encodeHostEntry(host));
            }
            for (const std::string &key : answer.removed)
                isChanged |= removeHost(key, time);
        }
        if (isChanged || answer.isSnapshot)
            handlers.onHosts();
    }

    void checkOwnEntry(const std::vector<HostEntry> &hosts)
    {
        for (const HostEntry &host : hosts) {
            if (host.node == self) {
                publisher.noteListed(encodeHostEntry(host));
                return;
            }
        }
        publisher.noteRemoved();
    }

    std::optional<HostEntry> readHost(const KeyValue &entry)
    {
        if (!detail::startsWith(entry.key, detail::hostPrefix))
            return std::nullopt;
        const Result<HostEntry> host = decodeHostEntry(entry.value);
        if (host && detail::hostPrefix + host->node.toString() == entry.key)
            return *host;
        log.write(EventKind::Failure, detail::syncPart, "host-entry-refused",
                  {{"key", entry.key},
                   {"why", host ? "it names another host" : host.error().describe()}});
        if (entry.key == detail::hostPrefix + self.toString())
            publisher.noteRemoved();
        return std::nullopt;
    }

    bool putHost(const HostEntry &host)
    {
        if (!directory.put(host))
            return false;
        log.write(EventKind::StateChange, detail::syncPart, "host-listed",
                  {{"node", host.node.toString()},
                   {"server", host.server ? host.server->id.value() : ""},
                   {"service", host.server ? host.server->service.value() : ""},
                   {"version", host.server ? host.server->version.value() : ""},
                   {"draining", host.server && host.server->state == ServerState::Draining},
                   {"stopping", host.isStopping}});
        return true;
    }

    bool removeHost(const std::string &key, TimePoint time)
    {
        if (!detail::startsWith(key, detail::hostPrefix))
            return false;
        const Result<Address> node
                = parseAddress(key.substr(std::string_view(detail::hostPrefix).size()));
        if (!node)
            return false;
        log.write(EventKind::StateChange, detail::syncPart, "host-absent",
                  {{"node", node->toString()}});
        if (*node == self)
            publisher.noteRemoved();
        return directory.markAbsent(*node, time);
    }

    void takeMove(const KeyValue &entry)
    {
        const Result<VersionMove> move = decodeVersionMove(entry.value);
        if (!move) {
            log.write(EventKind::Failure, detail::syncPart, "move-record-refused",
                      {{"key", entry.key}, {"why", move.error().describe()}});
            return;
        }
        log.write(EventKind::StateChange, detail::syncPart, "move-record",
                  {{"service", move->service.value()},
                   {"target", move->target.value()},
                   {"perMille", move->perMille},
                   {"state", static_cast<int>(move->state)}});
        moves.insert_or_assign(entry.key, entry);
        handlers.onMoveRecord(*move, entry.modRevision);
    }

    // Nodes of the own data centre first, as states are long and bytes between data centres dear.
    void askRandomPeer()
    {
        const HostDirectory::Known *own = directory.find(self);
        std::vector<Address> near;
        std::vector<Address> others;
        for (const auto &[node, known] : directory.hosts()) {
            if (node == self)
                continue;
            others.push_back(node);
            if (own && known.entry.dataCentre == own->entry.dataCentre)
                near.push_back(node);
        }
        const std::vector<Address> &asked
                = near.empty() || random.chance(detail::farPeers) ? others : near;
        if (!asked.empty())
            askPeer(asked[random.below(asked.size())]);
    }

    void askPeer(const Address &peer)
    {
        const Revision held = configuration ? configuration->revision() : Revision();
        const HttpRequest request{HttpMethod::Get,
                                  peerStatePath + std::string("?") + std::to_string(held.value()),
                                  {},
                                  {},
                                  {}};
        peers.send(peer, request, detail::peerTimeout, [this, peer](Result<HttpResponse> answer) {
            if (answer && answer->status == 200)
                takePeerState(peer, answer->body);
        });
    }

    void takePeerState(const Address &peer, const std::string &body)
    {
        try {
            const auto json = nlohmann::json::parse(body);
            const auto bytes = json.at("configuration").get<std::string>();
            if (!bytes.empty() && bytes != configurationBytes)
                takeConfiguration(bytes, peer.toString());
            for (const auto &entry : json.at("orders"))
                takeOrder(readEntry(entry));
            for (const auto &entry : json.at("moves"))
                takeMove(readEntry(entry));
            takePeerHosts(json.at("hosts"));
        } catch (const nlohmann::json::exception &error) {
            log.write(EventKind::Failure, detail::syncPart, "peer-state-refused",
                      {{"node", peer.toString()}, {"why", error.what()}});
        }
    }

    void takePeerHosts(const nlohmann::json &hosts)
    {
        bool isChanged = false;
        for (const auto &entry : hosts) {
            const Result<HostEntry> host = decodeHostEntry(entry.get<std::string>());
            if (host && host->node != self)
                isChanged |= !follower.isCurrent()
                        && directory.putFromPeer(*host, now(SteadyClock()));
        }
        if (isChanged)
            handlers.onHosts();
    }

    static KeyValue readEntry(const nlohmann::json &json)
    {
        return KeyValue{json.at("key").get<std::string>(), json.at("value").get<std::string>(),
                        ModRevision(json.at("modRevision").get<std::uint64_t>())};
    }

    static nlohmann::json renderEntries(const std::map<std::string, KeyValue> &entries)
    {
        nlohmann::json list = nlohmann::json::array();
        for (const auto &[key, entry] : entries) {
            list.push_back({{"key", entry.key},
                            {"value", entry.value},
                            {"modRevision", entry.modRevision.value()}});
        }
        return list;
    }

    std::string renderState(Revision held) const
    {
        const bool isNewer = configuration && configuration->revision() > held;
        nlohmann::json hosts = nlohmann::json::array();
        for (const auto &[node, known] : directory.hosts())
            hosts.push_back(encodeHostEntry(known.entry));
        const nlohmann::json json
                = {{"configuration", isNewer ? configurationBytes : std::string()},
                   {"orders", renderEntries(orders)},
                   {"moves", renderEntries(moves)},
                   {"hosts", std::move(hosts)}};
        return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    }

    void notePeerRevision(const Address &peer, Revision revision)
    {
        if (configuration && revision <= configuration->revision())
            return;
        if (revision <= leadRevision)
            return;
        leadRevision = revision;
        leadPeer = peer;
        leadTimer = loop.after(detail::peerLead, [this] {
            if (!configuration || configuration->revision() < leadRevision)
                askPeer(leadPeer);
            leadRevision = Revision();
        });
    }

    void writeMove(const VersionMove &move, ModRevision expected)
    {
        const std::string key = detail::movePrefix + move.service.value();
        platform.put(key, encodeVersionMove(move), ExpectedRevision{expected}, std::nullopt,
                     [this, move, key](Result<ModRevision> written) {
                         log.write(EventKind::StateChange, detail::syncPart, "move-written",
                                   {{"service", move.service.value()},
                                    {"target", move.target.value()},
                                    {"perMille", move.perMille},
                                    {"state", static_cast<int>(move.state)},
                                    {"outcome", written ? "ok" : written.error().describe()}});
                         if (!written)
                             return;
                         takeMove(KeyValue{key, encodeVersionMove(move), *written});
                         writeStatus(move);
                     });
    }

    void writeStatus(const VersionMove &move)
    {
        const MoveStatusEntry status = dialect.renderMoveStatus(move);
        platform.put(status.key, status.value, std::nullopt, std::nullopt,
                     [this, move](const Result<ModRevision> &written) {
                         if (written)
                             return;
                         log.write(EventKind::Failure, detail::syncPart, "move-status-unwritten",
                                   {{"service", move.service.value()},
                                    {"why", written.error().describe()}});
                         statusTimer = loop.after(detail::retryPause,
                                                  [this, move] { writeStatus(move); });
                     });
    }

    Timer statusTimer;
};

FleetSync::FleetSync(EventLoop &loop, const Dialect &dialect, const Address &platform,
                     const Address &self, Metrics &metrics, EventLog &log, std::uint64_t seed,
                     FleetHandlers handlers)
    : impl_(std::make_unique<Impl>(loop, dialect, platform, self, metrics, log, seed,
                                   std::move(handlers)))
{ }

FleetSync::~FleetSync() = default;

void FleetSync::start()
{
    impl_->follower.start();
}

void FleetSync::publish(const HostEntry &entry)
{
    impl_->publisher.publish(encodeHostEntry(entry));
}

void FleetSync::notePeerRevision(const Address &peer, Revision revision)
{
    impl_->notePeerRevision(peer, revision);
}

bool FleetSync::isComplete() const
{
    return impl_->configuration && !impl_->directory.hosts().empty();
}

bool FleetSync::isServiceReachable() const
{
    return impl_->follower.isReachable();
}

const HostDirectory &FleetSync::directory() const
{
    return impl_->directory;
}

const std::shared_ptr<const RouteTable> &FleetSync::configuration() const
{
    return impl_->configuration;
}

void FleetSync::sweep(const std::function<bool(const Address &)> &answeredLately)
{
    impl_->follower.sweep();
    impl_->publisher.renewEvery(impl_->follower.feed().hasFollowers() ? detail::relayRenewal
                                                                      : detail::usualRenewal);
    // While nothing is heard of the service, absence says nothing.
    if (impl_->follower.isCurrent()
        && impl_->directory.removeGone(now(SteadyClock()), answeredLately))
        impl_->handlers.onHosts();
}

void FleetSync::serveFollower(evhttp_request *request)
{
    impl_->follower.feed().serve(request);
}

void FleetSync::dropFollowers()
{
    impl_->follower.feed().drop();
}

void FleetSync::writeMove(const VersionMove &move, ModRevision expected)
{
    impl_->writeMove(move, expected);
}

std::string FleetSync::renderState(Revision held) const
{
    return impl_->renderState(held);
}

} // namespace cornelhead
