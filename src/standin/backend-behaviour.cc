// Simulates the slots, queue, latency and faults of a backend server.
#include "cornelhead/standin/backend-behaviour.h"

#include <cmath>

#include "cornelhead/base/check.h"

namespace cornelhead {

std::string_view backendStateName(BackendState state)
{
    switch (state) {
    case BackendState::Starting:
        return "starting";
    case BackendState::Serving:
        return "serving";
    case BackendState::Draining:
        return "draining";
    }
    return "serving";
}

BackendBehaviour::BackendBehaviour(BackendSettings settings, Clock clock, std::uint64_t seed)
    : settings_(std::move(settings)), clock_(std::move(clock)), random_(seed),
      startedAt_(now(clock_))
{ }

Admission BackendBehaviour::admit() const
{
    if (isDrainGraceOver())
        return RefuseCall{"draining"};
    if (hasFreeSlot() && waiting_ == 0)
        return RunNow();
    if (waiting_ < settings_.queueLength)
        return WaitForSlot();
    return RefuseCall{"shed"};
}

void BackendBehaviour::enqueue()
{
    ++waiting_;
}

void BackendBehaviour::dequeue()
{
    CORNELHEAD_CHECK(waiting_ > 0);
    --waiting_;
}

RunPlan BackendBehaviour::start(std::string_view path)
{
    CORNELHEAD_CHECK(hasFreeSlot());
    const bool hasFault = isFaulty(path);
    ++running_;
    double factor
            = std::exp(std::normal_distribution<double>(0, 1)(random_.engine()) * settings_.spread);
    if (state() == BackendState::Starting)
        factor *= settings_.coldFactor;
    if (hasFault)
        factor *= settings_.slowFactor;
    const auto duration = static_cast<double>(settings_.medianLatency.count()) * factor;
    return RunPlan{Milliseconds(std::llround(duration)),
                   random_.chance(settings_.failRate) && hasFault};
}

void BackendBehaviour::finish()
{
    CORNELHEAD_CHECK(running_ > 0);
    --running_;
}

double BackendBehaviour::load() const
{
    return static_cast<double>(running_) / settings_.slots;
}

bool BackendBehaviour::isFaulty(std::string_view path) const
{
    const FaultConditions &conditions = settings_.conditions;
    return now(clock_) - startedAt_ >= conditions.minUptime
            && path.substr(0, conditions.pathPrefix.size()) == conditions.pathPrefix
            && load() >= conditions.minLoad;
}

void BackendBehaviour::drain()
{
    if (!drainStartedAt_)
        drainStartedAt_ = now(clock_);
}

bool BackendBehaviour::isDrainGraceOver() const
{
    return drainStartedAt_ && now(clock_) - *drainStartedAt_ >= drainGracePeriod;
}

bool BackendBehaviour::isDrained() const
{
    return isDrainGraceOver() && isIdle();
}

BackendState BackendBehaviour::state() const
{
    if (drainStartedAt_)
        return BackendState::Draining;
    if (now(clock_) - startedAt_ < settings_.coldStart)
        return BackendState::Starting;
    return BackendState::Serving;
}

} // namespace cornelhead
