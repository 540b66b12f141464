// Builds routing views.
#include "cornelhead/node/view-builder.h"

#include "cornelhead/base/check.h"

namespace cornelhead {
namespace detail {

// Routes calls as after a rollback of the move; a completed move is not affected.
void routeToOldVersion(Move &move)
{
    if (move.state == MoveState::Done)
        return;
    move.state = MoveState::RolledBack;
    move.share = PerMille(0);
}

} // namespace detail

ViewBuilder::ViewBuilder()
    : moves_(std::make_shared<MoveTable>()), endpoints_(std::make_shared<EndpointTable>())
{ }

void ViewBuilder::setConfig(std::shared_ptr<const Snapshot> config)
{
    CORNELHEAD_CHECK(!config_ || config->revision() >= config_->revision());
    config_ = std::move(config);
}

void ViewBuilder::setMoves(std::shared_ptr<const MoveTable> moves)
{
    moves_ = std::move(moves);
}

void ViewBuilder::setEndpoints(std::shared_ptr<const EndpointTable> endpoints)
{
    endpoints_ = std::move(endpoints);
}

void ViewBuilder::setTrippedServices(std::set<ServiceId> services)
{
    trippedServices_ = std::move(services);
}

std::shared_ptr<const MoveTable> ViewBuilder::effectiveMoves() const
{
    if (trippedServices_.empty())
        return moves_;
    auto moves = std::make_shared<MoveTable>(*moves_);
    for (const ServiceId &service : trippedServices_) {
        const auto found = moves->moves.find(service);
        if (found != moves->moves.end())
            detail::routeToOldVersion(found->second);
    }
    return moves;
}

std::shared_ptr<const RoutingView> ViewBuilder::build() const
{
    if (!config_)
        return nullptr;
    return std::make_shared<RoutingView>(RoutingView{config_, effectiveMoves(), endpoints_});
}

} // namespace cornelhead
