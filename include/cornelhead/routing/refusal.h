// The typed refusals of the call path: reason, status, and whether the call may have been run.
#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace cornelhead {

/// Says why a proxy answered a call itself.  Each reason has a counter and a remedy.
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

/// Says what is known about the run of a refused call.
enum class RunStatus {
    NotRun, ///< It was certainly not run; sending it again is safe.
    Unknown, ///< It may or may not have been run.
};

/// The fixed facts about a reason.
struct RefusalInfo
{
    /// The stable, hyphenated name in headers, bodies and counters.
    std::string_view name;
    int status = 0;
    std::string_view message;
    std::string_view remedy;
};

const RefusalInfo &refusalInfo(RefusalReason reason);

/// Finds a reason by its name; nothing for another name.
std::optional<RefusalReason> refusalReasonOf(std::string_view name);

/// Returns "not-run" or "unknown".
std::string_view runStatusName(RunStatus proof);

/// One refusal of one call.
struct Refusal
{
    RefusalReason reason = RefusalReason::BadRequest;
    RunStatus run = RunStatus::NotRun;
};

} // namespace cornelhead
