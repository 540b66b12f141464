// Splits calls by weight with the least deviation possible.
//
// Load pattern: a part of the split has no room.  Its calls are refused rather than moved, so that
// the shares stay what the operator set.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "cornelhead/base/random.h"

namespace cornelhead {

/// Picks indices so that each is chosen in proportion to its weight in every run of picks (smooth
/// weighted round robin).
class WeightedSplit
{
public:
    /// Starts at a random place, so that many nodes do not begin with the same pick.
    WeightedSplit(std::vector<std::uint32_t> weights, Random &random);

    const std::vector<std::uint32_t> &weights() const { return weights_; }
    /// Returns the index of the next pick; the sum of weights must be above 0.
    std::size_t pick();

private:
    std::vector<std::uint32_t> weights_;
    std::int64_t total_ = 0;
    // Invariant: sums to 0 between picks.
    std::vector<std::int64_t> credit_;
};

} // namespace cornelhead
