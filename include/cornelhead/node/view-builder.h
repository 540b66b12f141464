// Combines configuration, moves, endpoints and local circuit breakers into the proxy's routing
// view.
#pragma once

#include <memory>
#include <set>

#include "cornelhead/routing/view.h"

namespace cornelhead {

/// Holds the latest version of each input and builds routing views from them.
///
/// Invariant: the revision of the configuration never decreases.
class ViewBuilder
{
public:
    ViewBuilder();

    /// Sets the configuration.  An older revision aborts the process, since a proxy must never
    /// return to an older configuration.
    void setConfig(std::shared_ptr<const Snapshot> config);
    void setMoves(std::shared_ptr<const MoveTable> moves);
    void setEndpoints(std::shared_ptr<const EndpointTable> endpoints);
    /// Sets the services whose new version gets no calls from this node.
    void setTrippedServices(std::set<ServiceId> services);

    const MoveTable &moves() const { return *moves_; }
    /// Returns the view, or null before the first configuration.
    std::shared_ptr<const RoutingView> build() const;

private:
    std::shared_ptr<const MoveTable> effectiveMoves() const;

    std::shared_ptr<const Snapshot> config_;
    std::shared_ptr<const MoveTable> moves_;
    std::shared_ptr<const EndpointTable> endpoints_;
    std::set<ServiceId> trippedServices_;
};

} // namespace cornelhead
