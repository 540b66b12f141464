// Schedules the raises of a move's share, so that a good version has every call by the deadline.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

#include "cornelhead/rollout/move.h"

namespace cornelhead {

/// The share of a new version until there is evidence about it.
constexpr PerMille initialShare = PerMille(50);

struct ScheduleInput
{
    PerMille share;
    std::int64_t startedAtMs = 0;
    std::int64_t deadlineMs = 0;
    std::int64_t nowMs = 0;
    /// Time since the share last changed or the controller started to collect evidence.
    std::int64_t stageMs = 0;
    /// A regression would have been detected at this share.
    bool isCleared = false;
    /// There is evidence against the new version, but not enough for a rollback.
    bool isSuspect = false;
};

enum class RaiseReason {
    Start, ///< The initial share needs no evidence.
    Cleared, ///< A regression would have been detected.
    Deadline, ///< The deadline leaves no more time to wait for evidence.
};

/// Returns the text for the events of a move.
std::string_view raiseReasonText(RaiseReason reason);

struct ScheduledShare
{
    PerMille share;
    RaiseReason reason = RaiseReason::Start;
};

/// Returns the share that is due now, or nothing while the current one stays.
std::optional<ScheduledShare> dueShare(const ScheduleInput &input);
/// Returns how long a controller must collect evidence at a share before it raises the share.
std::int64_t minStageMs(std::int64_t moveMs);
/// The share to which a version at full share is reduced when it deviates from the baseline.
constexpr PerMille recheckShare = PerMille(500);

/// Returns the duration of a recheck; `rechecks` counts the rechecks so far, including this one.
std::int64_t recheckMs(std::uint32_t rechecks);
/// Returns how long a version is watched after both its deadline and full share.
std::int64_t watchMs(std::int64_t moveMs);

} // namespace cornelhead
