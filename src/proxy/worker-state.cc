// Implements the state of nodes and workers.
#include "cornelhead/proxy/worker-state.h"

#include "cornelhead/base/check.h"
#include "cornelhead/proxy/call.h"

namespace cornelhead::detail {

namespace {

OwnershipLimits ownershipLimits(const ProxySettings &settings)
{
    OwnershipLimits limits = settings.ownership;
    limits.retention = settings.keyRetention;
    return limits;
}

KeyTableLimits keyTableLimits(const ProxySettings &settings)
{
    KeyTableLimits limits;
    limits.retention = settings.keyRetention;
    return limits;
}

// Limit for one service at one worker.
constexpr std::size_t maxQueuedCalls = 256;

} // namespace

NodeState::NodeState(ProxySettings proxySettings, Metrics &metrics)
    : settings(std::move(proxySettings)), counters(metrics),
      keys(settings.self, settings.dataCentres, ownershipLimits(settings), keyTableLimits(settings))
{ }

void LimitPermit::release()
{
    NodeState *node = std::exchange(node_, nullptr);
    if (!node)
        return;
    const std::lock_guard lock(node->limitsMutex);
    node->limits.release(customer_);
}

LimitPermit &LimitPermit::operator=(LimitPermit &&other) noexcept
{
    release();
    node_ = std::exchange(other.node_, nullptr);
    customer_ = std::move(other.customer_);
    return *this;
}

Moment currentMoment()
{
    return Moment{now(SteadyClock()), wallClockMs()};
}

WorkerState::WorkerState(NodeState &nodeState, std::uint64_t seed)
    : node(nodeState), pool(loop.base(), nodeState.counters.connectionsOpened),
      servers(nodeState.settings.self.dataCentre), outcomes(nodeState.settings.self.dataCentre),
      random(seed)
{ }

WorkerState::~WorkerState() = default;

void WorkerState::enqueue(const ServiceId &service, const CallQueue<Call *>::QueuedCall &waiting)
{
    const auto queue = queues.try_emplace(service, maxQueuedCalls).first;
    const std::optional<Call *> evicted = queue->second.push(waiting);
    if (evicted)
        (*evicted)->refuseOverload();
}

void WorkerState::removeFromQueue(const ServiceId &service, Call *call)
{
    const auto queue = queues.find(service);
    if (queue != queues.end())
        queue->second.remove(call);
}

void WorkerState::scheduleQueued(const ServiceId &service)
{
    const auto queue = queues.find(service);
    if (queue == queues.end() || queue->second.empty())
        return;
    const bool isFirst = servicesToStart.empty();
    servicesToStart.insert(service);
    if (isFirst)
        loop.post([this] { startQueued(); });
}

void WorkerState::scheduleAllQueued()
{
    for (const auto &[service, queue] : queues)
        scheduleQueued(service);
}

void WorkerState::startQueued()
{
    for (const ServiceId &service : std::exchange(servicesToStart, {}))
        startQueued(queues.at(service));
}

void WorkerState::startQueued(CallQueue<Call *> &queue)
{
    for (;;) {
        std::vector<Call *> expired;
        const auto next = queue.pop(now(SteadyClock()), expired);
        for (Call *call : expired)
            call->refuseOverload();
        if (!next)
            return;
        if (!next->call->startFromQueue()) {
            queue.pushFront(*next);
            return;
        }
    }
}

bool SharedPoisonTracker::recordDeath(const SuspectedDeath &death, TimePoint time)
{
    const std::lock_guard lock(mutex_);
    hasSuspects_ = true;
    return tracker_.recordDeath(death, time);
}

bool SharedPoisonTracker::recordResponse(Fingerprint request, TimePoint time)
{
    const std::lock_guard lock(mutex_);
    const bool wasSuspected = tracker_.recordResponse(request, time);
    hasSuspects_ = tracker_.hasSuspects();
    return wasSuspected;
}

bool SharedPoisonTracker::isRefused(Fingerprint request, TimePoint time)
{
    const std::lock_guard lock(mutex_);
    return tracker_.isRefused(request, time);
}

void SharedPoisonTracker::expire(TimePoint time)
{
    const std::lock_guard lock(mutex_);
    tracker_.expire(time);
    hasSuspects_ = tracker_.hasSuspects();
}

void SharedPoisonTracker::addRemoteDeath(const SuspectedDeath &death, TimePoint time)
{
    const std::lock_guard lock(mutex_);
    tracker_.recordDeath(death, time);
    hasSuspects_ = tracker_.hasSuspects();
}

void SharedPoisonTracker::addRemoteResponse(Fingerprint request, TimePoint time)
{
    const std::lock_guard lock(mutex_);
    tracker_.recordResponseNotice(request, time);
    hasSuspects_ = tracker_.hasSuspects();
}

void WorkerState::endCall(ActiveCall *call)
{
    const auto found = calls.find(call);
    CORNELHEAD_CHECK(found != calls.end());
    endedCalls.push_back(std::move(found->second));
    calls.erase(found);
}

void WorkerState::destroyEndedCalls()
{
    endedCalls.clear();
}

} // namespace cornelhead::detail
