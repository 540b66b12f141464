// Joins configuration, moves, endpoints and local brakes into the view that the proxy decides from.
#pragma once

#include <memory>
#include <set>

#include "cornelhead/routing/view.h"

namespace cornelhead {

/// Builds routing views and holds the latest of each part.
///
/// Invariant: the revision of the configuration never goes down.
class ViewBuilder
{
public:
    ViewBuilder();

    /// Takes a newer configuration; an older one aborts the process, as it would break the promise
    /// that no proxy returns to an older version.
    void setConfig(std::shared_ptr<const Snapshot> config);
    void setMoves(std::shared_ptr<const MoveTable> moves);
    void setEndpoints(std::shared_ptr<const EndpointTable> endpoints);
    /// Sets the services whose new version gets no calls here.
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
