// What a backend server does with each call: slots, queue, cold start, drain and faults, as a state
// machine over an injected clock and seed.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "cornelhead/base/clock.h"
#include "cornelhead/base/random.h"

namespace cornelhead {

/// When the fault of a bad version shows; all conditions must hold.
struct FaultConditions
{
    /// Since the start of the server.
    Milliseconds after{};
    std::string pathPrefix = "/";
    /// Running calls divided by slots.
    double aboveLoad = 0;
};

struct BackendSettings
{
    std::uint32_t slots = 10;
    /// Calls that may wait for a slot.
    std::uint32_t queueLength = 10;
    /// Median time of a call.
    Milliseconds latency{5};
    /// Standard deviation of the logarithm of the time.
    double spread = 0.3;
    Milliseconds coldStart{};
    /// Multiplies the time of a call during the cold start.
    double coldFactor = 3;
    /// Multiplies the time of a call under the fault conditions.
    double slowFactor = 1;
    /// The share of calls that fail under the fault conditions.
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
/// Refuse without running; `reason` is a value of `Cornelhead-Reason`.
struct RefuseCall
{
    std::string_view reason;
};

using Admission = std::variant<RunNow, WaitForSlot, RefuseCall>;

/// How one call will go.
struct RunPlan
{
    Milliseconds duration{};
    bool fails = false;
};

/// Decides for one backend server.
class BackendBehaviour
{
public:
    /// Nodes have this long to stop sending after a drain began; then calls are refused.
    static constexpr Milliseconds drainGrace{2000};

    BackendBehaviour(BackendSettings settings, Clock clock, std::uint64_t seed);

    Admission admit() const;
    /// Puts an admitted call in the queue.
    void enqueue();
    /// Takes a call out of the queue, to be started or refused.
    void dequeue();
    /// Takes a slot for the call.
    RunPlan start(std::string_view path);
    /// Gives the slot back.
    void finish();

    bool hasFreeSlot() const { return running_ < settings_.slots; }
    bool isIdle() const { return running_ == 0 && waiting_ == 0; }
    double load() const;
    void drain();
    /// Tells whether the drain has refused new calls and ended all others.
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
    std::optional<TimePoint> drainingSince_;
    // At most settings_.slots, unless these were lowered meanwhile.
    std::uint32_t running_ = 0;
    std::uint32_t waiting_ = 0;
};

} // namespace cornelhead
