// Keeps ended calls until evhttp is done with their connections.
#include "cornelhead/proxy/worker-state.h"

#include "cornelhead/base/check.h"

namespace cornelhead::detail {

namespace {

OwnershipLimits ownershipLimits(const ProxySettings &settings)
{
    OwnershipLimits limits;
    limits.retention = settings.keyRetention;
    return limits;
}

KeyMemoryLimits memoryLimits(const ProxySettings &settings)
{
    KeyMemoryLimits limits;
    limits.retention = settings.keyRetention;
    return limits;
}

} // namespace

NodeState::NodeState(ProxySettings from, Metrics &metrics)
    : settings(std::move(from)), counters(metrics),
      keys(settings.self, settings.dataCentres, ownershipLimits(settings), memoryLimits(settings))
{ }

void LimitPlace::release()
{
    NodeState *node = std::exchange(node_, nullptr);
    if (!node)
        return;
    const std::lock_guard lock(node->limitsMutex);
    node->limits.release(customer_);
}

LimitPlace &LimitPlace::operator=(LimitPlace &&other) noexcept
{
    release();
    node_ = std::exchange(other.node_, nullptr);
    customer_ = std::move(other.customer_);
    return *this;
}

Moment presentMoment()
{
    return Moment{now(SteadyClock()), wallClockMs()};
}

WorkerState::WorkerState(NodeState &shared, std::uint64_t seed)
    : node(shared), pool(loop.base(), shared.counters.connectionsOpened),
      servers(shared.settings.self.dataCentre), outcomes(shared.settings.self.dataCentre),
      random(seed)
{ }

WorkerState::~WorkerState() = default;

void WorkerState::endCall(ActiveCall *call)
{
    const auto found = calls.find(call);
    CORNELHEAD_CHECK(found != calls.end());
    ended.push_back(std::move(found->second));
    calls.erase(found);
}

void WorkerState::dropEnded()
{
    ended.clear();
}

} // namespace cornelhead::detail
