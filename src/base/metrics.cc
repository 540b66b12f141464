// Implements the metrics registry; summaries use Boost.Accumulators.
#include "cornelhead/base/metrics.h"

#include <array>
#include <sstream>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>

namespace cornelhead {
namespace detail {

namespace acc = boost::accumulators;

constexpr std::array<double, 4> quantileProbabilities = {0.5, 0.9, 0.99, 0.999};

using Accumulator = acc::accumulator_set<
        double,
        acc::stats<acc::tag::count, acc::tag::mean, acc::tag::max, acc::tag::extended_p_square>>;

struct SummaryState
{
    Accumulator values{acc::tag::extended_p_square::probabilities = quantileProbabilities};
};

std::string seriesName(std::string_view name, const std::vector<Label> &labels)
{
    std::string text(name);
    if (labels.empty())
        return text;
    text += '{';
    for (const Label &label : labels) {
        if (text.back() != '{')
            text += ',';
        text += label.name + "=\"" + label.value + "\"";
    }
    return text + '}';
}

template <typename T>
T &findOrCreate(std::map<std::string, std::unique_ptr<T>> &series, const std::string &name)
{
    std::unique_ptr<T> &slot = series[name];
    if (!slot)
        slot = std::make_unique<T>();
    return *slot;
}

std::string withSuffix(const std::string &series, const std::string &suffix)
{
    const std::size_t brace = series.find('{');
    if (brace == std::string::npos)
        return series + suffix;
    return series.substr(0, brace) + suffix + series.substr(brace);
}

std::string withQuantile(const std::string &series, double probability)
{
    std::ostringstream label;
    label << "quantile=\"" << probability << "\"}";
    if (series.back() == '}')
        return series.substr(0, series.size() - 1) + "," + label.str();
    return series + "{" + label.str();
}

void renderSummary(std::ostringstream &out, const std::string &series, const Summary &summary)
{
    for (const double probability : quantileProbabilities) {
        out << withQuantile(series, probability) << ' ' << summary.quantile(probability).count()
            << '\n';
    }
    out << withSuffix(series, "_count") << ' ' << summary.count() << '\n';
    out << withSuffix(series, "_mean") << ' ' << summary.mean().count() << '\n';
    out << withSuffix(series, "_max") << ' ' << summary.maximum().count() << '\n';
}

} // namespace detail

Summary::Summary() : state_(std::make_unique<detail::SummaryState>()) { }
Summary::~Summary() = default;

void Summary::record(Microseconds duration)
{
    const std::lock_guard lock(mutex_);
    state_->values(static_cast<double>(duration.count()));
}

std::uint64_t Summary::count() const
{
    const std::lock_guard lock(mutex_);
    return detail::acc::count(state_->values);
}

Microseconds Summary::quantile(double probability) const
{
    const std::lock_guard lock(mutex_);
    if (detail::acc::count(state_->values) == 0)
        return Microseconds(0);
    const auto &estimates = detail::acc::extended_p_square(state_->values);
    for (std::size_t i = 0; i < detail::quantileProbabilities.size(); ++i) {
        if (probability <= detail::quantileProbabilities[i])
            return Microseconds(static_cast<std::int64_t>(estimates[static_cast<long>(i)]));
    }
    return Microseconds(static_cast<std::int64_t>(detail::acc::max(state_->values)));
}

Microseconds Summary::mean() const
{
    const std::lock_guard lock(mutex_);
    if (detail::acc::count(state_->values) == 0)
        return Microseconds(0);
    return Microseconds(static_cast<std::int64_t>(detail::acc::mean(state_->values)));
}

Microseconds Summary::maximum() const
{
    const std::lock_guard lock(mutex_);
    if (detail::acc::count(state_->values) == 0)
        return Microseconds(0);
    return Microseconds(static_cast<std::int64_t>(detail::acc::max(state_->values)));
}

Counter &Metrics::counter(std::string_view name, const std::vector<Label> &labels)
{
    const std::lock_guard lock(mutex_);
    return detail::findOrCreate(counters_, detail::seriesName(name, labels));
}

Gauge &Metrics::gauge(std::string_view name, const std::vector<Label> &labels)
{
    const std::lock_guard lock(mutex_);
    return detail::findOrCreate(gauges_, detail::seriesName(name, labels));
}

Summary &Metrics::summary(std::string_view name, const std::vector<Label> &labels)
{
    const std::lock_guard lock(mutex_);
    return detail::findOrCreate(summaries_, detail::seriesName(name, labels));
}

std::string Metrics::render() const
{
    const std::lock_guard lock(mutex_);
    std::ostringstream out;
    for (const auto &[name, counter] : counters_)
        out << name << ' ' << counter->value() << '\n';
    for (const auto &[name, gauge] : gauges_)
        out << name << ' ' << gauge->value() << '\n';
    for (const auto &[name, summary] : summaries_)
        detail::renderSummary(out, name, *summary);
    return out.str();
}

} // namespace cornelhead
