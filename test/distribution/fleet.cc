// Implements the fleet as a discrete-event simulation.
#include "distribution/fleet.h"

#include <algorithm>

#include "config/sample.h"
#include "cornelhead/base/digest.h"
#include "cornelhead/config/manifest.h"

namespace cornelhead::test {
namespace {

constexpr Milliseconds tickInterval = Milliseconds(50);
constexpr Milliseconds platformCallTimeout = Milliseconds(500);
constexpr Microseconds processStep = Microseconds(1);
/// Time within which relays exchange the floors of the revisions that they sent.
constexpr Milliseconds floorExchangeTime = Milliseconds(2000);

} // namespace

Fleet::Fleet(std::size_t dataCentres, std::size_t nodesPerDataCentre, std::uint64_t seed)
    : random_(seed), store_({}, clock_, seed), nodesPerDataCentre_(nodesPerDataCentre)
{
    manualClock_.advance(std::chrono::hours(1));
    nodes_.resize(dataCentres * nodesPerDataCentre);
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
        NodeInfo &info = nodes_[i].info;
        info.dataCentre = DataCentreId("dc-" + std::to_string(dataCentreOf(i)));
        info.proxy = {"127.0.0.1", static_cast<std::uint16_t>(20000 + i)};
        info.inner = {"127.0.0.1", static_cast<std::uint16_t>(10000 + i)};
    }
}

void Fleet::after(Microseconds delay, std::function<void()> work)
{
    events_.push({now(clock_) + delay, nextEvent_++, std::move(work)});
}

void Fleet::run(Milliseconds duration)
{
    const TimePoint end = now(clock_) + duration;
    while (!events_.empty() && events_.top().at <= end) {
        Event event = events_.top();
        events_.pop();
        if (event.at > now(clock_))
            manualClock_.advance(event.at - now(clock_));
        event.work();
    }
    manualClock_.advance(end - now(clock_));
}

void Fleet::inNode(std::size_t node, std::uint64_t run, std::function<void()> work)
{
    Node &target = nodes_[node];
    if (!target.agent || target.run != run)
        return;
    if (now(clock_) < target.pausedUntil) {
        after(target.pausedUntil - now(clock_),
              [this, node, run, work = std::move(work)] { inNode(node, run, work); });
        return;
    }
    work();
}

void Fleet::start(std::size_t node)
{
    Node &target = nodes_[node];
    if (target.agent)
        return;
    const std::uint64_t run = ++target.run;
    target.info.startedAtMs = now(clock_).time_since_epoch().count() / 1000;
    target.info.id = NodeId("node-" + std::to_string(node) + "-"
                            + std::to_string(target.info.startedAtMs));
    target.table = nullptr;
    target.inForce = Revision();
    target.started = now(clock_);
    DistributionSettings settings;
    settings.self = target.info;
    settings.seeds = {nodes_[0].info.inner, nodes_[nodesPerDataCentre_ - 1].info.inner,
                      nodes_.back().info.inner};
    settings.seed = random_.below(UINT64_MAX);
    target.metrics = std::make_unique<Metrics>();
    target.agent
            = std::make_unique<Agent>(settings, networkPort(node, run), platformPort(node, run),
                                      clock_, *target.metrics, handlers(node));
    target.agent->start();
    Endpoint server;
    target.server = "server-" + target.info.id.value();
    server.id = ServerId(target.server);
    server.service = ServiceId(node % 2 == 0 ? "bookings" : "doorlist");
    server.version = VersionId("v1");
    server.address = target.info.proxy;
    target.agent->announce(server);
    tick(node, run);
}

void Fleet::tick(std::size_t node, std::uint64_t run)
{
    if (!nodes_[node].agent || nodes_[node].run != run)
        return;
    if (now(clock_) >= nodes_[node].pausedUntil)
        nodes_[node].agent->tick();
    after(tickInterval, [this, node, run] { tick(node, run); });
}

void Fleet::kill(std::size_t node, bool closesLinks)
{
    Node &target = nodes_[node];
    if (!target.agent)
        return;
    ++stats_.kills;
    target.agent.reset();
    std::erase_if(watchers_, [&](const Watcher &watcher) { return watcher.node == node; });
    for (auto &[number, link] : links_) {
        for (int side = 0; side < 2; ++side) {
            if (link.ends[side].node != node || !link.ends[side].open)
                continue;
            if (closesLinks)
                close(LinkId(number * 2 + static_cast<std::uint64_t>(side)), true);
            else
                link.silent = true;
        }
    }
}

void Fleet::pause(std::size_t node, Milliseconds duration)
{
    nodes_[node].pausedUntil = now(clock_) + duration;
}

void Fleet::runUntilAllResume()
{
    TimePoint end = now(clock_);
    for (const Node &node : nodes_)
        end = std::max(end, node.pausedUntil);
    run(std::chrono::ceil<Milliseconds>(end - now(clock_)));
}

void Fleet::setPartitioned(std::size_t left, std::size_t right, bool isPartitioned)
{
    const auto pair = std::minmax(left, right);
    if (isPartitioned)
        partitions_.insert(pair);
    else
        partitions_.erase(pair);
}

void Fleet::setPlatformPartitioned(std::size_t dataCentre, bool isPartitioned)
{
    if (isPartitioned)
        platformPartitions_.insert(dataCentre);
    else
        platformPartitions_.erase(dataCentre);
}

bool Fleet::arePartitioned(std::size_t left, std::size_t right) const
{
    return partitions_.contains(std::minmax(dataCentreOf(left), dataCentreOf(right)));
}

bool Fleet::isRelay(std::size_t node) const
{
    return nodes_[node].agent && nodes_[node].agent->status().isRelay;
}

void Fleet::silenceLinks(double probability)
{
    for (auto &[number, link] : links_) {
        if (random_.chance(probability))
            link.silent = true;
    }
}

// Network

Microseconds Fleet::networkDelay()
{
    return Microseconds(200 + random_.below(random_.chance(0.01) ? 50000 : 2000));
}

NetworkPort Fleet::networkPort(std::size_t node, std::uint64_t run)
{
    NetworkPort port;
    port.open = [this, node, run](const Address &address) { return open(node, run, address); };
    port.send = [this](LinkId id, FramePtr frame) { send(id, frame); };
    port.close = [this](LinkId id) { close(id, false); };
    return port;
}

LinkId Fleet::open(std::size_t node, std::uint64_t run, const Address &address)
{
    const std::uint64_t number = nextLink_++;
    const std::size_t other = address.port - std::size_t(10000);
    Link &link = links_[number];
    link.ends[0] = {node, run, true, now(clock_)};
    link.ends[1] = {other, nodes_[other].run, nodes_[other].agent != nullptr, now(clock_)};
    const LinkId id(number * 2);
    if (!link.ends[1].open)
        after(networkDelay(), [this, id] { notifyClosed(id); });
    return id;
}

void Fleet::send(LinkId id, const FramePtr &frame)
{
    const auto found = links_.find(id.value() / 2);
    if (found == links_.end())
        return;
    Link &link = found->second;
    if (!link.ends[id.value() % 2].open)
        return;
    // A link that loses a frame in a partition stays silent, since links deliver in order.
    link.silent |= arePartitioned(link.ends[0].node, link.ends[1].node);
    if (link.silent || random_.chance(faults_.drop))
        return;
    const LinkId to(id.value() ^ 1);
    LinkEnd &end = link.ends[to.value() % 2];
    TimePoint arrival = now(clock_) + networkDelay();
    if (random_.chance(faults_.reorder))
        arrival += Milliseconds(20);
    else
        end.lastArrival = arrival = std::max(arrival, end.lastArrival + processStep);
    const FramePtr carried = rewrite_ ? std::make_shared<const inner::Frame>(
                                     rewrite_(link.ends[id.value() % 2].node, end.node, *frame))
                                      : frame;
    deliver(to, carried, arrival - now(clock_));
    if (random_.chance(faults_.duplicate))
        deliver(to, carried, arrival - now(clock_) + Milliseconds(5));
}

void Fleet::deliver(LinkId id, const FramePtr &frame, Microseconds delay)
{
    after(delay, [this, id, frame] {
        const auto found = links_.find(id.value() / 2);
        if (found == links_.end() || !found->second.ends[id.value() % 2].open)
            return;
        const LinkEnd end = found->second.ends[id.value() % 2];
        ++stats_.frames;
        inNode(end.node, end.run, [this, id, frame, end] {
            const auto link = links_.find(id.value() / 2);
            if (link != links_.end() && link->second.ends[id.value() % 2].open)
                nodes_[end.node].agent->onFrame(id, *frame);
        });
    });
}

void Fleet::close(LinkId id, bool notify)
{
    const auto found = links_.find(id.value() / 2);
    if (found == links_.end())
        return;
    found->second.ends[id.value() % 2].open = false;
    (void)notify;
    const LinkId other(id.value() ^ 1);
    if (!found->second.silent)
        after(networkDelay() + Milliseconds(60), [this, other] { notifyClosed(other); });
}

void Fleet::notifyClosed(LinkId id)
{
    const auto found = links_.find(id.value() / 2);
    if (found == links_.end() || !found->second.ends[id.value() % 2].open)
        return;
    const LinkEnd end = found->second.ends[id.value() % 2];
    inNode(end.node, end.run, [this, id, end] {
        const auto link = links_.find(id.value() / 2);
        if (link == links_.end() || !link->second.ends[id.value() % 2].open)
            return;
        links_.erase(link);
        nodes_[end.node].agent->onClosed(id);
    });
}

// Platform

bool Fleet::isPlatformReachable(std::size_t node) const
{
    return !platformDown_ && !platformPartitions_.contains(dataCentreOf(node));
}

template <typename T>
void Fleet::call(std::size_t node, std::uint64_t run, std::function<Result<T>()> operation,
                 PlatformPort::Callback<T> callback)
{
    const auto respond = [this, node, run, callback](Microseconds delay, Result<T> result) {
        after(delay, [this, node, run, callback, result] {
            inNode(node, run, [callback, result] { callback(result); });
        });
    };
    ++stats_.platformCalls;
    if (!isPlatformReachable(node)) {
        const ErrorKind kind = random_.chance(0.5) ? ErrorKind::Unavailable : ErrorKind::Unknown;
        respond(platformCallTimeout, fail(kind, "the platform is unreachable", "try again later"));
        return;
    }
    after(networkDelay(), [this, operation, respond] {
        Result<T> result = operation();
        serveWatchers();
        if (random_.chance(responseLossProbability_))
            respond(platformCallTimeout,
                    fail(ErrorKind::Unknown, "the response was lost", "read the key again"));
        else
            respond(networkDelay(), std::move(result));
    });
}

PlatformPort Fleet::platformPort(std::size_t node, std::uint64_t run)
{
    PlatformPort port;
    port.get = [this, node, run](const auto &key, auto callback) {
        call<std::optional<KeyValue>>(
                node, run, [this, key] { return store_.get(key); }, callback);
    };
    port.list = [this, node, run](const auto &prefix, auto callback) {
        call<Listing>(
                node, run, [this, prefix] { return store_.list(prefix); }, callback);
    };
    port.put = [this, node, run](const auto &key, const auto &value, ExpectedRevision expected,
                                 const auto &lease, auto callback) {
        call<ModRevision>(
                node, run, [=, this] { return store_.put(key, value, expected, lease); }, callback);
    };
    port.remove = [this, node, run](const auto &key, ExpectedRevision expected, auto callback) {
        call<void>(
                node, run, [=, this] { return store_.remove(key, expected); }, callback);
    };
    port.grantLease = [this, node, run](Milliseconds ttl, auto callback) {
        call<LeaseId>(
                node, run, [this, ttl] { return store_.grant(ttl); }, callback);
    };
    port.keepAlive = [this, node, run](const LeaseId &lease, auto callback) {
        call<void>(
                node, run, [this, lease] { return store_.keepAlive(lease); }, callback);
    };
    port.revoke = [this, node, run](const LeaseId &lease, auto callback) {
        call<void>(
                node, run, [this, lease] { return store_.revoke(lease); }, callback);
    };
    port.watch = [this, node, run](const auto &prefix, ModRevision since, Milliseconds wait,
                                   auto callback) {
        ++stats_.platformCalls;
        watchers_.push_back({node, run, prefix, since, now(clock_) + wait, callback});
        after(networkDelay(), [this] { serveWatchers(); });
        after(wait, [this] { serveWatchers(); });
    };
    return port;
}

void Fleet::serveWatchers()
{
    std::vector<Watcher> watchers = std::exchange(watchers_, {});
    for (Watcher &watcher : watchers) {
        std::optional<Result<WatchResponse>> result;
        if (withheldWatches_.contains(watcher.node)) {
            watchers_.push_back(std::move(watcher));
            continue;
        }
        if (!isPlatformReachable(watcher.node)) {
            result = fail(ErrorKind::Unavailable, "the platform is unreachable", "try again later");
        } else {
            Result<WatchResponse> changes = store_.changes(watcher.prefix, watcher.after);
            const bool hasChanges
                    = !changes || !changes->changed.empty() || !changes->removed.empty();
            if (hasChanges || now(clock_) >= watcher.deadline)
                result = std::move(changes);
        }
        if (!result) {
            watchers_.push_back(std::move(watcher));
            continue;
        }
        const Microseconds delay = *result ? networkDelay() : Microseconds(platformCallTimeout);
        after(delay, [this, watcher, response = *result] {
            inNode(watcher.node, watcher.run,
                   [callback = watcher.callback, response] { callback(response); });
        });
    }
}

bool Fleet::writeManifest(const Manifest &manifest, const std::vector<Chunk> &chunks)
{
    if (platformDown_)
        return false;
    for (const Chunk &chunk : chunks)
        (void)store_.put(chunkPrefix + chunk.digest.value(), chunk.bytes, ExpectedRevision{},
                         std::nullopt);
    const std::optional<KeyValue> stored = store_.get(manifestKey);
    const ExpectedRevision expected{stored ? stored->modRevision : ModRevision()};
    if (!store_.put(manifestKey, encodeManifest(manifest), expected, std::nullopt))
        return false;
    accepted_ = manifest.revision;
    digests_[manifest.revision] = manifest.digest;
    serveWatchers();
    return true;
}

bool Fleet::edit()
{
    Declarations declarations = sampleDeclarations();
    declarations.plans[0].ratePerSecond = static_cast<std::uint32_t>(1 + ++edits_);
    const Revision revision = accepted_.next();
    const auto snapshot = Snapshot::build(revision, declarations);
    const std::string encoded = encodeDeclarations(snapshot.value()->declarations());
    Manifest manifest;
    manifest.revision = revision;
    manifest.edit = EditId(std::to_string(edits_));
    manifest.digest = (*snapshot)->digest();
    const std::vector<Chunk> chunks = splitChunks(encoded);
    for (const Chunk &chunk : chunks)
        manifest.chunks.push_back(chunk.digest);
    return writeManifest(manifest, chunks);
}

bool Fleet::editInvalid()
{
    Declarations declarations = sampleDeclarations();
    declarations.customers[0].plan = PlanId("no-such-plan-" + std::to_string(++edits_));
    const std::string encoded = encodeDeclarations(declarations);
    Manifest manifest;
    manifest.revision = accepted_.next();
    manifest.edit = EditId(std::to_string(edits_));
    manifest.digest = digestOf(encoded);
    const std::vector<Chunk> chunks = splitChunks(encoded);
    for (const Chunk &chunk : chunks)
        manifest.chunks.push_back(chunk.digest);
    if (!writeManifest(manifest, chunks))
        return false;
    invalidRevisions_.insert(manifest.revision);
    return true;
}

// Invariants

DistributionHandlers Fleet::handlers(std::size_t node)
{
    DistributionHandlers handlers;
    handlers.onConfig = [this, node](const std::shared_ptr<const Snapshot> &snapshot) {
        onConfig(node, *snapshot);
    };
    handlers.onMoves = [](const auto &) {};
    handlers.onEndpoints = [this, node](std::shared_ptr<const EndpointTable> table) {
        nodes_[node].table = std::move(table);
    };
    handlers.onOutcomes = [](const auto &) {};
    return handlers;
}

void Fleet::recordViolation(std::size_t node, const std::string &what)
{
    stats_.violations.push_back(nodes_[node].info.id.value() + ": " + what);
}

void Fleet::onConfig(std::size_t node, const Snapshot &snapshot)
{
    ++stats_.applied;
    Node &target = nodes_[node];
    if (!target.table)
        recordViolation(node, "configuration applied before any endpoints");
    if (invalidRevisions_.contains(snapshot.revision()))
        recordViolation(node, "invalid configuration applied");
    const auto digest = digests_.find(snapshot.revision());
    if (digest == digests_.end() || digest->second != snapshot.digest())
        recordViolation(node, "configuration applied that the platform never accepted");
    if (snapshot.revision() <= target.inForce)
        recordViolation(node, "revision not newer than the previous one of this run");
    checkFloor(node, snapshot);
    target.inForce = snapshot.revision();
    target.inForceSince = now(clock_);
    target.maxAppliedRevision = std::max(target.maxAppliedRevision, snapshot.revision());
}

void Fleet::checkFloor(std::size_t node, const Snapshot &snapshot)
{
    const Node &target = nodes_[node];
    if (snapshot.revision() >= target.maxAppliedRevision)
        return;
    if (isFloorGuaranteed(node, target.maxAppliedRevision))
        recordViolation(node,
                        "revision " + std::to_string(snapshot.revision().value())
                                + " applied after revision "
                                + std::to_string(target.maxAppliedRevision.value()));
    else
        ++stats_.floorRegressions;
}

bool Fleet::isFloorGuaranteed(std::size_t node, Revision revision) const
{
    const TimePoint time = now(clock_);
    if (isPlatformReachable(node))
        return true;
    for (std::size_t other = 0; other < nodes_.size(); ++other) {
        const Node &peer = nodes_[other];
        const bool isLocal = dataCentreOf(other) == dataCentreOf(node);
        if (isLocal && peer.agent && peer.inForce >= revision
            && time - peer.inForceSince >= floorExchangeTime)
            return true;
    }
    return false;
}

std::vector<std::string> Fleet::nodesBehind() const
{
    Revision target = accepted_;
    while (invalidRevisions_.contains(target))
        target = Revision(target.value() - 1);
    std::vector<std::string> found;
    for (const Node &node : nodes_) {
        if (node.agent && node.inForce != target)
            found.push_back(node.info.id.value() + " is at revision "
                            + std::to_string(node.inForce.value()));
    }
    return found;
}

std::vector<std::string> Fleet::differences() const
{
    std::set<std::string> expected;
    for (const Node &node : nodes_) {
        if (node.agent)
            expected.insert(node.server);
    }
    std::vector<std::string> found = nodesBehind();
    for (const Node &node : nodes_) {
        if (!node.agent)
            continue;
        std::set<std::string> held;
        if (node.table) {
            for (const auto &[service, servers] : node.table->servers) {
                for (const Endpoint &server : servers)
                    held.insert(server.id.value());
            }
        }
        if (held != expected)
            found.push_back(node.info.id.value() + " has " + std::to_string(held.size()) + " of "
                            + std::to_string(expected.size()) + " servers");
        if (node.table && !node.table->unreachable.empty())
            found.push_back(node.info.id.value() + " considers "
                            + node.table->unreachable.begin()->value() + " unreachable");
    }
    return found;
}

} // namespace cornelhead::test
