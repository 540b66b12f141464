// Implements workers.
#include "cornelhead/proxy/worker.h"

#include <algorithm>

#include "cornelhead/proxy/key-handover.h"

namespace cornelhead::detail {

namespace {

constexpr std::size_t maxBufferedBytes = 64 * 1024 * 1024;
constexpr Milliseconds tickPeriod = Milliseconds(100);
constexpr Milliseconds upstreamIdleTimeout = Milliseconds(10'000);
constexpr Milliseconds idleCustomerTimeout = Milliseconds(60'000);
constexpr Milliseconds drainPollInterval = Milliseconds(20);
// While draining, callers with open connections have this long to send another call, whose response
// closes the connection.
constexpr Milliseconds drainQuietPeriod = Milliseconds(300);

} // namespace

Worker::Worker(NodeState &node, std::uint64_t seed)
    : state_(node, seed), dispatcher_(state_),
      listener_(state_.loop, node.counters,
                [this](evhttp_request *request) { dispatcher_.onRequest(request); })
{
    state_.loop.buffers().setLimit(maxBufferedBytes);
}

Worker::~Worker()
{
    if (thread_.joinable()) {
        state_.loop.stop();
        thread_.join();
    }
    // Open calls are destroyed before the listener frees the requests of their callers.
    state_.calls.clear();
    state_.endedCalls.clear();
}

void Worker::start()
{
    tick_ = state_.loop.every(tickPeriod, [this] { onTick(); });
    thread_ = std::thread([this] { state_.loop.run(); });
}

void Worker::setView(std::shared_ptr<const RoutingView> view)
{
    state_.loop.post([this, view = std::move(view)] { applyView(view); });
}

void Worker::applyView(std::shared_ptr<const RoutingView> view)
{
    const auto nodes = static_cast<std::uint32_t>(view->endpoints->nodes.size());
    state_.servers.update(*view->endpoints, ConnectionSplit{nodes, state_.node.settings.workers});
    dispatcher_.setView(std::move(view));
    state_.scheduleAllQueued();
}

void Worker::onTick()
{
    state_.destroyEndedCalls();
    listener_.sweep();
    state_.retries.addTime(tickPeriod);
    const TimePoint time = now(SteadyClock());
    state_.pool.closeIdle(time - upstreamIdleTimeout);
    state_.scheduleAllQueued();
    state_.node.poison.expire(time);
    {
        const std::lock_guard lock(state_.node.limitsMutex);
        state_.node.limits.evictIdle(time - idleCustomerTimeout);
    }
    const std::lock_guard lock(state_.node.keysMutex);
    state_.node.keys.tick(currentMoment());
}

void Worker::retireKeys(std::function<void()> onDone)
{
    state_.loop.post([this, onDone = std::move(onDone)] {
        state_.startCall(std::make_unique<RetireCall>(state_, onDone)).start();
    });
}

void Worker::drain(std::function<void()> onDone)
{
    state_.loop.post([this, onDone = std::move(onDone)] { startDrain(onDone); });
}

void Worker::startDrain(std::function<void()> onDone)
{
    state_.isDraining = true;
    onDrained_ = std::move(onDone);
    drainStartedAt_ = now(SteadyClock());
    drainTimer_ = state_.loop.every(drainPollInterval, [this] { checkDrained(); });
    listener_.stopListening();
}

void Worker::checkDrained()
{
    const TimePoint quietSince = std::max(drainStartedAt_, dispatcher_.lastRequestTime());
    const bool isQuiet = now(SteadyClock()) - quietSince >= drainQuietPeriod;
    if (listener_.isListening() || !state_.calls.empty() || !isQuiet)
        return;
    drainTimer_ = Timer();
    if (const auto onDrained = std::exchange(onDrained_, nullptr))
        onDrained();
}

} // namespace cornelhead::detail
