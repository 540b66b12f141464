// Draws what callers got of both versions over a move, for a report in HTML.
#pragma once

#include <cstdint>
#include <string>

#include "cornelhead/rollout/move.h"

namespace cornelhead {

/// Returns two SVG charts, of failed calls and of the 95th percentile of latency, the new version
/// in red and the old one in blue.  `nowMs` ends the charts of a move that is not over.
std::string renderEvidenceCharts(const Move &move, std::int64_t nowMs);

} // namespace cornelhead
