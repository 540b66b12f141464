// Simulates how a backend server handles calls: slots, queue, cold start, drain and faults, as a
// state machine with an injected clock and seed.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "cornelhead/base/clock.h"
#include "cornelhead/base/random.h"

namespace cornelhead {

/// When the simulated fault is active; all conditions must hold.
struct FaultConditions
{
    /// Since the start of the server.
    Milliseconds minUptime{};
    std::string pathPrefix = "/";
    /// Running calls divided by slots.
    double minLoad = 0;
};

struct BackendSettings
{
    std::uint32_t slots = 10;
    /// Calls that may wait for a slot.
    std::uint32_t queueLength = 10;
    Milliseconds medianLatency{5};
    /// Standard deviation of the natural logarithm of the latency (log-normal distribution).
    double spread = 0.3;
    Milliseconds coldStart{};
    /// Multiplies the latency during the cold start.
    double coldFactor = 3;
    /// Multiplies the latency of a call under the fault conditions.
    double slowFactor = 1;
    /// Fraction of calls that fail under the fault conditions.
    double failRate = 0;
    FaultConditions conditions;
};

enum class BackendState { Starting, Serving, Draining };

/// Returns the name that announcements use.
std::string_view backendStateName(BackendState state);

struct RunNow
{ };
struct WaitForSlot
{ };
/// Refuse the call without running it; `reason` is a value of `Cornelhead-Reason`.
struct RefuseCall
{
    std::string_view reason;
};

using Admission = std::variant<RunNow, WaitForSlot, RefuseCall>;

/// The simulated outcome of one call.
struct RunPlan
{
    Milliseconds duration{};
    bool fails = false;
};

/// Decides the admission, duration and failure of the calls of one backend server.
class BackendBehaviour
{
public:
    /// Time for nodes to stop sending after a drain began; later calls are refused.
    static constexpr Milliseconds drainGracePeriod{2000};

    BackendBehaviour(BackendSettings settings, Clock clock, std::uint64_t seed);

    Admission admit() const;
    /// Adds an admitted call to the queue.
    void enqueue();
    /// Removes a call from the queue; the caller starts or refuses it.
    void dequeue();
    /// Occupies a free slot until `finish`.
    RunPlan start(std::string_view path);
    /// Releases the slot.
    void finish();

    bool hasFreeSlot() const { return running_ < settings_.slots; }
    bool isIdle() const { return running_ == 0 && waiting_ == 0; }
    /// Running calls divided by slots.
    double load() const;
    void drain();
    /// True once new calls are refused and all admitted calls have ended.
    bool isDrained() const;
    BackendState state() const;
    BackendSettings &settings() { return settings_; }
    const BackendSettings &settings() const { return settings_; }

private:
    bool isFaulty(std::string_view path) const;
    bool isDrainGraceOver() const;

    BackendSettings settings_;
    Clock clock_;
    Random random_;
    TimePoint startedAt_;
    std::optional<TimePoint> drainStartedAt_;
    // At most settings_.slots, unless the setting was lowered meanwhile.
    std::uint32_t running_ = 0;
    std::uint32_t waiting_ = 0;
};

} // namespace cornelhead
