// A log-linear histogram of durations: quantiles keep their relative precision, and histograms of
// several threads can be merged.
#pragma once

#include <array>
#include <cstdint>
#include <vector>

#include "cornelhead/base/clock.h"

namespace cornelhead {

/// Counts durations from 0 to about 38 hours with a relative error below 2 %.
class LatencyHistogram
{
public:
    struct Bucket
    {
        /// Inclusive.
        Microseconds upperBound{};
        std::uint64_t count = 0;
    };

    void record(Microseconds duration);
    void merge(const LatencyHistogram &other);
    std::uint64_t count() const { return count_; }
    /// Returns the upper bound of the bucket that holds the quantile, capped at the maximum.
    Microseconds quantile(double probability) const;
    Microseconds maximum() const { return maximum_; }
    /// Returns the buckets that are not empty.
    std::vector<Bucket> buckets() const;

private:
    static constexpr std::size_t bucketsPerOctave = 64;
    static constexpr std::size_t octaves = 32;

    static std::size_t bucketIndex(Microseconds duration);
    static Microseconds upperBoundOf(std::size_t index);

    std::array<std::uint64_t, bucketsPerOctave * octaves> counts_{};
    // The sum of counts_.
    std::uint64_t count_ = 0;
    Microseconds maximum_{};
};

} // namespace cornelhead
