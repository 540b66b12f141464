// Implements the node beside a backend server.
#include "cornelhead/sidecar/sidecar.h"

#include <array>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <set>

#include <event2/http.h>
#include <nlohmann/json.hpp>

#include "cornelhead/base/event-log.h"
#include "cornelhead/base/random.h"
#include "cornelhead/membership/relay-choice.h"
#include "cornelhead/proxy/counters.h"
#include "cornelhead/proxy/listener.h"
#include "cornelhead/proxy/request-head.h"
#include "cornelhead/sidecar/caller-listener.h"
#include "cornelhead/sidecar/change-feed.h"
#include "cornelhead/sidecar/exchange.h"
#include "cornelhead/sidecar/fleet-sync.h"
#include "cornelhead/sidecar/inbound-proxy.h"
#include "cornelhead/sidecar/outbound-proxy.h"
#include "cornelhead/sidecar/quota-sync.h"

namespace cornelhead {
namespace detail {

constexpr const char *nodePart = "node";
constexpr const char *metricsPath = "/metrics";
constexpr const char *peerDeathsPath = "/cornelhead/deaths";
constexpr const char *peerResponsesPath = "/cornelhead/responses";
constexpr const char *peerReportPath = "/cornelhead/report";
constexpr Milliseconds sweepInterval(250);
/// Interval of checking whether to write the next step of a move; a bad version must be stopped
/// within seconds.
constexpr Milliseconds moveInterval(200);
/// A record that has not come back after this time was not written.
constexpr Milliseconds rewriteDelay(1500);
/// While a move is judged, the nodes that may step it request the counters of the service's servers
/// at this interval.  It is part of the five seconds from a bad version's fiftieth bad response
/// until it is stopped.
constexpr Milliseconds reportInterval(700);
/// Nodes that request reports: the one that steps moves, and the next in line.
constexpr std::uint32_t maxReportRequesters = 2;
/// Servers of the old version that are asked for reports; the new version is compared with their
/// mean.
constexpr std::size_t maxOldServersAsked = 8;
constexpr Milliseconds probeInterval(500);
constexpr Milliseconds flushInterval(100);
/// Responses that clear suspected deaths are collected for this long, so that nodes that get them
/// at the same time send few notices.
constexpr Milliseconds noticeInterval(100);
constexpr Milliseconds peerTimeout(500);
/// A host that answered within this time is alive, even if the store does not list it.
constexpr Milliseconds recentAnswerTime(2000);
/// A host whose backoff has ended is no home of quotas for this much longer.
constexpr Milliseconds suspectTime(3000);
/// Callers check readiness once a second and leave after two failed checks.
constexpr Milliseconds callerDrainTime(2600);
/// A stopping node still forwards calls of other nodes to its server for this long, so that they
/// end before the process does.
constexpr Milliseconds serverDrainTime(1800);
/// Kept between the end of this process and the moment at which it would be killed.
constexpr Milliseconds stopMargin(250);
/// Time to send the last responses before the process ends.
constexpr Milliseconds finalFlushTime(60);
/// Share of the memory limit that buffered bytes may take; the rest is for the fleet's state and
/// for what the allocator keeps.
constexpr std::uint64_t bufferShare = 4;
constexpr std::uint64_t bytesPerMb = 1024 * 1024;
constexpr int statusOk = 200;
constexpr int statusNotFound = 404;
constexpr int statusUnavailable = 503;
constexpr int statusBadRequest = 400;

nlohmann::json renderDeaths(const std::vector<SuspectedDeath> &deaths)
{
    nlohmann::json list = nlohmann::json::array();
    for (const SuspectedDeath &death : deaths) {
        list.push_back({{"request", death.request.value()},
                        {"server", death.server.value()},
                        {"startedAgoUs", death.startedAgo.count()},
                        {"brokeAgoUs", death.brokeAgo.count()}});
    }
    return list;
}

std::vector<EventField> moveStepFields(const VersionMove &next, const VersionMoveWatcher &move)
{
    const VersionCounts newer = move.evidenceOf(true);
    const VersionCounts older = move.evidenceOf(false);
    return {{"service", next.service.value()}, {"target", next.target.value()},
            {"perMille", next.perMille},       {"state", static_cast<int>(next.state)},
            {"verdict", move.verdict()},       {"newAnswers", newer.answers},
            {"newFailures", newer.failures},   {"newTimed", newer.timed},
            {"newLate", newer.late},           {"newMeanWork", newer.meanWork()},
            {"newCold", newer.cold},           {"newCutOff", newer.cutOff},
            {"newRefused", newer.refused},     {"oldAnswers", older.answers},
            {"oldFailures", older.failures},   {"oldTimed", older.timed},
            {"oldLate", older.late},           {"oldMeanWork", older.meanWork()},
            {"oldCold", older.cold},           {"oldCutOff", older.cutOff},
            {"oldRefused", older.refused}};
}

std::vector<SuspectedDeath> readDeaths(std::string_view text)
{
    std::vector<SuspectedDeath> deaths;
    for (const auto &entry : nlohmann::json::parse(text)) {
        deaths.push_back(SuspectedDeath{Fingerprint(entry.at("request").get<std::uint64_t>()),
                                        ServerId(entry.at("server").get<std::string>()),
                                        Microseconds(entry.at("startedAgoUs").get<std::int64_t>()),
                                        Microseconds(entry.at("brokeAgoUs").get<std::int64_t>()),
                                        peerTimeout});
    }
    return deaths;
}

std::vector<Fingerprint> readFingerprints(std::string_view text)
{
    std::vector<Fingerprint> requests;
    for (const auto &entry : nlohmann::json::parse(text))
        requests.emplace_back(entry.get<std::uint64_t>());
    return requests;
}

// Returns a short id, as every call carries it; it must be unique among the runs of one address.
NodeId newRunId(std::uint64_t seed)
{
    constexpr int idDigits = 8;
    std::array<char, 17> text{};
    std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(seed));
    return NodeId(std::string(text.data(), idDigits));
}

} // namespace detail

struct Sidecar::Impl
{
    EventLoop &loop;
    const SidecarSettings settings;
    const Dialect dialect;
    const NodeId run;
    Metrics metrics;
    EventLog log;
    LocalServer local;
    PoisonTracker poison;
    // Requests that got a response here after a suspected death, for the next notice.
    std::set<Fingerprint> clearedRequests;
    std::map<ServiceId, VersionMoveWatcher> moves;
    std::map<ServiceId, ModRevision> moveRevisions;
    FleetSync fleet;
    // Declared before the proxies, which still answer requests while they are destroyed: the
    // listeners own these requests.
    detail::ProxyCounters listenerCounters;
    detail::CallerListener outboundListener;
    detail::Listener inboundListener;
    // Declared before the proxies, whose calls use it.
    QuotaSync quotas;
    detail::InboundProxy inboundProxy;
    detail::OutboundProxy outboundProxy;
    HttpServer readinessServer;
    HttpServer controlServer;
    HttpClient peers;
    std::vector<Timer> timers;
    Timer stopTimer;
    std::function<void()> onStopped;
    TimePoint stoppingSince{};
    bool isStopping = false;
    // The stopping node no longer forwards calls to its server.
    bool isServerClosed = false;
    bool wasReady = false;
    bool isPublished = false;

    Impl(EventLoop &eventLoop, SidecarSettings nodeSettings, Dialect deploymentDialect)
        : loop(eventLoop), settings(std::move(nodeSettings)), dialect(std::move(deploymentDialect)),
          run(detail::newRunId(randomSeed())), log(metrics),
          fleet(loop, dialect, settings.platform, settings.inbound, settings.dataCentre, metrics,
                log, settings.seed + 1, fleetHandlers()),
          listenerCounters(metrics),
          outboundListener(loop, listenerCounters, metrics, settings.requestsAhead,
                           [this](detail::IncomingRequest request) {
                               outboundProxy.serve(std::move(request));
                           }),
          inboundListener(loop, listenerCounters,
                          [this](evhttp_request *request) { servePeer(request); }),
          quotas(loop, settings.inbound, settings.seed + 3, metrics, log, quotaHandlers()),
          inboundProxy(loop, dialect, run, settings.server, local, poison, metrics, log,
                       inboundHandlers()),
          outboundProxy(loop, dialect, outboundSettings(), poison, metrics, log,
                        outboundHandlers()),
          readinessServer(loop, {}), controlServer(loop, {}), peers(loop)
    {
        limitBuffers();
        if (this->settings.returningFirst)
            inboundProxy.setReturningFirst();
        inboundProxy.setLink(LinkSpeed::fromMbps(settings.linkMbps));
        readinessServer.setHandler([this](const HttpRequest &request, const Responder &responder) {
            responder.send(respondToReadiness(request));
        });
        controlServer.setHandler([this](const HttpRequest &request, const Responder &responder) {
            responder.send(handleServerMessage(request));
        });
    }

    // The followers' requests belong to the listeners, which are destroyed before `fleet`.
    ~Impl()
    {
        loop.buffers().onEviction(nullptr);
        fleet.closeFollowers();
    }
    Impl(const Impl &) = delete;
    Impl &operator=(const Impl &) = delete;

    void limitBuffers()
    {
        loop.buffers().setLimit(settings.memoryMb * detail::bytesPerMb / detail::bufferShare);
        loop.buffers().onEviction([this](const BufferBudget::Eviction &eviction) {
            metrics.counter("cornelhead_buffer_evictions_total").add();
            log.write(EventKind::Failure, detail::nodePart, "buffers-evicted",
                      {{"bytes", eviction.bytes},
                       {"isControl", eviction.use == BufferUse::Control},
                       {"limit", loop.buffers().limit()}});
        });
    }

    FleetHandlers fleetHandlers()
    {
        FleetHandlers handlers;
        handlers.onConfiguration = [this](std::shared_ptr<const RouteTable> table) {
            outboundProxy.setConfiguration(std::move(table));
        };
        handlers.onHosts = [this] { applyHosts(); };
        handlers.onMoveOrder = [this](const VersionMoveOrder &order) {
            moves[order.service].observeOrder(order, now(SteadyClock()));
        };
        handlers.onMoveRecord = [this](const VersionMove &record, ModRevision revision) {
            moves[record.service].observeRecord(record, now(SteadyClock()));
            moveRevisions[record.service] = std::max(moveRevisions[record.service], revision);
        };
        handlers.onStoreRestored = [this] { moveRevisions.clear(); };
        return handlers;
    }

    detail::InboundHandlers inboundHandlers()
    {
        detail::InboundHandlers handlers;
        handlers.onServerChanged = [this] { publishEntry(); };
        handlers.onDeaths
                = [this](const std::vector<SuspectedDeath> &deaths) { broadcastDeaths(deaths); };
        handlers.onSuspicionCleared
                = [this](Fingerprint request) { clearedRequests.insert(request); };
        handlers.onCallCancelled
                = [this](const std::string &id) { outboundProxy.cancelNestedCalls(id); };
        handlers.configurationRevision = [this] {
            return fleet.configuration() ? fleet.configuration()->revision() : Revision();
        };
        return handlers;
    }

    detail::OutboundSettings outboundSettings() const
    {
        return detail::OutboundSettings{
                settings.dataCentre,     settings.service,
                settings.retryRatio,     settings.retryWindow,
                settings.seed + 2,       settings.departure,
                settings.returningFirst, LinkSpeed::fromMbps(settings.linkMbps)};
    }

    detail::OutboundHandlers outboundHandlers()
    {
        detail::OutboundHandlers handlers;
        handlers.findMove = [this](const ServiceId &service) {
            const auto move = moves.find(service);
            return move == moves.end() ? nullptr : &move->second;
        };
        handlers.onPeerRevision = [this](const Address &peer, Revision revision) {
            fleet.observePeerRevision(peer, revision);
        };
        handlers.isRunningHere
                = [this](const std::string &id) { return inboundProxy.isRunning(id); };
        handlers.isCancelledHere
                = [this](const std::string &id) { return inboundProxy.wasCancelled(id); };
        handlers.admit = [this](const HostCustomer &customer, QuotaSync::Decision decide) {
            quotas.admit(customer, std::move(decide));
        };
        handlers.returnQuota = [this](const CustomerId &customer) { quotas.putBack(customer); };
        return handlers;
    }

    QuotaHandlers quotaHandlers()
    {
        QuotaHandlers handlers;
        handlers.configuration = [this] { return fleet.configuration().get(); };
        handlers.isFleetKnown = [this] { return fleet.isComplete(); };
        handlers.fleetSize = [this] { return fleet.directory().hosts().size(); };
        handlers.nodes = [this] {
            std::vector<QuotaNode> nodes;
            const TimePoint time = now(SteadyClock());
            for (const auto &[node, known] : fleet.directory().hosts()) {
                const Placement::Host host = outboundProxy.placement().find(node);
                // A host that gets no calls would stay suspect for ever.
                const bool isSuspect = host && host->consecutiveFailures > 0
                        && time < host->backoffUntil + detail::suspectTime;
                const bool isOwnStop = isStopping && node == settings.inbound;
                if (!known.entry.isStopping)
                    nodes.push_back(QuotaNode{node, isSuspect || isOwnStop, known.entry.followers});
            }
            return nodes;
        };
        return handlers;
    }

    void applyHosts()
    {
        // Adopts the server that an earlier run of this node published, as it may still run.
        const HostDirectory::Record *own = fleet.directory().find(settings.inbound);
        if (own && own->entry.run != run && own->entry.server && local.adopt(*own->entry.server)) {
            log.write(EventKind::StateChange, detail::nodePart, "server-adopted",
                      {{"server", own->entry.server->id.value()}});
            inboundProxy.refresh();
            probeServer();
        }
        outboundProxy.setHosts(fleet.directory().hosts());
        // Not earlier, as the entry of the earlier run must be read before it is replaced.
        if (!std::exchange(isPublished, true))
            publishEntry();
    }

    void publishEntry()
    {
        HostEntry own;
        own.node = settings.inbound;
        own.run = run;
        own.dataCentre = settings.dataCentre;
        own.server = local.published();
        own.isStopping = isServerClosed;
        own.followers = maxFollowersForLink(settings.linkMbps);
        fleet.publish(own);
    }

    HttpResponse respondToReadiness(const HttpRequest &request)
    {
        if (request.path == detail::metricsPath)
            return HttpResponse{
                    detail::statusOk, {{"Content-Type", "text/plain"}}, metrics.render()};
        if (request.path != dialect.readinessPath)
            return HttpResponse{detail::statusNotFound, {}, {}};
        const bool isReady = fleet.isComplete() && !isStopping;
        if (std::exchange(wasReady, isReady) != isReady) {
            log.write(EventKind::Lifecycle, detail::nodePart, isReady ? "ready" : "not-ready",
                      {{"stopping", isStopping},
                       {"configuration", static_cast<bool>(fleet.configuration())}});
        }
        return HttpResponse{isReady ? detail::statusOk : detail::statusUnavailable, {}, {}};
    }

    HttpResponse handleServerMessage(const HttpRequest &request)
    {
        Result<ServerMessage> message = dialect.readServerMessage(request);
        if (!message) {
            const bool isUnknown = message.error().kind == ErrorKind::NotFound;
            log.write(EventKind::Failure, detail::nodePart, "server-message-refused",
                      {{"path", request.path}, {"why", message.error().describe()}});
            return HttpResponse{isUnknown ? detail::statusNotFound : detail::statusBadRequest,
                                {},
                                message.error().describe()};
        }
        if (auto *departure = std::get_if<ServerDeparture>(&*message))
            departure->receivedAtMs = wallClockMs();
        const auto verdict = std::visit(
                [this](const auto &content) { return local.apply(content); }, *message);
        const auto *announcement = std::get_if<ServerAnnouncement>(&*message);
        if (announcement && verdict != LocalServer::UpdateResult::Stale)
            inboundProxy.observeHeartbeat(*announcement);
        if (verdict == LocalServer::UpdateResult::Changed) {
            logServer();
            inboundProxy.refresh();
            publishEntry();
        }
        return dialect.renderAcknowledgement();
    }

    void logServer()
    {
        const auto server = local.published();
        log.write(EventKind::StateChange, detail::nodePart, "server-announced",
                  {{"server", server ? server->id.value() : ""},
                   {"service", server ? server->service.value() : ""},
                   {"version", server ? server->version.value() : ""},
                   {"draining", server && server->state == ServerState::Draining}});
    }

    void servePeer(evhttp_request *request)
    {
        const evkeyvalq *headers = evhttp_request_get_input_headers(request);
        if (!detail::findHeader(headers, hopRequestHeader).empty()) {
            inboundProxy.serve(request);
            return;
        }
        if (!detail::findHeader(headers, offerHeader).empty()) {
            inboundProxy.serveOffer(request);
            return;
        }
        if (detail::findRequestFault(headers, {})) {
            detail::Exchange malformed(loop, request);
            malformed.closeAfterResponse();
            malformed.send(detail::LocalResponse{detail::statusBadRequest, {}, {}});
            return;
        }
        const evhttp_uri *uri = evhttp_request_get_evhttp_uri(request);
        const std::string path = uri && evhttp_uri_get_path(uri) ? evhttp_uri_get_path(uri) : "";
        if (path == changeFeedPath) {
            fleet.serveFollower(request);
            return;
        }
        detail::Exchange exchange(loop, request);
        if (path == peerStatePath)
            exchange.send(detail::LocalResponse{
                    detail::statusOk, {}, fleet.renderState(heldRevision(uri))});
        else if (path == detail::peerReportPath)
            exchange.send(detail::LocalResponse{
                    detail::statusOk, {}, encodeHopResponse(inboundProxy.report())});
        else if (path == quotaPath)
            exchange.send(quotas.serve(detail::bodyOf(request)));
        else if (path == detail::peerDeathsPath)
            exchange.send(handleNotice([this, request] {
                recordDeaths(detail::readDeaths(detail::bodyOf(request)));
            }));
        else if (path == detail::peerResponsesPath)
            exchange.send(handleNotice([this, request] {
                recordResponses(detail::readFingerprints(detail::bodyOf(request)));
            }));
        else
            exchange.send(detail::LocalResponse{detail::statusNotFound, {}, {}});
    }

    // A query that is not a number requests the whole state.
    static Revision heldRevision(const evhttp_uri *uri)
    {
        const char *query = evhttp_uri_get_query(uri);
        return Revision(query ? std::strtoull(query, nullptr, 10) : 0);
    }

    /// Applies a notice of another node, which `apply` reads.
    detail::LocalResponse handleNotice(const std::function<void()> &apply)
    {
        try {
            apply();
            return detail::LocalResponse{detail::statusOk, {}, {}};
        } catch (const nlohmann::json::exception &error) {
            log.write(EventKind::Failure, detail::nodePart, "notice-refused",
                      {{"why", error.what()}});
            return detail::LocalResponse{detail::statusBadRequest, {}, {}};
        }
    }

    void recordDeaths(const std::vector<SuspectedDeath> &deaths)
    {
        for (const SuspectedDeath &death : deaths) {
            if (poison.recordDeath(death, now(SteadyClock()))) {
                log.write(
                        EventKind::StateChange, detail::nodePart, "request-poisonous",
                        {{"fingerprint", death.request.value()}, {"server", death.server.value()}});
            }
        }
    }

    void recordResponses(const std::vector<Fingerprint> &requests)
    {
        for (const Fingerprint request : requests) {
            poison.recordResponseNotice(request, now(SteadyClock()));
            clearedRequests.erase(request);
        }
    }

    void broadcastDeaths(const std::vector<SuspectedDeath> &deaths)
    {
        recordDeaths(deaths);
        broadcast(detail::peerDeathsPath, detail::renderDeaths(deaths));
    }

    void broadcastResponses()
    {
        if (clearedRequests.empty())
            return;
        nlohmann::json notice = nlohmann::json::array();
        for (const Fingerprint request : std::exchange(clearedRequests, {})) {
            log.write(EventKind::StateChange, detail::nodePart, "request-cleared",
                      {{"fingerprint", request.value()}});
            notice.push_back(request.value());
        }
        broadcast(detail::peerResponsesPath, notice);
    }

    /// Notifies all other nodes.
    void broadcast(const char *path, const nlohmann::json &notice)
    {
        const HttpRequest request{HttpMethod::Post, path, {}, {}, notice.dump()};
        for (const auto &[node, known] : fleet.directory().hosts()) {
            if (node == settings.inbound)
                continue;
            peers.send(node, request, detail::peerTimeout,
                       [this, path, peer = node](const Result<HttpResponse> &response) {
                           if (!response) {
                               log.write(EventKind::Failure, detail::nodePart, "notice-unsent",
                                         {{"node", peer.toString()},
                                          {"path", path},
                                          {"why", response.error().describe()}});
                           }
                       });
        }
    }

    void probeServer()
    {
        if (!fleet.configuration())
            return;
        const HostService *service = fleet.configuration()->findService(settings.service);
        if (service)
            inboundProxy.probe(service->healthPath);
    }

    void sweep()
    {
        inboundProxy.sweep();
        outboundProxy.sweep();
        metrics.gauge("cornelhead_buffered_bytes")
                .set(static_cast<std::int64_t>(loop.buffers().held()));
        outboundListener.sweep();
        inboundListener.sweep();
        const TimePoint time = now(SteadyClock());
        fleet.sweep([this, time](const Address &node) {
            const Placement::Host host = outboundProxy.placement().find(node);
            return host && time - host->lastResponseAt < detail::recentAnswerTime;
        });
    }

    // Number of live hosts with lower addresses, which come first in stepping moves.
    std::uint32_t rank() const
    {
        std::uint32_t before = 0;
        for (const auto &[node, known] : fleet.directory().hosts()) {
            if (node == settings.inbound)
                break;
            before += known.entry.isStopping || known.absentSince ? 0 : 1;
        }
        return before;
    }

    void advanceMoves()
    {
        if (!fleet.isStoreReachable() || isStopping)
            return;
        for (auto &[service, move] : moves) {
            if (!move.order())
                continue;
            const std::size_t targetHosts
                    = outboundProxy.placement().countServers(service, move.order()->target);
            const auto next = move.next(rank(), targetHosts, now(SteadyClock()));
            const TimePoint time = now(SteadyClock());
            PendingMove &pending = pendingMoves[service];
            if (!next || (pending.move == *next && time - pending.writtenAt < detail::rewriteDelay))
                continue;
            pending = PendingMove{*next, time};
            log.write(EventKind::StateChange, detail::nodePart, "move-step",
                      detail::moveStepFields(*next, move));
            fleet.writeMove(*next, moveRevisions[service]);
        }
    }

    void requestReports()
    {
        if (isStopping || rank() >= detail::maxReportRequesters)
            return;
        for (const auto &[service, move] : moves) {
            if (!move.isJudged())
                continue;
            std::size_t oldAsked = 0;
            for (const Placement::Host &host : outboundProxy.placement().hostsOf(service)) {
                const bool isTarget = host->entry.server->version == move.order()->target;
                if (isTarget || oldAsked++ < detail::maxOldServersAsked)
                    requestReport(host->entry.node);
            }
        }
    }

    void requestReport(const Address &node)
    {
        const HttpRequest request{HttpMethod::Get, detail::peerReportPath, {}, {}, {}};
        peers.send(node, request, detail::peerTimeout,
                   [this, node](const Result<HttpResponse> &response) {
                       const Result<HopResponse> report = response
                               ? decodeHopResponse(response->body)
                               : Result<HopResponse>(tl::unexpected(response.error()));
                       if (report)
                           outboundProxy.onPeerReport(node, *report);
                       else
                           log.write(
                                   EventKind::Failure, detail::nodePart, "report-unread",
                                   {{"node", node.toString()}, {"why", report.error().describe()}});
                   });
    }

    // The last record written for each move, so that a step is not written again while its response
    // and the change are on their way.
    struct PendingMove
    {
        VersionMove move;
        TimePoint writtenAt{};
    };
    std::map<ServiceId, PendingMove> pendingMoves;

    void startTimers()
    {
        timers.push_back(loop.every(detail::sweepInterval, [this] { sweep(); }));
        timers.push_back(loop.every(detail::moveInterval, [this] { advanceMoves(); }));
        timers.push_back(loop.every(detail::reportInterval, [this] { requestReports(); }));
        timers.push_back(loop.every(detail::probeInterval, [this] { probeServer(); }));
        timers.push_back(loop.every(detail::noticeInterval, [this] { broadcastResponses(); }));
        timers.push_back(loop.every(detail::flushInterval, [this] { log.flush(); }));
    }

    void pollStop()
    {
        const auto elapsed = now(SteadyClock()) - stoppingSince;
        if (elapsed > detail::serverDrainTime && !std::exchange(isServerClosed, true)) {
            inboundProxy.stop();
            publishEntry();
        }
        const bool isIdle = outboundProxy.active() == 0 && inboundProxy.active() == 0;
        const bool mustEnd = elapsed > settings.stopTimeout - detail::stopMargin;
        if (!mustEnd && (!isIdle || elapsed < detail::callerDrainTime))
            return;
        log.write(EventKind::Lifecycle, detail::nodePart, "stopped",
                  {{"callsLeft", outboundProxy.active() + inboundProxy.active()}});
        log.flush();
        // While the server lives, the host entry stays until its lease expires, so that the next
        // run finds the server.
        if (local.hasLeft())
            fleet.retract();
        // Calls that arrive from now on are refused, so that the end of the process cuts none off.
        const TimePoint time = now(SteadyClock());
        outboundProxy.stop({time, time});
        outboundListener.stopListening();
        stopTimer = loop.after(detail::finalFlushTime, [this] { onStopped(); });
    }
};

Sidecar::Sidecar(EventLoop &loop, SidecarSettings settings, Dialect dialect)
    : impl_(std::make_unique<Impl>(loop, std::move(settings), std::move(dialect)))
{ }

Sidecar::~Sidecar() = default;

Result<void> Sidecar::start()
{
    const SidecarSettings &settings = impl_->settings;
    Result<void> started = impl_->outboundListener.listen(settings.outbound);
    if (started)
        started = impl_->inboundListener.listen(settings.inbound, false);
    if (started)
        started = impl_->readinessServer.listen(settings.readiness);
    if (started)
        started = impl_->controlServer.listen(settings.control);
    if (!started)
        return started;
    impl_->log.write(EventKind::Lifecycle, detail::nodePart, "started",
                     {{"run", impl_->run.value()},
                      {"dataCentre", settings.dataCentre.value()},
                      {"service", settings.service.value()},
                      {"seed", settings.seed}});
    impl_->fleet.start();
    impl_->startTimers();
    impl_->quotas.start();
    return {};
}

void Sidecar::stop(std::function<void()> done)
{
    if (std::exchange(impl_->isStopping, true))
        return;
    impl_->log.write(EventKind::Lifecycle, detail::nodePart, "stopping", {});
    impl_->onStopped = std::move(done);
    impl_->stoppingSince = now(SteadyClock());
    impl_->fleet.stop();
    impl_->quotas.stop();
    impl_->outboundProxy.stop(
            {impl_->stoppingSince + detail::callerDrainTime,
             impl_->stoppingSince + impl_->settings.stopTimeout - detail::stopMargin});
    constexpr Milliseconds pollInterval(50);
    impl_->outboundListener.closeConnectionsWhenIdle();
    impl_->stopTimer = impl_->loop.every(pollInterval, [this] { impl_->pollStop(); });
}

void Sidecar::reload()
{
    impl_->log.write(EventKind::Lifecycle, detail::nodePart, "reload-asked",
                     {{"effect", "none: settings are flags"}});
}

} // namespace cornelhead
