// Injectable clocks: the system's monotonic clock, or one that a test advances.
#pragma once

#include <chrono>
#include <memory>
#include <variant>

namespace cornelhead {

using Milliseconds = std::chrono::milliseconds;
using Microseconds = std::chrono::microseconds;
/// A point on a monotonic clock; comparable only within one process.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Microseconds>;

/// Reads the monotonic clock of the machine, which also counts the time that the machine was
/// suspended: other machines go on meanwhile, and deadlines and leases with them.
struct SteadyClock
{
    TimePoint now() const;
};

/// A clock for tests that advances only on request.
class ManualClock
{
public:
    TimePoint now() const { return *now_; }
    void advance(Microseconds by) { *now_ += by; }

private:
    // Copies share the time, so that a test can advance the clock that a state machine holds.
    std::shared_ptr<TimePoint> now_ = std::make_shared<TimePoint>();
};

/// The clock that time-dependent code is given, so that tests can control time.
///
///     Clock clock = ManualClock();
///     TimePoint start = now(clock);
using Clock = std::variant<SteadyClock, ManualClock>;

TimePoint now(const Clock &clock);

/// Returns wall-clock milliseconds since the Unix epoch.  Only for logs and reports: the wall clock
/// may jump, so timeouts and other decisions use `Clock`.
std::int64_t wallClockMs();

} // namespace cornelhead
