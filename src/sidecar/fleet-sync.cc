// Implements the node's view of the fleet.
#include "cornelhead/sidecar/fleet-sync.h"

#include <nlohmann/json.hpp>

#include "cornelhead/membership/relay-choice.h"
#include "cornelhead/sidecar/host-entry-publisher.h"
#include "cornelhead/sidecar/store-follower.h"

namespace cornelhead {
namespace detail {

constexpr const char *syncPart = "fleet";
constexpr const char *fleetPrefix = "cornelhead/";
constexpr const char *hostPrefix = "cornelhead/hosts/";
constexpr const char *movePrefix = "cornelhead/moves/";

/// The store answers within milliseconds, or some hundreds of them when it is slow.
constexpr Milliseconds callTimeout(1000);
/// The store allows a few hundred calls per second over all nodes, which all retry at once after an
/// outage.
constexpr Milliseconds statusRetryDelay(300);
/// Renewals cost a tenth of a call.  With this period a lease of six seconds survives two lost
/// renewals.
constexpr Milliseconds defaultRenewPeriod(1700);
/// Followers must detect within a second that their relay lost the store.
constexpr Milliseconds relayRenewPeriod(600);
/// While the store is unreachable, every call to it is paid for in full.  The nodes that follow it
/// directly detect its return soon, and the others when changes arrive from their relay again, but
/// within two seconds in any case.
constexpr Milliseconds relayProbePeriod(500);
constexpr Milliseconds followerProbePeriod(1500);
/// While no changes arrive, another node is queried for its state at this period.
constexpr Milliseconds peerQueryPeriod(500);
constexpr Milliseconds peerTimeout(400);
constexpr Milliseconds peerConnectTimeout(250);
/// A large configuration takes a slow link seconds.
constexpr Milliseconds longestPeerResponse(5000);
/// Share of these queries that go to any data centre, in case this node's own is cut off entirely.
constexpr double anyDataCentreShare = 0.2;
/// The store or relay should deliver a revision that another node holds within this time.
constexpr Milliseconds newerRevisionDelay(400);

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
    DataCentreId dataCentre;
    EventLog &log;
    Random random;
    FleetHandlers handlers;
    PlatformClient platform;
    HttpClient peers;
    detail::StoreFollower follower;
    detail::HostEntryPublisher publisher;
    HostDirectory directory;
    std::shared_ptr<const RouteTable> configuration;
    std::string configurationBytes;
    // Orders and records of moves by key, as stored; sent to other nodes on request.
    std::map<std::string, KeyValue> moveOrders;
    std::map<std::string, KeyValue> moveRecords;

    Timer peerTimer;
    Timer newerRevisionTimer;
    Address newerRevisionPeer;
    Revision newerRevision;

    Impl(EventLoop &eventLoop, const Dialect &deploymentDialect, const Address &platformAddress,
         const Address &ownAddress, DataCentreId ownDataCentre, Metrics &metrics,
         EventLog &eventLog, std::uint64_t seed, FleetHandlers fleetHandlers)
        : loop(eventLoop), dialect(deploymentDialect), self(ownAddress),
          dataCentre(std::move(ownDataCentre)), log(eventLog), random(seed),
          handlers(std::move(fleetHandlers)),
          platform(loop, {platformAddress}, detail::callTimeout, metrics, deploymentDialect.store),
          peers(loop), follower(loop, platform, deploymentDialect.operatorPrefix,
                                detail::fleetPrefix, log, seed + 1, followerHandlers()),
          publisher(loop, platform, detail::hostPrefix + ownAddress.toString(), log,
                    [this](bool isReachable, const std::string &error) {
                        follower.setReachable(isReachable, error);
                    })
    {
        platform.setEraHandler([this](StoreEra before, StoreEra after) {
            log.write(EventKind::Lifecycle, detail::syncPart, "store-era",
                      {{"era", after.value()}, {"before", before.value()}});
            if (before == StoreEra())
                return;
            handlers.onStoreRestored();
            follower.onStoreRestored();
            publisher.renewNow();
        });
    }

    detail::FollowerHandlers followerHandlers()
    {
        detail::FollowerHandlers result;
        result.onResponse = [this](Subtree subtree, const WatchResponse &response) {
            platform.observeEra(eraOf(response.storeRevision));
            if (subtree == Subtree::Operators)
                applyOperatorChanges(response);
            else
                applyFleetChanges(response);
        };
        result.chooseRelay = [this](const std::set<Address> &avoided) {
            return chooseRelay(self, dataCentre, directory.hosts(), avoided);
        };
        result.chooseFirstRelay = [this](const Listing &listing) { return firstRelay(listing); };
        result.checkStore = [this] { publisher.renewNow(); };
        result.onCurrent = [this](bool isCurrent) { onCurrentChanged(isCurrent); };
        return result;
    }

    // The listing may be seconds old, so its hosts get no calls; a relay or the store lists them.
    std::optional<Address> firstRelay(const Listing &listing)
    {
        HostDirectory listed;
        for (const KeyValue &entry : listing.entries) {
            if (const auto host = readHost(entry))
                listed.put(*host);
        }
        return chooseRelay(self, dataCentre, listed.hosts(), {});
    }

    void onCurrentChanged(bool isCurrent)
    {
        if (isCurrent) {
            peerTimer = Timer();
            if (!follower.isReachable())
                publisher.renewNow();
            directory.restartGracePeriods(now(SteadyClock()));
        } else {
            peerTimer = loop.every(detail::peerQueryPeriod, [this] { queryRandomPeer(); });
        }
    }

    void applyOperatorChanges(const WatchResponse &response)
    {
        // A series of changes holds every version of a key; only the last one counts.
        std::map<std::string_view, const KeyValue *> newestEntries;
        for (const KeyValue &entry : response.changed)
            newestEntries[entry.key] = &entry;
        for (const auto &[key, newest] : newestEntries) {
            const KeyValue &entry = *newest;
            if (entry.key == dialect.configurationKey)
                applyConfiguration(entry.value, "platform");
            else if (dialect.isMoveOrder(entry.key))
                applyMoveOrder(entry);
        }
    }

    void applyMoveOrder(const KeyValue &entry)
    {
        const Result<VersionMoveOrder> order = dialect.readMoveOrder(entry);
        if (!order) {
            log.write(EventKind::Failure, detail::syncPart, "move-order-refused",
                      {{"key", entry.key}, {"why", order.error().describe()}});
            return;
        }
        moveOrders.insert_or_assign(entry.key, entry);
        handlers.onMoveOrder(*order);
    }

    void applyConfiguration(const std::string &bytes, std::string_view source)
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

    void applyFleetChanges(const WatchResponse &response)
    {
        const TimePoint time = now(SteadyClock());
        std::vector<HostEntry> hosts;
        std::optional<KeyValue> ownEntry;
        for (const KeyValue &entry : response.changed) {
            if (detail::startsWith(entry.key, detail::movePrefix))
                applyMoveRecord(entry);
            else if (const auto host = readHost(entry))
                hosts.push_back(*host);
        }
        bool isChanged = false;
        if (response.isSnapshot) {
            isChanged = directory.replaceAll(hosts, time);
            checkOwnEntry(hosts);
        } else {
            for (const HostEntry &host : hosts) {
                isChanged |= putHost(host);
                if (host.node == self)
                    publisher.onListed(encodeHostEntry(host));
            }
            for (const std::string &key : response.removed)
                isChanged |= removeHost(key, time);
        }
        if (isChanged || response.isSnapshot)
            handlers.onHosts();
    }

    void checkOwnEntry(const std::vector<HostEntry> &hosts)
    {
        for (const HostEntry &host : hosts) {
            if (host.node == self) {
                publisher.onListed(encodeHostEntry(host));
                return;
            }
        }
        publisher.onRemoved();
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
                   {"why", host ? "the entry names another host" : host.error().describe()}});
        if (entry.key == detail::hostPrefix + self.toString())
            publisher.onRemoved();
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
            publisher.onRemoved();
        return directory.markAbsent(*node, time);
    }

    void applyMoveRecord(const KeyValue &entry)
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
        moveRecords.insert_or_assign(entry.key, entry);
        handlers.onMoveRecord(*move, entry.modRevision);
    }

    // Mostly queries nodes of this data centre, as a state is large and traffic between data
    // centres is expensive.
    void queryRandomPeer()
    {
        const HostDirectory::Record *own = directory.find(self);
        std::vector<Address> local;
        std::vector<Address> others;
        for (const auto &[node, known] : directory.hosts()) {
            if (node == self)
                continue;
            others.push_back(node);
            if (own && known.entry.dataCentre == own->entry.dataCentre)
                local.push_back(node);
        }
        const std::vector<Address> &candidates
                = local.empty() || random.chance(detail::anyDataCentreShare) ? others : local;
        if (!candidates.empty())
            queryPeer(candidates[random.below(candidates.size())]);
    }

    void queryPeer(const Address &peer)
    {
        const Revision held = configuration ? configuration->revision() : Revision();
        const HttpRequest request{HttpMethod::Get,
                                  peerStatePath + std::string("?") + std::to_string(held.value()),
                                  {},
                                  {},
                                  {}};
        const HttpTimeouts timeouts{detail::peerConnectTimeout, detail::peerTimeout,
                                    detail::peerTimeout, detail::longestPeerResponse};
        peers.send(peer, request, timeouts, [this, peer](Result<HttpResponse> response) {
            if (response && response->status == 200)
                applyPeerState(peer, response->body);
        });
    }

    void applyPeerState(const Address &peer, const std::string &body)
    {
        try {
            const auto json = nlohmann::json::parse(body);
            const auto bytes = json.at("configuration").get<std::string>();
            if (!bytes.empty() && bytes != configurationBytes)
                applyConfiguration(bytes, peer.toString());
            for (const auto &entry : json.at("orders"))
                applyMoveOrder(readEntry(entry));
            for (const auto &entry : json.at("moves"))
                applyMoveRecord(readEntry(entry));
            applyPeerHosts(json.at("hosts"));
        } catch (const nlohmann::json::exception &error) {
            log.write(EventKind::Failure, detail::syncPart, "peer-state-refused",
                      {{"node", peer.toString()}, {"why", error.what()}});
        }
    }

    void applyPeerHosts(const nlohmann::json &hosts)
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
                   {"orders", renderEntries(moveOrders)},
                   {"moves", renderEntries(moveRecords)},
                   {"hosts", std::move(hosts)}};
        return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    }

    void observePeerRevision(const Address &peer, Revision revision)
    {
        if (configuration && revision <= configuration->revision())
            return;
        if (revision <= newerRevision)
            return;
        // A series of newer revisions must not put the query off.
        const bool isWaiting = std::exchange(newerRevision, revision) != Revision();
        newerRevisionPeer = peer;
        if (isWaiting)
            return;
        newerRevisionTimer = loop.after(detail::newerRevisionDelay, [this] {
            if (!configuration || configuration->revision() < newerRevision)
                queryPeer(newerRevisionPeer);
            newerRevision = Revision();
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
                         applyMoveRecord(KeyValue{key, encodeVersionMove(move), *written});
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
                         statusTimer = loop.after(detail::statusRetryDelay,
                                                  [this, move] { writeStatus(move); });
                     });
    }

    Timer statusTimer;
};

FleetSync::FleetSync(EventLoop &loop, const Dialect &dialect, const Address &platform,
                     const Address &self, const DataCentreId &dataCentre, Metrics &metrics,
                     EventLog &log, std::uint64_t seed, FleetHandlers handlers)
    : impl_(std::make_unique<Impl>(loop, dialect, platform, self, dataCentre, metrics, log, seed,
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

void FleetSync::observePeerRevision(const Address &peer, Revision revision)
{
    impl_->observePeerRevision(peer, revision);
}

bool FleetSync::isComplete() const
{
    return impl_->configuration && !impl_->directory.hosts().empty();
}

bool FleetSync::isStoreReachable() const
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

void FleetSync::sweep(const std::function<bool(const Address &)> &answeredRecently)
{
    impl_->follower.sweep();
    impl_->publisher.setRenewPeriod(impl_->follower.feed().hasFollowers()
                                            ? detail::relayRenewPeriod
                                            : detail::defaultRenewPeriod);
    impl_->publisher.setProbePeriod(impl_->follower.isDirect() ? detail::relayProbePeriod
                                                               : detail::followerProbePeriod);
    // While no changes arrive, an entry's absence does not mean that the host is gone.
    if (impl_->follower.isCurrent()
        && impl_->directory.removeExpired(now(SteadyClock()), answeredRecently))
        impl_->handlers.onHosts();
}

void FleetSync::serveFollower(evhttp_request *request)
{
    impl_->follower.feed().serve(request);
}

void FleetSync::stop()
{
    impl_->follower.stop();
}

void FleetSync::retract()
{
    impl_->publisher.retract();
}

void FleetSync::closeFollowers()
{
    impl_->follower.feed().closePolls();
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
