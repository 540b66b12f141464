// Draws the failure rates and latencies of both versions during a move, for the HTML report.
#pragma once

#include <cstdint>
#include <string>

#include "cornelhead/rollout/move.h"

namespace cornelhead {

/// Returns two SVG charts: the percentage of failed calls and the 95th percentile of latency.  The
/// new version is red, the old one blue.  `nowMs` is the end of the time axis while the move is not
/// final.
std::string renderEvidenceCharts(const Move &move, std::int64_t nowMs);

} // namespace cornelhead
