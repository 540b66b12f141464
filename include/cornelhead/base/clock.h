// Time for decisions: the system's steady clock, or one that a test moves by hand.
#pragma once

#include <chrono>
#include <memory>
#include <variant>

namespace cornelhead {

using Milliseconds = std::chrono::milliseconds;
using Microseconds = std::chrono::microseconds;
/// A point on a monotonic clock; comparable only within one process.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Microseconds>;

/// Reads the monotonic clock of the machine.
struct SteadyClock
{
    TimePoint now() const;
};

/// Stands still until told to move.
class ManualClock
{
public:
    TimePoint now() const { return *now_; }
    void advance(Microseconds by) { *now_ += by; }

private:
    // Copies share one time, so that a test can move the clock that a state machine holds.
    std::shared_ptr<TimePoint> now_ = std::make_shared<TimePoint>();
};

/// Gives the current time to decisions without tying them to the machine.
///
///     Clock clock = ManualClock();
///     TimePoint start = now(clock);
using Clock = std::variant<SteadyClock, ManualClock>;

/// Returns the current time of `clock`.
TimePoint now(const Clock &clock);

/// Returns wall-clock milliseconds since the Unix epoch, for reports only, never for decisions.
std::int64_t wallClockMs();

} // namespace cornelhead
