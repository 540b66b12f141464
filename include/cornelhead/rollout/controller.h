// Drives moves from call outcomes: the fleet-wide controller and the circuit breaker of one node.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "cornelhead/rollout/judgement.h"
#include "cornelhead/rollout/move.h"
#include "cornelhead/rollout/outcome.h"

namespace cornelhead {

/// Decides the next write of each running move from the outcomes of the whole fleet.
///
/// Does no I/O and reads no clock: the owner passes the time in, and writes what `next` returns by
/// compare-and-swap on the revision at which the move was read.
class MoveController
{
public:
    explicit MoveController(JudgementRules rules = JudgementRules::Current);
    ~MoveController();
    MoveController(MoveController &&) noexcept;
    MoveController &operator=(MoveController &&) noexcept;

    /// Updates the record of a move; ignores a revision that is not newer.
    void observe(const Move &move);
    /// Adds outcomes that the nodes of the fleet reported.
    void addEvidence(const OutcomeBatch &outcomes, std::int64_t nowMs);
    /// Returns the record to write now for `service`, or nothing when no change is due.
    std::optional<Move> next(const ServiceId &service, std::int64_t nowMs);

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

/// Stops calls to a bad new version at one node, on the outcomes seen there.
///
/// Works without the controller and the platform, so that a node cut off from both is safe too.
class LocalCircuitBreaker
{
public:
    LocalCircuitBreaker();
    ~LocalCircuitBreaker();
    LocalCircuitBreaker(LocalCircuitBreaker &&) noexcept;
    LocalCircuitBreaker &operator=(LocalCircuitBreaker &&) noexcept;

    void observe(const Move &move);
    void addEvidence(const OutcomeBatch &outcomes, std::int64_t nowMs);
    /// Returns whether calls of `service` must avoid its new version here, whatever share the
    /// record gives it.
    bool isTripped(const ServiceId &service) const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace cornelhead
