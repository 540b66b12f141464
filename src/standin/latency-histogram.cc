// Counts durations in log-linear buckets.
#include "cornelhead/standin/latency-histogram.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace cornelhead {

// Each duration below bucketsPerOctave microseconds has its own bucket; above, each octave has
// bucketsPerOctave buckets.
std::size_t LatencyHistogram::bucketIndex(Microseconds duration)
{
    const auto value = static_cast<std::uint64_t>(std::max<std::int64_t>(duration.count(), 0));
    if (value < bucketsPerOctave)
        return value;
    const auto octave = static_cast<std::size_t>(std::bit_width(value / bucketsPerOctave));
    const std::size_t position = (value >> (octave - 1)) - bucketsPerOctave;
    return std::min(octave * bucketsPerOctave + position, bucketsPerOctave * octaves - 1);
}

Microseconds LatencyHistogram::upperBoundOf(std::size_t index)
{
    if (index < bucketsPerOctave)
        return Microseconds(index);
    const std::size_t octave = index / bucketsPerOctave;
    const std::size_t position = index % bucketsPerOctave + bucketsPerOctave;
    return Microseconds(((position + 1) << (octave - 1)) - 1);
}

void LatencyHistogram::record(Microseconds duration)
{
    ++counts_[bucketIndex(duration)];
    ++count_;
    maximum_ = std::max(maximum_, duration);
}

void LatencyHistogram::merge(const LatencyHistogram &other)
{
    for (std::size_t i = 0; i < counts_.size(); ++i)
        counts_[i] += other.counts_[i];
    count_ += other.count_;
    maximum_ = std::max(maximum_, other.maximum_);
}

Microseconds LatencyHistogram::quantile(double probability) const
{
    const auto rank
            = static_cast<std::uint64_t>(std::ceil(probability * static_cast<double>(count_)));
    std::uint64_t cumulative = 0;
    for (std::size_t i = 0; i < counts_.size(); ++i) {
        cumulative += counts_[i];
        if (cumulative >= rank && cumulative > 0)
            return std::min(upperBoundOf(i), maximum_);
    }
    return maximum_;
}

std::vector<LatencyHistogram::Bucket> LatencyHistogram::buckets() const
{
    std::vector<Bucket> result;
    for (std::size_t i = 0; i < counts_.size(); ++i) {
        if (counts_[i] > 0)
            result.push_back(Bucket{upperBoundOf(i), counts_[i]});
    }
    return result;
}

} // namespace cornelhead
