// The report as an HTML page, with a chart of the share over time for each move.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "cornelhead/ctl/report.h"

namespace cornelhead {

/// Renders a self-contained page without scripts.
std::string reportToHtml(const std::vector<ServiceReport> &reports, std::int64_t nowMs);

} // namespace cornelhead
