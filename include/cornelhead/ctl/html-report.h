// The report as one page of HTML, with a chart of the share over time for each move.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "cornelhead/ctl/report.h"

namespace cornelhead {

/// Renders a page that needs no other file and runs no script.
std::string reportToHtml(const std::vector<ServiceReport> &reports, std::int64_t nowMs);

} // namespace cornelhead
