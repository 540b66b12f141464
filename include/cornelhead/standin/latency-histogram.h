// A histogram of durations whose buckets grow in proportion, so that quantiles keep their precision
// and histograms of several threads can be added.
#pragma once

#include <array>
#include <cstdint>
#include <vector>

#include "cornelhead/base/clock.h"

namespace cornelhead {

/// Counts durations from 0 to about an hour with an error below 2 %.
class LatencyHistogram
{
public:
    struct Bucket
    {
        /// The greatest duration of the bucket.
        Microseconds upperBound{};
        std::uint64_t count = 0;
    };

    void record(Microseconds duration);
    void add(const LatencyHistogram &other);
    std::uint64_t count() const { return count_; }
    /// Returns the upper upperBound of the bucket that holds the quantile, at most the maximum.
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
