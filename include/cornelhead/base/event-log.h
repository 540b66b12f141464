// Structured events as JSON lines on standard output, with bounded memory and non-blocking writes.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "cornelhead/base/clock.h"
#include "cornelhead/base/error.h"
#include "cornelhead/base/metrics.h"

namespace cornelhead {

/// The kind of an event; each kind has its own rate limit in lines per second.
enum class EventKind {
    Lifecycle, ///< Start, stop, reload, or a dependency that became unavailable or available.
    StateChange, ///< The process's view of the cluster or of its configuration changed.
    Failure, ///< A request was refused, failed or retried.
    Success, ///< A request was served; this kind has the lowest rate limit.
};

/// A named value of an event.
struct EventField
{
    using Value = std::variant<std::string, std::int64_t, double, bool>;

    EventField(std::string_view fieldName, std::string_view text)
        : name(fieldName), value(std::string(text))
    { }
    EventField(std::string_view fieldName, const char *text)
        : name(fieldName), value(std::string(text))
    { }
    EventField(std::string_view fieldName, const std::string &text) : name(fieldName), value(text)
    { }
    EventField(std::string_view fieldName, bool flag) : name(fieldName), value(flag) { }
    EventField(std::string_view fieldName, double number) : name(fieldName), value(number) { }
    template <typename Integer>
    requires std::is_integral_v<Integer> EventField(std::string_view fieldName, Integer number)
        : name(fieldName), value(static_cast<std::int64_t>(number))
    { }

    std::string_view name;
    Value value;
};

/// Writes events to standard output.  Not thread-safe: used by one event loop, which calls `flush`
/// periodically.
class EventLog
{
public:
    /// Counts omitted lines in `metrics`, which must outlive the log.
    explicit EventLog(Metrics &metrics);

    /// Queues one line, or omits and counts it if the rate limit of its kind is reached or the
    /// queue is full.
    void write(EventKind kind, std::string_view part, std::string_view event,
               const std::vector<EventField> &fields);
    /// Returns whether the rate limit allows a line of `kind` now, so that callers need not build a
    /// line that would be omitted.  Each false counts as an omitted line.
    bool hasBudget(EventKind kind);
    /// Writes as much as standard output accepts without blocking.
    void flush();
    /// Returns the lines not yet written completely; for tests.
    const std::deque<std::string> &queued() const { return queue_; }

private:
    static constexpr std::size_t kindCount = 4;

    struct Budget
    {
        std::uint32_t used = 0;
        std::uint64_t omitted = 0;
    };

    void resetBudgets();
    void enqueue(std::string line);

    Metrics &metrics_;
    // The second of the wall clock to which `budgets_` apply.
    std::int64_t budgetSecond_ = 0;
    std::vector<Budget> budgets_;
    std::deque<std::string> queue_;
    // Invariant: the sum of the sizes of `queue_`, at most `maxQueuedBytes`.
    std::size_t queuedBytes_ = 0;
    // How many bytes of the first line in `queue_` have been written.
    std::size_t frontBytesWritten_ = 0;
};

} // namespace cornelhead
