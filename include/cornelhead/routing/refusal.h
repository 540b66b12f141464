// Typed refusals of calls: reason, HTTP status, and whether the call may have run.
#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace cornelhead {

/// Why a proxy refused a call.  Each reason has a counter and a remedy.
enum class RefusalReason {
    BadRequest,
    TooLarge,
    UnknownCustomer,
    UnknownService,
    NoRoute,
    PlanLacksService,
    KeyMissing,
    Rate,
    Concurrency,
    Overload,
    Deadline,
    NoServer,
    NotReady,
    Draining,
    ConnectFailed,
    Shed,
    BrokenConnection,
    Timeout,
    UnboundedAnswer,
    InvalidAnswer,
    Cancelled,
    Poison,
    InProgress,
    OutcomeUnknown,
    KeyReused,
    AnswerForgotten,
    KeyExpired,
    HomeYoung,
    HomeMoved,
    HomeLeaving,
    HomeUnreachable,
    TooDeep,
};

constexpr std::size_t refusalReasonCount = static_cast<std::size_t>(RefusalReason::TooDeep) + 1;

/// Whether a refused call has run.
enum class RunStatus {
    NotRun, ///< The call certainly did not run; a retry is safe.
    Unknown, ///< The call may have run.
};

/// The constant description of a reason.
struct RefusalInfo
{
    /// The name in headers, bodies and counters; must not change.
    std::string_view name;
    int status = 0;
    std::string_view message;
    std::string_view remedy;
};

const RefusalInfo &refusalInfo(RefusalReason reason);

/// Returns the reason with this name, or nothing for an unknown name.
std::optional<RefusalReason> refusalReasonOf(std::string_view name);

/// Returns "not-run" or "unknown".
std::string_view runStatusName(RunStatus status);

/// The refusal of a call.
struct Refusal
{
    RefusalReason reason = RefusalReason::BadRequest;
    RunStatus run = RunStatus::NotRun;
};

} // namespace cornelhead
