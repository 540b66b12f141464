// The baseline of the measurement: fixed steps in time, and a threshold of failures.
#pragma once

#include <cstdint>
#include <optional>

#include "cornelhead/rollout/move.h"
#include "cornelhead/rollout/outcome.h"

namespace cornelhead::simulation {

/// Raises the share in equal steps of time and takes a version back when its failure rate over the
/// last seconds is above the old one's by a threshold.
class ThresholdController
{
public:
    void observe(const Move &move) { move_ = move; }
    void addEvidence(const OutcomeBatch &outcomes, std::int64_t nowMs);
    std::optional<Move> next(const ServiceId &service, std::int64_t nowMs);

private:
    bool isBad() const;

    Move move_;
    OutcomeSums newer_;
    OutcomeSums older_;
    std::int64_t windowStartMs_ = 0;
};

} // namespace cornelhead::simulation
