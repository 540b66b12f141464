// Says when a move takes its next step, so that a good version has every call by the deadline.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

#include "cornelhead/rollout/move.h"

namespace cornelhead {

/// The share a new version has until it was judged.
constexpr PerMille initialShare = PerMille(50);

/// What the pace depends on.
struct ScheduleInput
{
    PerMille share;
    std::int64_t startedAtMs = 0;
    std::int64_t deadlineMs = 0;
    std::int64_t nowMs = 0;
    /// Since the share was raised last, or since the controller began to gather evidence.
    std::int64_t stageMs = 0;
    /// Defect would have shown at this share.
    bool isCleared = false;
    /// Something speaks against the new version, but not enough to take it back.
    bool isSuspect = false;
};

/// Why a share is raised.
enum class RaiseReason {
    Start, ///< The first share needs no evidence.
    Cleared, ///< Defect would have shown.
    Deadline, ///< There is no more time to wait for evidence.
};

std::string_view raiseReasonText(RaiseReason reason);

/// A share to have now.
struct ScheduledShare
{
    PerMille share;
    RaiseReason reason = RaiseReason::Start;
};

/// Returns the share to raise to now, or nothing while the present one stays.
std::optional<ScheduledShare> dueShare(const ScheduleInput &input);
/// Returns how long a controller gathers its own evidence before it raises a share.
std::int64_t minStageMs(std::int64_t moveMs);
/// The share that a version is stepped back to when it differs from the baseline at full share.
constexpr PerMille recheckShare = PerMille(500);

/// Returns how long both versions are compared again, the `rechecks`th time.
std::int64_t recheckMs(std::uint32_t rechecks);
/// Returns how long after its deadline, and after full share, a version is watched.
std::int64_t watchMs(std::int64_t moveMs);

} // namespace cornelhead
