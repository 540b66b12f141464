// Checks a route table before it is sent to the nodes.
//
// A table that `RouteTable::build` accepts may still hold entries without effect, and limits that
// contradict each other; they are found here rather than by callers.  Only what follows from the
// configuration alone is reported, not what depends on servers or load.
#pragma once

#include "cornelhead/config/configuration-findings.h"
#include "cornelhead/config/route-table.h"

namespace cornelhead {

/// Finds entries without effect and limits that contradict each other.
Findings checkConfiguration(const RouteTable &table);

/// Returns what `next` adds, removes and changes; keys are only counted.  Of routes or services
/// with the same name, only the first is compared.  Also finds a `next` that differs without a
/// higher revision.
Findings compareConfigurations(const RouteTable &inForce, const RouteTable &next);

} // namespace cornelhead
