// Drives moves from the node that holds the controller's lease.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>

#include "cornelhead/base/metrics.h"
#include "cornelhead/base/random.h"
#include "cornelhead/net/event-loop.h"
#include "cornelhead/platform/client.h"
#include "cornelhead/rollout/controller.h"

namespace cornelhead {

/// The key whose lease chooses the node that steps moves.
constexpr const char *controllerKey = "cornelhead/controller";

/// Steps moves while it holds the lease; every write is a compare-and-swap on the record it read,
/// so a holder that was paused can do no harm.
class RolloutTask
{
public:
    RolloutTask(EventLoop &loop, PlatformClient &platform, Metrics &metrics, NodeId self,
                std::uint64_t seed);

    void start();
    /// Takes the latest records.
    void setMoves(const MoveTable &moves);
    /// Takes outcomes of the fleet; only a relay has them.
    void addEvidence(const OutcomeBatch &outcomes);
    /// Tells whether this node may compete for the lease.
    void setEligible(bool eligible);
    /// Gives up the lease and steps no further move.
    void stop();
    bool isController() const { return lease_.has_value(); }

private:
    void tick();
    bool hasActiveMove() const;
    void tryAcquireLease();
    void writeControllerKey(const LeaseId &lease);
    void renewLease();
    void releaseLease();
    void stepActiveMoves();
    void stepMove(const ServiceId &service);

    PlatformClient *platform_;
    EventLoop *loop_;
    NodeId self_;
    Random random_;
    Counter &steps_;
    Counter &conflicts_;
    Counter &unknownWrites_;
    MoveController controller_;
    MoveTable moves_;
    std::optional<LeaseId> lease_;
    bool isEligible_ = false;
    bool isAcquiring_ = false;
    // Services with a write whose answer is awaited; at most one each.
    std::set<ServiceId> pendingWrites_;
    Timer tickTimer_;
    Timer renewTimer_;
    TimePoint nextAcquireAt_;
};

} // namespace cornelhead
