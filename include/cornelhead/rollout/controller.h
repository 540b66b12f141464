// Steps moves from evidence: the global accelerator, and the local brake.
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
/// Holds no socket and no clock: the owner gives the time, and writes what `next` returns by
/// compare-and-swap on the revision that the move was read at.
class MoveController
{
public:
    explicit MoveController(JudgementRules rules = JudgementRules::Current);
    ~MoveController();
    MoveController(MoveController &&) noexcept;
    MoveController &operator=(MoveController &&) noexcept;

    /// Takes the latest record; an older one is ignored.
    void observe(const Move &move);
    /// Adds outcomes of the fleet.
    void addEvidence(const OutcomeBatch &outcomes, std::int64_t nowMs);
    /// Returns the record to write now for `service`, or nothing when it stays as it is.
    std::optional<Move> next(const ServiceId &service, std::int64_t nowMs);

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

/// Cuts a bad version to zero at one node or data centre on its own evidence.
class LocalCircuitBreaker
{
public:
    LocalCircuitBreaker();
    ~LocalCircuitBreaker();
    LocalCircuitBreaker(LocalCircuitBreaker &&) noexcept;
    LocalCircuitBreaker &operator=(LocalCircuitBreaker &&) noexcept;

    void observe(const Move &move);
    void addEvidence(const OutcomeBatch &outcomes, std::int64_t nowMs);
    /// Tells whether calls of `service` must avoid its new version here, whatever the record says.
    bool isTripped(const ServiceId &service) const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace cornelhead
