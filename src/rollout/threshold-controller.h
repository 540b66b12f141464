// The reference controller of the measurement: fixed steps in time and a failure threshold.
#pragma once

#include <cstdint>
#include <optional>

#include "cornelhead/rollout/move.h"
#include "cornelhead/rollout/outcome.h"

namespace cornelhead::simulation {

/// Raises the share at equal intervals, and rolls the new version back when its failure rate in the
/// current window exceeds that of the old version by a threshold.
class ThresholdController
{
public:
    void observe(const Move &move) { move_ = move; }
    void addEvidence(const OutcomeBatch &outcomes, std::int64_t nowMs);
    std::optional<Move> next(const ServiceId &service, std::int64_t nowMs);

private:
    bool exceedsThreshold() const;

    Move move_;
    OutcomeSums newer_;
    OutcomeSums older_;
    std::int64_t windowStartMs_ = 0;
};

} // namespace cornelhead::simulation
