// Implements the node's view of the fleet over watches, a lease and, at need, other nodes.
#include "cornelhead/sidecar/fleet-sync.h"

#include <nlohmann/json.hpp>

#include "cornelhead/sidecar/entry-publisher.h"

namespace cornelhead {
namespace detail {

constexpr const char *syncPart = "fleet";
constexpr const char *ownPrefix = "cornelhead/";
constexpr const char *hostPrefix = "cornelhead/hosts/";
constexpr const char *movePrefix = "cornelhead/moves/";

/// A long poll is one priced call however long it waits; the service allows at most 30 s.
constexpr Milliseconds watchWait(20000);
/// Changes come in series; those within this time share one call.  A longer series shares more, as
/// a change must be in force only after two seconds.
constexpr Milliseconds watchPause(300);
constexpr Milliseconds seriesPause(900);
/// Entries of hosts may be older, as a host refuses truthfully what it cannot take, and each change
/// costs a call of every node.
constexpr Milliseconds hostsPause(600);
constexpr Milliseconds hostsSeriesPause(1500);
constexpr Milliseconds seriesGap(2500);
/// Bytes that take a link of 10 Mbit/s a twentieth of a second.
constexpr std::size_t longAnswer = 64 * 1024;
constexpr Milliseconds callTimeout(1500);
/// The service allows a few hundred calls a second over all nodes, which all come back at once.
constexpr Milliseconds retryPause(300);
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
    detail::EntryPublisher publisher;
    HostDirectory directory;
    std::shared_ptr<const RouteTable> configuration;
    std::string configurationBytes;
    // Orders of moves as they lie in the service, told to other nodes.
    std::map<std::string, KeyValue> orders;
    std::map<std::string, KeyValue> moves;

    struct Watch
    {
        std::string prefix;
        ModRevision after;
        bool isListed = false;
        // Rises when a watch is abandoned, so that its late answer is ignored.
        std::uint64_t generation = 0;
        TimePoint lastChange{};
        /// After a change, and after one of a series.
        Milliseconds pauseTime{};
        Milliseconds seriesPause{};
        Timer pause;
    };
    Watch operatorWatch;
    Watch ownWatch;
    bool isReachable = false;
    bool wasEverReachable = false;
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
          publisher(loop, platform, detail::hostPrefix + ownAddress.toString(), log,
                    [this](bool reached, const std::string &why) { noteReach(reached, why); })
    {
        operatorWatch.prefix = names.operatorPrefix;
        operatorWatch.pauseTime = detail::watchPause;
        operatorWatch.seriesPause = detail::seriesPause;
        ownWatch.prefix = detail::ownPrefix;
        ownWatch.pauseTime = detail::hostsPause;
        ownWatch.seriesPause = detail::hostsSeriesPause;
    }

    // Lists or watches, whichever is due, and goes on for ever.
    void follow(Watch &watch)
    {
        const std::uint64_t generation = ++watch.generation;
        const auto take = [this, &watch, generation](Result<WatchAnswer> answer) {
            if (generation == watch.generation)
                takeAnswer(watch, std::move(answer));
        };
        if (watch.isListed) {
            platform.watch(watch.prefix, watch.after, detail::watchWait, take);
            return;
        }
        platform.list(watch.prefix, [take](Result<Listing> listing) {
            if (!listing)
                take(tl::unexpected(listing.error()));
            else
                take(WatchAnswer{std::move(listing->entries), {}, listing->storeRevision, true});
        });
    }

    void takeAnswer(Watch &watch, Result<WatchAnswer> answer)
    {
        if (!answer) {
            noteReach(false, answer.error().describe());
            followLater(watch, detail::retryPause + random.jitter(detail::retryPause));
            return;
        }
        noteReach(true);
        watch.after = std::max(watch.after, answer->storeRevision);
        const bool wasListing = !std::exchange(watch.isListed, true);
        apply(watch, *answer);
        if (wasListing) {
            follow(watch);
            return;
        }
        const TimePoint time = now(SteadyClock());
        const bool isSeries = time - watch.lastChange < detail::seriesGap;
        watch.lastChange = time;
        // A watch would bring every version of a series, a listing only the last.
        if (isSeries && sizeOf(*answer) > detail::longAnswer)
            watch.isListed = false;
        followLater(watch, isSeries ? watch.seriesPause : watch.pauseTime);
    }

    static std::size_t sizeOf(const WatchAnswer &answer)
    {
        std::size_t bytes = 0;
        for (const KeyValue &entry : answer.changed)
            bytes += entry.value.size();
        return bytes;
    }

    void followLater(Watch &watch, Milliseconds pause)
    {
        watch.pause = loop.after(pause, [this, &watch] { follow(watch); });
    }

    void noteReach(bool reached, const std::string &why = {})
    {
        if (std::exchange(isReachable, reached) == reached)
            return;
        if (!reached) {
            log.write(EventKind::Lifecycle, detail::syncPart, "dependency-lost",
                      {{"dependency", "platform"}, {"why", why}});
            peerTimer = loop.every(detail::peerPeriod, [this] { askRandomPeer(); });
            return;
        }
        log.write(EventKind::Lifecycle, detail::syncPart, "dependency-regained",
                  {{"dependency", "platform"}});
        peerTimer = Timer();
        directory.restartGrace(now(SteadyClock()));
        // A long poll from before may hang on a path that was lost.
        if (std::exchange(wasEverReachable, true)) {
            operatorWatch.isListed = false;
            ownWatch.isListed = false;
            followLater(operatorWatch, Milliseconds(0));
            followLater(ownWatch, Milliseconds(0));
        }
    }

    void apply(Watch &watch, const WatchAnswer &answer)
    {
        if (&watch == &operatorWatch)
            applyOperator(answer);
        else
            applyOwn(answer);
    }

    void applyOperator(const WatchAnswer &answer)
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
        log.write(EventKind::Belief, detail::syncPart, "configuration-in-force",
                  {{"revision", (*table)->revision().value()},
                   {"before", held.value()},
                   {"routes", (*table)->size()},
                   {"source", source}});
        configuration = *table;
        configurationBytes = bytes;
        handlers.onConfiguration(configuration);
    }

    void applyOwn(const WatchAnswer &answer)
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
        if (answer.isWhole) {
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
        if (isChanged || answer.isWhole)
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
        log.write(EventKind::Belief, detail::syncPart, "host-listed",
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
        log.write(EventKind::Belief, detail::syncPart, "host-absent", {{"node", node->toString()}});
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
        log.write(EventKind::Belief, detail::syncPart, "move-record",
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
                isChanged |= isReachable ? false : directory.putFromPeer(*host, now(SteadyClock()));
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
        platform.put(key, encodeVersionMove(move), Expected{expected}, std::nullopt,
                     [this, move, key](Result<ModRevision> written) {
                         log.write(EventKind::Belief, detail::syncPart, "move-written",
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
    impl_->follow(impl_->operatorWatch);
    impl_->follow(impl_->ownWatch);
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
    return impl_->isReachable;
}

const HostDirectory &FleetSync::directory() const
{
    return impl_->directory;
}

const std::shared_ptr<const RouteTable> &FleetSync::configuration() const
{
    return impl_->configuration;
}

void FleetSync::removeGone(const std::function<bool(const Address &)> &answeredLately)
{
    // While nothing is heard of the service, absence says nothing.
    if (impl_->isReachable && impl_->directory.removeGone(now(SteadyClock()), answeredLately))
        impl_->handlers.onHosts();
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
