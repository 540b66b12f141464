// Splits calls by weight with minimal deviation.
//
// Load pattern: one target of the split is overloaded.  Its calls are refused rather than sent to
// another target, so that the shares stay as the operator set them.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "cornelhead/base/random.h"

namespace cornelhead {

/// Smooth weighted round robin: each index is picked in proportion to its weight in any sequence of
/// picks.
class WeightedSplit
{
public:
    /// Starts at a random position, so that nodes do not all start with the same pick.
    WeightedSplit(std::vector<std::uint32_t> weights, Random &random);

    const std::vector<std::uint32_t> &weights() const { return weights_; }
    /// Returns the next index.  The sum of the weights must be positive.
    std::size_t pick();

private:
    std::vector<std::uint32_t> weights_;
    std::int64_t total_ = 0;
    // Invariant: sums to 0 between picks.
    std::vector<std::int64_t> currentWeights_;
};

} // namespace cornelhead
