// Counters, gauges and latency summaries, rendered as Prometheus text.
#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "cornelhead/base/clock.h"

namespace cornelhead {

/// Counts events; safe to use from any thread.
class Counter
{
public:
    void add(std::uint64_t amount = 1) { value_.fetch_add(amount, std::memory_order_relaxed); }
    std::uint64_t value() const { return value_.load(std::memory_order_relaxed); }

private:
    std::atomic<std::uint64_t> value_ = 0;
};

/// Holds a value that goes up and down; safe to use from any thread.
class Gauge
{
public:
    void set(std::int64_t value) { value_.store(value, std::memory_order_relaxed); }
    void add(std::int64_t amount) { value_.fetch_add(amount, std::memory_order_relaxed); }
    std::int64_t value() const { return value_.load(std::memory_order_relaxed); }

private:
    std::atomic<std::int64_t> value_ = 0;
};

namespace detail {
struct SummaryState;
}

/// Summarises durations by count, mean, maximum and estimated quantiles (Boost.Accumulators).
class Summary
{
public:
    Summary();
    ~Summary();
    Summary(const Summary &) = delete;
    Summary &operator=(const Summary &) = delete;

    void record(Microseconds duration);
    std::uint64_t count() const;
    /// Returns the estimate of the quantile: 0.5, 0.9, 0.99 or 0.999.
    Microseconds quantile(double probability) const;
    Microseconds mean() const;
    Microseconds maximum() const;

private:
    mutable std::mutex mutex_;
    std::unique_ptr<detail::SummaryState> state_;
};

/// One label of a metric, such as reason="plan-lacks-service".
struct Label
{
    std::string name;
    std::string value;
};

/// Owns all metrics of a process.  References it returns stay valid as long as it lives.
///
///     metrics.counter("cornelhead_refusals_total", {{"reason", "rate"}}).add();
class Metrics
{
public:
    Counter &counter(std::string_view name, const std::vector<Label> &labels = {});
    Gauge &gauge(std::string_view name, const std::vector<Label> &labels = {});
    Summary &summary(std::string_view name, const std::vector<Label> &labels = {});

    /// Renders everything in the Prometheus text format.
    std::string render() const;

private:
    mutable std::mutex mutex_;
    // Keyed by the rendered name with labels, so that one series is found again.
    std::map<std::string, std::unique_ptr<Counter>> counters_;
    std::map<std::string, std::unique_ptr<Gauge>> gauges_;
    std::map<std::string, std::unique_ptr<Summary>> summaries_;
};

} // namespace cornelhead
