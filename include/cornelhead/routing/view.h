// The immutable state that proxies route calls by, replaced as a whole.
#pragma once

#include <memory>

#include "cornelhead/config/snapshot.h"
#include "cornelhead/membership/endpoint.h"
#include "cornelhead/rollout/move.h"

namespace cornelhead {

/// A consistent snapshot of configuration, moves and endpoints; immutable once shared.
///
/// Invariant: `config`, `moves` and `endpoints` are never null.
struct RoutingView
{
    std::shared_ptr<const Snapshot> config;
    std::shared_ptr<const MoveTable> moves;
    std::shared_ptr<const EndpointTable> endpoints;
};

} // namespace cornelhead
