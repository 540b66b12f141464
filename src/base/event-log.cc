// Implements the event log.
#include "cornelhead/base/event-log.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <charconv>

namespace cornelhead {
namespace detail {

constexpr std::array<const char *, 4> kindNames = {"lifecycle", "belief", "failure", "success"};
/// The rate limits.  A node serves up to a hundred requests a second; failures are rarer, and their
/// lines are needed.
constexpr std::array<std::uint32_t, 4> linesPerSecond = {50, 50, 60, 5};
constexpr std::size_t maxQueuedBytes = 256 * 1024;
/// A pipe that polls writable accepts this many bytes without blocking (PIPE_BUF on Linux).
constexpr std::size_t maxAtomicWriteBytes = 4096;

void appendEscaped(std::string &line, std::string_view text)
{
    constexpr unsigned char firstPrintable = 0x20;
    constexpr unsigned char lastAscii = 0x7e;
    line += '"';
    for (const char c : text) {
        const auto byte = static_cast<unsigned char>(c);
        if (c == '"' || c == '\\')
            line += '\\';
        line += byte < firstPrintable || byte > lastAscii ? '?' : c;
    }
    line += '"';
}

void appendValue(std::string &line, const EventField::Value &value)
{
    struct Append
    {
        std::string &line;
        void operator()(const std::string &text) const { appendEscaped(line, text); }
        void operator()(bool flag) const { line += flag ? "true" : "false"; }
        void operator()(std::int64_t number) const { line += std::to_string(number); }
        void operator()(double number) const
        {
            constexpr int digits = 4;
            std::array<char, 32> text{};
            const auto end = std::to_chars(text.data(), text.data() + text.size(), number,
                                           std::chars_format::general, digits);
            line.append(text.data(), end.ptr);
        }
    };
    std::visit(Append{line}, value);
}

} // namespace detail

EventLog::EventLog(Metrics &metrics) : metrics_(metrics), budgets_(kindCount) { }

bool EventLog::hasBudget(EventKind kind)
{
    resetBudgets();
    Budget &budget = budgets_[static_cast<std::size_t>(kind)];
    if (budget.used < detail::linesPerSecond[static_cast<std::size_t>(kind)])
        return true;
    ++budget.omitted;
    return false;
}

void EventLog::write(EventKind kind, std::string_view part, std::string_view event,
                     const std::vector<EventField> &fields)
{
    if (!hasBudget(kind))
        return;
    ++budgets_[static_cast<std::size_t>(kind)].used;
    std::string line = "{\"timeMs\":" + std::to_string(wallClockMs()) + ",\"kind\":\"";
    line += detail::kindNames[static_cast<std::size_t>(kind)];
    line += "\",\"part\":";
    detail::appendEscaped(line, part);
    line += ",\"event\":";
    detail::appendEscaped(line, event);
    for (const EventField &field : fields) {
        line += ',';
        detail::appendEscaped(line, field.name);
        line += ':';
        detail::appendValue(line, field.value);
    }
    line += "}\n";
    enqueue(std::move(line));
}

void EventLog::resetBudgets()
{
    constexpr std::int64_t msPerSecond = 1000;
    const std::int64_t second = wallClockMs() / msPerSecond;
    if (second == budgetSecond_)
        return;
    budgetSecond_ = second;
    for (std::size_t i = 0; i < kindCount; ++i) {
        if (budgets_[i].omitted > 0) {
            metrics_.counter("cornelhead_log_lines_left_out_total",
                             {{"kind", detail::kindNames[i]}})
                    .add(budgets_[i].omitted);
        }
        budgets_[i] = Budget();
    }
}

void EventLog::enqueue(std::string line)
{
    if (queuedBytes_ + line.size() > detail::maxQueuedBytes) {
        metrics_.counter("cornelhead_log_lines_left_out_total", {{"kind", "unread"}}).add();
        return;
    }
    queuedBytes_ += line.size();
    queue_.push_back(std::move(line));
}

void EventLog::flush()
{
    pollfd output{STDOUT_FILENO, POLLOUT, 0};
    while (!queue_.empty() && poll(&output, 1, 0) > 0 && (output.revents & POLLOUT) != 0) {
        std::string batch = queue_.front().substr(frontBytesWritten_);
        for (std::size_t i = 1; i < queue_.size(); ++i) {
            if (batch.size() + queue_[i].size() > detail::maxAtomicWriteBytes)
                break;
            batch += queue_[i];
        }
        batch.resize(std::min(batch.size(), detail::maxAtomicWriteBytes));
        const ssize_t written = ::write(STDOUT_FILENO, batch.data(), batch.size());
        if (written <= 0)
            return;
        auto remaining = static_cast<std::size_t>(written);
        while (remaining > 0 && remaining >= queue_.front().size() - frontBytesWritten_) {
            remaining -= queue_.front().size() - frontBytesWritten_;
            queuedBytes_ -= queue_.front().size();
            queue_.pop_front();
            frontBytesWritten_ = 0;
        }
        frontBytesWritten_ += remaining;
    }
}

} // namespace cornelhead
