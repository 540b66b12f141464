// Runs the rollout controller on the node that holds the controller's lease.
#include "cornelhead/node/rollout-task.h"

#include <algorithm>

#include "cornelhead/base/log.h"
#include "cornelhead/config/manifest.h"

namespace cornelhead {
namespace detail {

constexpr const char *rolloutPart = "rollout";
constexpr Milliseconds stepPeriod = Milliseconds(200);
constexpr Milliseconds controllerLeaseTtl = Milliseconds(3000);
constexpr Milliseconds leaseRenewPeriod = Milliseconds(1000);
constexpr Milliseconds acquireRetryPeriod = Milliseconds(1000);

bool isActive(const Move &move)
{
    return move.state != MoveState::Done && move.state != MoveState::RolledBack;
}

} // namespace detail

RolloutTask::RolloutTask(EventLoop &loop, PlatformClient &platform, Metrics &metrics, NodeId self,
                         std::uint64_t seed)
    : platform_(&platform), loop_(&loop), self_(std::move(self)), random_(seed),
      steps_(metrics.counter("cornelhead_move_steps_total")),
      conflicts_(metrics.counter("cornelhead_move_conflicts_total")),
      unknownWrites_(metrics.counter("cornelhead_move_unknown_writes_total"))
{ }

void RolloutTask::start()
{
    tickTimer_ = loop_->every(detail::stepPeriod, [this] { tick(); });
    renewTimer_ = loop_->every(detail::leaseRenewPeriod, [this] { renewLease(); });
}

void RolloutTask::setMoves(const MoveTable &moves)
{
    moves_ = moves;
    for (const auto &[service, move] : moves_.moves)
        controller_.observe(move);
}

void RolloutTask::addEvidence(const OutcomeBatch &outcomes)
{
    controller_.addEvidence(outcomes, wallClockMs());
}

void RolloutTask::setEligible(bool eligible)
{
    isEligible_ = eligible;
}

void RolloutTask::stop()
{
    tickTimer_ = Timer();
    renewTimer_ = Timer();
    releaseLease();
}

void RolloutTask::tick()
{
    if (!isEligible_ || !hasActiveMove()) {
        releaseLease();
        return;
    }
    if (lease_)
        stepActiveMoves();
    else
        tryAcquireLease();
}

bool RolloutTask::hasActiveMove() const
{
    return std::any_of(moves_.moves.begin(), moves_.moves.end(),
                       [](const auto &entry) { return detail::isActive(entry.second); });
}

void RolloutTask::tryAcquireLease()
{
    const TimePoint currentTime = now(SteadyClock());
    if (isAcquiringLease_ || currentTime < nextAcquireAt_)
        return;
    isAcquiringLease_ = true;
    nextAcquireAt_
            = currentTime + detail::acquireRetryPeriod + random_.jitter(detail::acquireRetryPeriod);
    platform_->get(controllerKey, [this](Result<std::optional<KeyValue>> holder) {
        if (!holder || holder->has_value()) {
            isAcquiringLease_ = false;
            return;
        }
        platform_->grantLease(detail::controllerLeaseTtl, [this](Result<LeaseId> lease) {
            if (lease)
                writeControllerKey(*lease);
            else
                isAcquiringLease_ = false;
        });
    });
}

void RolloutTask::writeControllerKey(const LeaseId &lease)
{
    platform_->put(controllerKey, self_.value(), ExpectedRevision{ModRevision(0)}, lease,
                   [this, lease](const Result<ModRevision> &written) {
                       isAcquiringLease_ = false;
                       if (!written) {
                           platform_->revoke(lease, [](const Result<void> &) {});
                           return;
                       }
                       lease_ = lease;
                       CORNELHEAD_LOG(INFO, detail::rolloutPart)
                               << "Acquired the controller lease; this node now steps moves.";
                   });
}

void RolloutTask::renewLease()
{
    if (!lease_)
        return;
    platform_->keepAlive(*lease_, [this, lease = *lease_](const Result<void> &renewed) {
        const bool isLost = !renewed && renewed.error().kind == ErrorKind::NotFound;
        if (!isLost || lease_ != lease)
            return;
        lease_.reset();
        CORNELHEAD_LOG(WARNING, detail::rolloutPart)
                << "The controller lease expired; another node may step moves.";
    });
}

void RolloutTask::releaseLease()
{
    if (!lease_)
        return;
    platform_->revoke(*lease_, [](const Result<void> &) {});
    lease_.reset();
}

void RolloutTask::stepActiveMoves()
{
    for (const auto &[service, move] : moves_.moves) {
        if (detail::isActive(move) && pendingWrites_.count(service) == 0)
            stepMove(service);
    }
}

void RolloutTask::stepMove(const ServiceId &service)
{
    const std::optional<Move> next = controller_.next(service, wallClockMs());
    if (!next)
        return;
    pendingWrites_.insert(service);
    const std::string key = movePrefix + service.value();
    platform_->put(key, encodeMove(*next), ExpectedRevision{next->modRevision}, std::nullopt,
                   [this, next](const Result<ModRevision> &written) {
                       pendingWrites_.erase(next->service);
                       if (!written) {
                           const bool isConflict = written.error().kind == ErrorKind::Conflict;
                           (isConflict ? conflicts_ : unknownWrites_).add();
                           return;
                       }
                       steps_.add();
                       Move stored = *next;
                       stored.modRevision = *written;
                       controller_.observe(stored);
                       CORNELHEAD_LOG(INFO, detail::rolloutPart)
                               << "Move of " << stored.service.value() << " to "
                               << stored.newVersion.value() << " is " << moveStateName(stored.state)
                               << " with share " << stored.share.value() << "/1000.";
                   });
}

} // namespace cornelhead
