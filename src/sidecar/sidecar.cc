// Joins the sides of a node.
#include "cornelhead/sidecar/sidecar.h"

#include <array>
#include <cstdio>
#include <cstdlib>
#include <map>

#include <event2/http.h>
#include <nlohmann/json.hpp>

#include "cornelhead/base/event-log.h"
#include "cornelhead/base/random.h"
#include "cornelhead/membership/relay-choice.h"
#include "cornelhead/proxy/counters.h"
#include "cornelhead/proxy/listener.h"
#include "cornelhead/proxy/request-head.h"
#include "cornelhead/sidecar/change-feed.h"
#include "cornelhead/sidecar/entry-side.h"
#include "cornelhead/sidecar/exchange.h"
#include "cornelhead/sidecar/fleet-sync.h"
#include "cornelhead/sidecar/serving-side.h"

namespace cornelhead {
namespace detail {

constexpr const char *nodePart = "node";
constexpr const char *metricsPath = "/metrics";
constexpr const char *peerDeathsPath = "/cornelhead/deaths";
constexpr const char *peerReportPath = "/cornelhead/report";
constexpr Milliseconds sweepTime(250);
/// A move's writes are considered this often; a bad version must be stopped within seconds.
constexpr Milliseconds moveTime(200);
/// While a move goes on, the nodes that may act on it ask the service's servers for their sums.  A
/// bad version is stopped within five seconds of its fiftieth bad answer, of which this is a part.
constexpr Milliseconds tallyTime(700);
/// Nodes that ask: the one that acts, and the one that acts if it does not.
constexpr std::uint32_t askingRanks = 2;
/// Servers of the old version that are asked; their mean is what the new one is compared with.
constexpr std::size_t mostOldAsked = 8;
constexpr Milliseconds probeTime(500);
constexpr Milliseconds flushTime(100);
constexpr Milliseconds peerTimeout(500);
/// A host that answered within this time is there, whatever the service lists.
constexpr Milliseconds answeredLately(2000);
/// Callers look at readiness once a second and leave after two misses.
constexpr Milliseconds callersLeave(2600);
/// Until then a stopping node still lends its server to other nodes, whose calls end meanwhile.
constexpr Milliseconds serverLent(1800);
/// Kept between the end of this process and the moment at which it is killed.
constexpr Milliseconds stopMargin(250);
/// The last answers leave within it.
constexpr Milliseconds lastAnswers(60);
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

std::vector<SuspectedDeath> readDeaths(std::string_view text)
{
    std::vector<SuspectedDeath> deaths;
    for (const auto &entry : nlohmann::json::parse(text)) {
        deaths.push_back(SuspectedDeath{Fingerprint(entry.at("request").get<std::uint64_t>()),
                                        ServerId(entry.at("server").get<std::string>()),
                                        Microseconds(entry.at("startedAgoUs").get<std::int64_t>()),
                                        Microseconds(entry.at("brokeAgoUs").get<std::int64_t>())});
    }
    return deaths;
}

// Short, as it travels with every call; unique enough among the runs of one address.
NodeId newRun(std::uint64_t seed)
{
    constexpr int shownDigits = 8;
    std::array<char, 17> text{};
    std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(seed));
    return NodeId(std::string(text.data(), shownDigits));
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
    PoisonBook poison;
    std::map<ServiceId, VersionMoveWatcher> moves;
    std::map<ServiceId, ModRevision> moveRevisions;
    FleetSync fleet;
    // The listeners own the requests that the sides still answer when they are destroyed.
    detail::ProxyCounters listenerCounters;
    detail::Listener outbound;
    detail::Listener inbound;
    detail::ServingSide serving;
    detail::EntrySide entry;
    HttpServer readiness;
    HttpServer control;
    HttpClient peers;
    std::vector<Timer> timers;
    Timer stopTimer;
    std::function<void()> onStopped;
    TimePoint stoppingSince{};
    bool isStopping = false;
    // The stopping node's server takes no more calls.
    bool isServerClosed = false;
    bool wasReady = false;
    bool isPublished = false;

    Impl(EventLoop &taskLoop, SidecarSettings nodeSettings, Dialect names)
        : loop(taskLoop), settings(std::move(nodeSettings)), dialect(std::move(names)),
          run(detail::newRun(randomSeed())), log(metrics),
          fleet(loop, dialect, settings.platform, settings.inbound, metrics, log, settings.seed + 1,
                fleetHandlers()),
          listenerCounters(metrics),
          outbound(loop, listenerCounters,
                   [this](evhttp_request *request) { entry.serve(request); }),
          inbound(loop, listenerCounters, [this](evhttp_request *request) { serveNode(request); }),
          serving(loop, dialect, run, settings.server, local, poison, metrics, log,
                  servingHandlers()),
          entry(loop, dialect, entrySettings(), poison, metrics, log, entryHandlers()),
          readiness(loop, {}), control(loop, {}), peers(loop)
    {
        readiness.setHandler([this](const HttpRequest &request, const Responder &responder) {
            responder.send(answerReadiness(request));
        });
        control.setHandler([this](const HttpRequest &request, const Responder &responder) {
            responder.send(takeServerMessage(request));
        });
    }

    // The listeners, which own the requests of followers, are destroyed before the view of the
    // fleet.
    ~Impl() { fleet.dropFollowers(); }
    Impl(const Impl &) = delete;
    Impl &operator=(const Impl &) = delete;

    FleetHandlers fleetHandlers()
    {
        FleetHandlers handlers;
        handlers.onConfiguration = [this](std::shared_ptr<const RouteTable> table) {
            entry.setConfiguration(std::move(table));
        };
        handlers.onHosts = [this] { takeHosts(); };
        handlers.onMoveOrder = [this](const VersionMoveOrder &order) {
            moves[order.service].observeOrder(order, now(SteadyClock()));
        };
        handlers.onMoveRecord = [this](const VersionMove &record, ModRevision revision) {
            moves[record.service].observeRecord(record, now(SteadyClock()));
            moveRevisions[record.service] = std::max(moveRevisions[record.service], revision);
        };
        return handlers;
    }

    detail::ServingHandlers servingHandlers()
    {
        detail::ServingHandlers handlers;
        handlers.onServerChanged = [this] { publishEntry(); };
        handlers.onDeaths
                = [this](const std::vector<SuspectedDeath> &deaths) { spreadDeaths(deaths); };
        handlers.configurationRevision = [this] {
            return fleet.configuration() ? fleet.configuration()->revision() : Revision();
        };
        return handlers;
    }

    detail::EntrySettings entrySettings() const
    {
        return detail::EntrySettings{settings.dataCentre, settings.service, settings.retryRatio,
                                     settings.retryWindow, settings.seed + 2};
    }

    detail::EntryHandlers entryHandlers()
    {
        detail::EntryHandlers handlers;
        handlers.moveOf = [this](const ServiceId &service) {
            const auto move = moves.find(service);
            return move == moves.end() ? nullptr : &move->second;
        };
        handlers.onPeerRevision = [this](const Address &peer, Revision revision) {
            fleet.notePeerRevision(peer, revision);
        };
        handlers.runsHere = [this](const std::string &id) { return serving.runs(id); };
        return handlers;
    }

    void takeHosts()
    {
        // An earlier run of this node may have published the server, which is then still there.
        const HostDirectory::Known *own = fleet.directory().find(settings.inbound);
        if (own && own->entry.run != run && own->entry.server && local.adopt(*own->entry.server)) {
            log.write(EventKind::StateChange, detail::nodePart, "server-adopted",
                      {{"server", own->entry.server->id.value()}});
            serving.refresh();
            probeServer();
        }
        entry.setHosts(fleet.directory().hosts());
        // Only now, as the entry of the earlier run must have been read before it is replaced.
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
        own.followers = followersOfLink(settings.linkMbps);
        fleet.publish(own);
    }

    HttpResponse answerReadiness(const HttpRequest &request)
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

    HttpResponse takeServerMessage(const HttpRequest &request)
    {
        const Result<ServerMessage> message = dialect.readServerMessage(request);
        if (!message) {
            const bool isUnknown = message.error().kind == ErrorKind::NotFound;
            log.write(EventKind::Failure, detail::nodePart, "server-message-refused",
                      {{"path", request.path}, {"why", message.error().describe()}});
            return HttpResponse{isUnknown ? detail::statusNotFound : detail::statusBadRequest,
                                {},
                                message.error().describe()};
        }
        const auto verdict
                = std::visit([this](const auto &content) { return local.take(content); }, *message);
        const auto *announcement = std::get_if<ServerAnnouncement>(&*message);
        if (announcement && verdict != LocalServer::Verdict::Stale)
            serving.setColdUntil(now(SteadyClock()) + announcement->coldLeft);
        if (verdict == LocalServer::Verdict::Changed) {
            logServer();
            serving.refresh();
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

    void serveNode(evhttp_request *request)
    {
        const evkeyvalq *headers = evhttp_request_get_input_headers(request);
        if (!detail::findHeader(headers, hopRequestHeader).empty()) {
            serving.serve(request);
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
            exchange.send(
                    detail::OwnAnswer{detail::statusOk, {}, fleet.renderState(heldRevision(uri))});
        else if (path == detail::peerReportPath)
            exchange.send(
                    detail::OwnAnswer{detail::statusOk, {}, encodeHopAnswer(serving.report())});
        else if (path == detail::peerDeathsPath)
            exchange.send(takeDeaths(detail::bodyOf(request)));
        else
            exchange.send(detail::OwnAnswer{detail::statusNotFound, {}, {}});
    }

    // A query that is no number asks for everything.
    static Revision heldRevision(const evhttp_uri *uri)
    {
        const char *query = evhttp_uri_get_query(uri);
        return Revision(query ? std::strtoull(query, nullptr, 10) : 0);
    }

    detail::OwnAnswer takeDeaths(std::string_view body)
    {
        try {
            noteDeaths(detail::readDeaths(body));
            return detail::OwnAnswer{detail::statusOk, {}, {}};
        } catch (const nlohmann::json::exception &error) {
            log.write(EventKind::Failure, detail::nodePart, "deaths-refused",
                      {{"why", error.what()}});
            return detail::OwnAnswer{detail::statusBadRequest, {}, {}};
        }
    }

    void noteDeaths(const std::vector<SuspectedDeath> &deaths)
    {
        for (const SuspectedDeath &death : deaths) {
            if (poison.noteDeath(death, now(SteadyClock()))) {
                log.write(
                        EventKind::StateChange, detail::nodePart, "request-poisonous",
                        {{"fingerprint", death.request.value()}, {"server", death.server.value()}});
            }
        }
    }

    void spreadDeaths(const std::vector<SuspectedDeath> &deaths)
    {
        noteDeaths(deaths);
        HttpRequest request{HttpMethod::Post,
                            detail::peerDeathsPath,
                            {},
                            {},
                            detail::renderDeaths(deaths).dump()};
        for (const auto &[node, known] : fleet.directory().hosts()) {
            if (node == settings.inbound)
                continue;
            peers.send(node, request, detail::peerTimeout,
                       [this, peer = node](const Result<HttpResponse> &answer) {
                           if (!answer) {
                               log.write(EventKind::Failure, detail::nodePart, "deaths-untold",
                                         {{"node", peer.toString()},
                                          {"why", answer.error().describe()}});
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
            serving.probe(service->healthPath);
    }

    void sweep()
    {
        serving.sweep();
        entry.sweep();
        outbound.resumeAccepting();
        inbound.resumeAccepting();
        const TimePoint time = now(SteadyClock());
        fleet.sweep([this, time](const Address &node) {
            const Placement::Host host = entry.placement().find(node);
            return host && time - host->answeredAt < detail::answeredLately;
        });
    }

    // Counts the live hosts that come before this one, which should act first.
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

    void stepMoves()
    {
        if (!fleet.isServiceReachable() || isStopping)
            return;
        for (auto &[service, move] : moves) {
            if (!move.order())
                continue;
            std::size_t targetHosts = 0;
            for (const Placement::Host &host : entry.placement().hostsOf(service))
                targetHosts += host->entry.server->version == move.order()->target ? 1 : 0;
            const auto next = move.next(rank(), targetHosts, now(SteadyClock()));
            if (!next || pendingMoves[service] == *next)
                continue;
            pendingMoves[service] = *next;
            logStep(*next, move);
            fleet.writeMove(*next, moveRevisions[service]);
        }
    }

    void logStep(const VersionMove &next, const VersionMoveWatcher &move)
    {
        const VersionEvidence newer = move.evidenceOf(true);
        const VersionEvidence older = move.evidenceOf(false);
        log.write(EventKind::StateChange, detail::nodePart, "move-step",
                  {{"service", next.service.value()},
                   {"target", next.target.value()},
                   {"perMille", next.perMille},
                   {"state", static_cast<int>(next.state)},
                   {"verdict", move.verdict()},
                   {"newAnswers", newer.answers},
                   {"newFailures", newer.failures},
                   {"newTimed", newer.timed},
                   {"newLate", newer.late},
                   {"oldAnswers", older.answers},
                   {"oldFailures", older.failures},
                   {"oldTimed", older.timed},
                   {"oldLate", older.late}});
    }

    void askTallies()
    {
        if (isStopping || rank() >= detail::askingRanks)
            return;
        for (const auto &[service, move] : moves) {
            if (!move.isJudged())
                continue;
            std::size_t oldAsked = 0;
            for (const Placement::Host &host : entry.placement().hostsOf(service)) {
                const bool isTarget = host->entry.server->version == move.order()->target;
                if (isTarget || oldAsked++ < detail::mostOldAsked)
                    askReport(host->entry.node);
            }
        }
    }

    void askReport(const Address &node)
    {
        const HttpRequest request{HttpMethod::Get, detail::peerReportPath, {}, {}, {}};
        peers.send(node, request, detail::peerTimeout,
                   [this, node](const Result<HttpResponse> &answer) {
                       const Result<HopAnswer> report = answer
                               ? decodeHopAnswer(answer->body)
                               : Result<HopAnswer>(tl::unexpected(answer.error()));
                       if (report)
                           entry.takeReport(node, *report);
                       else
                           log.write(
                                   EventKind::Failure, detail::nodePart, "report-unread",
                                   {{"node", node.toString()}, {"why", report.error().describe()}});
                   });
    }

    // The last write of each move, so that one step is not written at every tick.
    std::map<ServiceId, VersionMove> pendingMoves;

    void startTimers()
    {
        timers.push_back(loop.every(detail::sweepTime, [this] { sweep(); }));
        timers.push_back(loop.every(detail::moveTime, [this] { stepMoves(); }));
        timers.push_back(loop.every(detail::tallyTime, [this] { askTallies(); }));
        timers.push_back(loop.every(detail::probeTime, [this] { probeServer(); }));
        timers.push_back(loop.every(detail::flushTime, [this] { log.flush(); }));
    }

    void awaitEnd()
    {
        const auto since = now(SteadyClock()) - stoppingSince;
        if (since > detail::serverLent && !std::exchange(isServerClosed, true)) {
            serving.stop();
            publishEntry();
        }
        const bool isIdle = entry.active() == 0 && serving.active() == 0;
        const bool mustEnd = since > settings.stopTimeout - detail::stopMargin;
        if (!mustEnd && (!isIdle || since < detail::callersLeave))
            return;
        log.write(EventKind::Lifecycle, detail::nodePart, "stopped",
                  {{"callsLeft", entry.active() + serving.active()}});
        log.flush();
        // The entry stays until its lease lapses, so that the next run finds its server there.
        // Calls that arrive from now on are refused, so that none is cut by the end.
        entry.stop(now(SteadyClock()));
        outbound.stopListening();
        stopTimer = loop.after(detail::lastAnswers, [this] { onStopped(); });
    }
};

Sidecar::Sidecar(EventLoop &loop, SidecarSettings settings, Dialect dialect)
    : impl_(std::make_unique<Impl>(loop, std::move(settings), std::move(dialect)))
{ }

Sidecar::~Sidecar() = default;

Result<void> Sidecar::start()
{
    const SidecarSettings &settings = impl_->settings;
    Result<void> started = impl_->outbound.listen(settings.outbound, false);
    if (started)
        started = impl_->inbound.listen(settings.inbound, false);
    if (started)
        started = impl_->readiness.listen(settings.readiness);
    if (started)
        started = impl_->control.listen(settings.control);
    if (!started)
        return started;
    impl_->log.write(EventKind::Lifecycle, detail::nodePart, "started",
                     {{"run", impl_->run.value()},
                      {"dataCentre", settings.dataCentre.value()},
                      {"service", settings.service.value()},
                      {"seed", settings.seed}});
    impl_->fleet.start();
    impl_->startTimers();
    return {};
}

void Sidecar::stop(std::function<void()> done)
{
    if (std::exchange(impl_->isStopping, true))
        return;
    impl_->log.write(EventKind::Lifecycle, detail::nodePart, "stopping", {});
    impl_->onStopped = std::move(done);
    impl_->stoppingSince = now(SteadyClock());
    impl_->entry.stop(impl_->stoppingSince + impl_->settings.stopTimeout - detail::stopMargin);
    constexpr Milliseconds pollTime(50);
    impl_->stopTimer = impl_->loop.every(pollTime, [this] { impl_->awaitEnd(); });
}

void Sidecar::reload()
{
    impl_->log.write(EventKind::Lifecycle, detail::nodePart, "reload-asked",
                     {{"effect", "none: settings are flags"}});
}

} // namespace cornelhead
