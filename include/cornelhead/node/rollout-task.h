// Runs the rollout controller on the node that holds the controller's lease.
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

/// The leased key that elects the node that steps moves.
constexpr const char *controllerKey = "cornelhead/controller";

/// Steps moves while this node holds the lease.
///
/// Every write is a compare-and-swap on the record read, so a former holder that resumes after a
/// pause cannot overwrite newer records.
class RolloutTask
{
public:
    RolloutTask(EventLoop &loop, PlatformClient &platform, Metrics &metrics, NodeId self,
                std::uint64_t seed);

    void start();
    /// Sets the latest move records.
    void setMoves(const MoveTable &moves);
    /// Adds outcomes of calls from the whole fleet; only relays receive them.
    void addEvidence(const OutcomeBatch &outcomes);
    /// Sets whether this node may acquire the lease; releases a held lease if not.
    void setEligible(bool eligible);
    /// Releases the lease and stops stepping moves.
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
    bool isAcquiringLease_ = false;
    // Services with a write in flight; at most one write for each service.
    std::set<ServiceId> pendingWrites_;
    Timer tickTimer_;
    Timer renewTimer_;
    TimePoint nextAcquireAt_;
};

} // namespace cornelhead
