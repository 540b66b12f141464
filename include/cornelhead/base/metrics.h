// Counters, gauges and latency summaries, exported in the Prometheus text format.
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

/// A monotonic counter; thread-safe.
class Counter
{
public:
    void add(std::uint64_t amount = 1) { value_.fetch_add(amount, std::memory_order_relaxed); }
    std::uint64_t value() const { return value_.load(std::memory_order_relaxed); }

private:
    std::atomic<std::uint64_t> value_ = 0;
};

/// A value that can go up and down; thread-safe.
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

/// Summarises durations by count, mean, maximum and estimated quantiles (Boost.Accumulators);
/// thread-safe.
class Summary
{
public:
    Summary();
    ~Summary();
    Summary(const Summary &) = delete;
    Summary &operator=(const Summary &) = delete;

    void record(Microseconds duration);
    std::uint64_t count() const;
    /// Returns an estimate of the smallest of the quantiles 0.5, 0.9, 0.99 and 0.999 that is at
    /// least `probability`, beyond these the maximum; 0 without records.
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

/// The metrics registry of a process; thread-safe.  Returned references are valid as long as the
/// registry.
///
///     metrics.counter("cornelhead_refusals_total", {{"reason", "rate"}}).add();
class Metrics
{
public:
    /// These return the series with that name and these labels in that order, created at first use.
    Counter &counter(std::string_view name, const std::vector<Label> &labels = {});
    Gauge &gauge(std::string_view name, const std::vector<Label> &labels = {});
    Summary &summary(std::string_view name, const std::vector<Label> &labels = {});

    /// Returns all series in the Prometheus text format.
    std::string render() const;

private:
    mutable std::mutex mutex_;
    // Keyed by the series name including labels, such as `name{reason="rate"}`.
    std::map<std::string, std::unique_ptr<Counter>> counters_;
    std::map<std::string, std::unique_ptr<Gauge>> gauges_;
    std::map<std::string, std::unique_ptr<Summary>> summaries_;
};

} // namespace cornelhead
