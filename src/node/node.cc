// Connects the components of one node.
#include "cornelhead/node/node.h"

#include <set>

#include <nlohmann/json.hpp>

#include "cornelhead/base/log.h"
#include "cornelhead/distribution/distribution.h"
#include "cornelhead/node/admin-server.h"
#include "cornelhead/node/local-servers.h"
#include "cornelhead/node/rollout-task.h"
#include "cornelhead/node/view-builder.h"
#include "cornelhead/proxy/proxy.h"

namespace cornelhead {
namespace detail {

constexpr const char *nodePart = "node";
constexpr Milliseconds serverHeartbeatTimeout = Milliseconds(2000);
constexpr Milliseconds sweepPeriod = Milliseconds(250);
constexpr Milliseconds outcomePeriod = Milliseconds(200);
// Time for the other nodes to see that this node is draining and to stop sending it calls.
constexpr Milliseconds drainNoticeDelay = Milliseconds(500);

NodeInfo makeNodeInfo(const NodeSettings &settings)
{
    NodeInfo self;
    self.startedAtMs = wallClockMs();
    self.id = NodeId(settings.inner.toString() + "@" + std::to_string(self.startedAtMs));
    self.dataCentre = settings.dataCentre;
    self.proxy = settings.listen;
    self.inner = settings.inner;
    return self;
}

DistributionSettings makeDistributionSettings(const NodeSettings &settings, const NodeInfo &self)
{
    DistributionSettings distribution;
    distribution.self = self;
    distribution.seeds = settings.seeds;
    distribution.relaysPerDataCentre = settings.relays;
    distribution.relayLeaseTtl = settings.relayLeaseTtl;
    distribution.seed = settings.seed;
    return distribution;
}

ProxySettings makeProxySettings(const NodeSettings &settings, const NodeInfo &self)
{
    ProxySettings proxy;
    proxy.self = self;
    proxy.listen = settings.listen;
    proxy.dataCentres = settings.dataCentres;
    proxy.workers = settings.workers;
    proxy.seed = settings.seed + 1;
    return proxy;
}

} // namespace detail

struct Node::Impl
{
    EventLoop &loop;
    NodeSettings settings;
    NodeInfo self;
    Metrics metrics;
    PlatformClient platform;
    Distribution distribution;
    Proxy proxy;
    RolloutTask rollout;
    AdminServer admin;
    LocalServers servers;
    ViewBuilder viewBuilder;
    LocalCircuitBreaker breaker;
    std::set<ServiceId> trippedServices;
    Timer sweepTimer;
    Timer outcomeTimer;
    Timer drainTimer;
    Timer drainNoticeTimer;
    // When this node applied `appliedRevision`; reported for measurements of convergence.
    std::int64_t appliedAtMs = 0;
    Revision appliedRevision;
    bool isDraining = false;

    Impl(EventLoop &controlLoop, const NodeSettings &nodeSettings)
        : loop(controlLoop), settings(nodeSettings), self(detail::makeNodeInfo(settings)),
          platform(loop, settings.platform, settings.platformTimeout, metrics),
          distribution(loop, platform, metrics, detail::makeDistributionSettings(settings, self),
                       distributionHandlers()),
          proxy(detail::makeProxySettings(settings, self), metrics),
          rollout(loop, platform, metrics, self.id, settings.seed + 2),
          admin(loop, metrics, adminHandlers()),
          servers(SteadyClock(), detail::serverHeartbeatTimeout, self)
    {
        platform.setDataCentre(self.dataCentre);
    }

    DistributionHandlers distributionHandlers()
    {
        DistributionHandlers handlers;
        handlers.onConfig = [this](std::shared_ptr<const Snapshot> config) {
            applyConfig(std::move(config));
        };
        handlers.onMoves
                = [this](const std::shared_ptr<const MoveTable> &moves) { applyMoves(moves); };
        handlers.onEndpoints = [this](std::shared_ptr<const EndpointTable> endpoints) {
            viewBuilder.setEndpoints(std::move(endpoints));
            publishView();
        };
        handlers.onOutcomes
                = [this](const OutcomeBatch &outcomes) { rollout.addEvidence(outcomes); };
        return handlers;
    }

    AdminHandlers adminHandlers()
    {
        AdminHandlers handlers;
        handlers.onAnnounce = [this](const Endpoint &endpoint) { handleAnnouncement(endpoint); };
        handlers.onWithdraw = [this](const ServerId &server) {
            if (servers.withdraw(server))
                distribution.withdraw(server);
        };
        handlers.status = [this] { return renderStatus(); };
        return handlers;
    }

    void applyConfig(std::shared_ptr<const Snapshot> config)
    {
        const Revision revision = config->revision();
        viewBuilder.setConfig(std::move(config));
        publishView();
        if (std::exchange(appliedRevision, revision) != revision)
            appliedAtMs = wallClockMs();
    }

    void applyMoves(const std::shared_ptr<const MoveTable> &moves)
    {
        viewBuilder.setMoves(moves);
        rollout.setMoves(*moves);
        for (const auto &[service, move] : moves->moves)
            breaker.observe(move);
        refreshTrippedServices();
        publishView();
    }

    void handleAnnouncement(const Endpoint &announced)
    {
        const std::optional<Endpoint> changed = servers.heartbeat(announced);
        if (changed)
            distribution.announce(*changed);
    }

    void removeTimedOutServers()
    {
        for (const ServerId &server : servers.removeTimedOut()) {
            CORNELHEAD_LOG(WARNING, detail::nodePart) << "Backend server " << server.value()
                                                      << " sent no heartbeat in time; removed.";
            distribution.withdraw(server);
        }
    }

    // Updates the services whose local circuit breaker is open; returns whether they changed.
    bool refreshTrippedServices()
    {
        std::set<ServiceId> tripped;
        for (const auto &[service, move] : viewBuilder.moves().moves) {
            if (breaker.isTripped(service))
                tripped.insert(service);
        }
        if (tripped == trippedServices)
            return false;
        trippedServices = tripped;
        viewBuilder.setTrippedServices(std::move(tripped));
        CORNELHEAD_LOG(WARNING, detail::nodePart)
                << "Local circuit breaker is open for " << trippedServices.size() << " moves.";
        return true;
    }

    void collectOutcomes()
    {
        const OutcomeBatch outcomes = proxy.takeOutcomes();
        const DistributionStatus state = distribution.status();
        rollout.setEligible(state.isRelay && !isDraining);
        if (state.hasRelay)
            proxy.confirmMembership();
        if (outcomes.empty())
            return;
        breaker.addEvidence(outcomes, wallClockMs());
        distribution.report(outcomes);
        if (refreshTrippedServices())
            publishView();
    }

    void publishView()
    {
        const std::shared_ptr<const RoutingView> view = viewBuilder.build();
        if (view)
            proxy.setView(view);
    }

    std::string roleName(const DistributionStatus &state) const
    {
        if (!state.isRelay)
            return "node";
        return rollout.isController() ? "relay and controller" : "relay";
    }

    std::string renderStatus() const
    {
        const DistributionStatus state = distribution.status();
        const nlohmann::json json = {{"node", self.id.value()},
                                     {"dataCentre", self.dataCentre.value()},
                                     {"revision", state.revision.value()},
                                     {"digest", state.digest.value()},
                                     {"appliedAtMs", appliedAtMs},
                                     {"role", roleName(state)},
                                     {"hasRelay", state.hasRelay},
                                     {"subscribers", state.subscribers},
                                     {"platformReachable", state.platformReachable},
                                     {"localServers", servers.size()},
                                     {"brakedMoves", trippedServices.size()},
                                     {"draining", isDraining}};
        return json.dump();
    }

    void startTimers()
    {
        sweepTimer = loop.every(detail::sweepPeriod, [this] { removeTimedOutServers(); });
        outcomeTimer = loop.every(detail::outcomePeriod, [this] { collectOutcomes(); });
    }

    // Hands over idempotency keys, then announces the drain to the fleet, then closes the callers'
    // listener.  In this order no call is aborted and every key keeps a home node.
    void startDrain(const std::function<void()> &done)
    {
        drainTimer = loop.after(settings.drainTimeout, done);
        proxy.retireKeys([this, done] { loop.post([this, done] { leaveFleet(done); }); });
    }

    void leaveFleet(const std::function<void()> &done)
    {
        collectOutcomes();
        distribution.drain([this, done] {
            drainNoticeTimer
                    = loop.after(detail::drainNoticeDelay, [this, done] { drainProxy(done); });
        });
    }

    void drainProxy(const std::function<void()> &done)
    {
        proxy.drain([this, done] { loop.post(done); });
    }
};

Node::Node(EventLoop &loop, const NodeSettings &settings)
    : impl_(std::make_unique<Impl>(loop, settings))
{ }

Node::~Node() = default;

Result<void> Node::start()
{
    Result<void> started = impl_->admin.listen(impl_->settings.admin);
    if (started)
        started = impl_->distribution.start();
    if (started)
        started = impl_->proxy.start();
    if (!started)
        return started;
    impl_->rollout.start();
    impl_->startTimers();
    CORNELHEAD_LOG(INFO, detail::nodePart)
            << "Node in data centre " << impl_->self.dataCentre.value() << " listens on "
            << impl_->settings.listen.toString() << ".";
    return {};
}

void Node::drain(const std::function<void()> &done)
{
    if (std::exchange(impl_->isDraining, true))
        return;
    CORNELHEAD_LOG(INFO, detail::nodePart) << "Node is draining.";
    impl_->rollout.stop();
    impl_->startDrain(done);
}

} // namespace cornelhead
