// Implements smooth weighted round robin.
#include "cornelhead/routing/weighted-split.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace cornelhead {

WeightedSplit::WeightedSplit(std::vector<std::uint32_t> weights, Random &random)
    : weights_(std::move(weights)),
      total_(std::accumulate(weights_.begin(), weights_.end(), std::int64_t{0})),
      currentWeights_(weights_.size(), 0)
{
    constexpr std::uint64_t maxSkipped = 1000;
    const auto range = std::min<std::uint64_t>(maxSkipped, static_cast<std::uint64_t>(total_));
    for (std::uint64_t skipped = range == 0 ? 0 : random.below(range); skipped > 0; --skipped)
        pick();
}

std::size_t WeightedSplit::pick()
{
    for (std::size_t i = 0; i < weights_.size(); ++i)
        currentWeights_[i] += weights_[i];
    const auto best = std::max_element(currentWeights_.begin(), currentWeights_.end());
    *best -= total_;
    return static_cast<std::size_t>(best - currentWeights_.begin());
}

} // namespace cornelhead
