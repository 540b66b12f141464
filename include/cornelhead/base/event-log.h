// Structured events as JSON lines on standard output: bounded, and never blocking.
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

/// What kind of event a line tells of; each has a budget of lines a second of its own.
enum class EventKind {
    Lifecycle, ///< Start, stop, reload, a dependency lost or regained.
    Belief, ///< What the process takes for true has changed.
    Failure, ///< A request was refused, failed or sent again.
    Success, ///< A request was served; the first to be left out.
};

/// One named value of an event.
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

/// Writes events.  Belongs to one task, whose loop calls `flush` now and then.
class EventLog
{
public:
    /// Counts what was left out in `metrics`.
    explicit EventLog(Metrics &metrics);

    /// Queues one line; left out and counted when the second's budget of its kind is spent.
    void write(EventKind kind, std::string_view part, std::string_view event,
               const std::vector<EventField> &fields);
    /// Tells whether a line of `kind` would be written now, so that none is built for nothing.
    bool hasRoom(EventKind kind);
    /// Writes as much as standard output takes without blocking.
    void flush();
    /// The lines not yet written, for tests.
    const std::deque<std::string> &queued() const { return queue_; }

private:
    static constexpr std::size_t kinds = 4;

    struct Budget
    {
        std::uint32_t used = 0;
        std::uint64_t leftOut = 0;
    };

    void renewBudgets();
    void enqueue(std::string line);

    Metrics &metrics_;
    std::int64_t second_ = 0;
    std::vector<Budget> budgets_;
    // Invariant: queuedBytes_ is the sum of its sizes and at most the limit.
    std::deque<std::string> queue_;
    std::size_t queuedBytes_ = 0;
    std::size_t writtenOfFirst_ = 0;
};

} // namespace cornelhead
