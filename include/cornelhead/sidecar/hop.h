// The headers by which the node of a caller and the node of a server speak about one call.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "cornelhead/base/clock.h"
#include "cornelhead/base/error.h"
#include "cornelhead/base/ids.h"
#include "cornelhead/routing/placement.h"

namespace cornelhead {

constexpr const char *hopRequestHeader = "Cornelhead-Hop";
constexpr const char *hopResponseHeader = "Cornelhead-Hop-Answer";

/// What the caller's node asks of the server's node.
struct HopRequest
{
    /// The run of the server's node that the call was meant for.
    NodeId run;
    ServerId server;
    ServiceId service;
    ServiceId callerService;
    /// 0 for a call that a server makes while it runs another one, else 1 + the route's priority.
    std::uint32_t rank = 1;
    /// What is left of the objective, counted from the caller's first try; 0 when it has passed, so
    /// that the call goes behind those that may still meet theirs.
    Milliseconds objectiveLeft{};
    bool isIdempotent = false;
    /// Sent to the same run before, on a connection that broke or fell silent.
    bool isResumed = false;
    Milliseconds objective{};
    RouteId route;
};

std::string encodeHopRequest(const HopRequest &request);
/// Fails with `InvalidMessage`.
Result<HopRequest> decodeHopRequest(std::string_view text);

/// How the server's node dealt with a call.
enum class HopResult {
    Answered, ///< The answer is the server's.
    NotRun, ///< The server's node refused it; the server never saw it.
    Shed, ///< The server refused it and did not run it.
    Unknown, ///< It may have been run.
};

/// Why a call was refused or its outcome is unknown.
enum class HopReason {
    None,
    Overload, ///< It could not be finished in time.
    ServerGone, ///< The host has no server that may take it.
    WrongServer, ///< The host's server is not the one that was meant.
    Stopping, ///< The node is stopping.
    NodeRestarted, ///< The node was restarted since; it cannot know of the call.
    Poison, ///< Servers died under this request.
    Cancelled, ///< The call was given up before it reached the server.
    BrokenResponse, ///< The server's answer was cut, garbled or unsigned.
    Timeout, ///< The server did not answer in time.
    BadMessage, ///< The headers between the nodes cannot be read.
};

std::string_view hopReasonName(HopReason reason);

/// What the server's node says besides the answer.
struct HopResponse
{
    HopResult result = HopResult::Unknown;
    HopReason reason = HopReason::None;
    NodeId run;
    HostReport report;
    /// The configuration in force at the server's node.
    Revision configuration;
};

std::string encodeHopResponse(const HopResponse &answer);
/// Fails with `InvalidMessage`.
Result<HopResponse> decodeHopResponse(std::string_view text);

} // namespace cornelhead
