// The headers that the nodes of a caller and of a server exchange about one call.
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

/// What the caller's node sends the server's node about a call.
struct HopRequest
{
    /// The run of the server's node that the call is meant for.
    NodeId run;
    ServerId server;
    ServiceId service;
    ServiceId callerService;
    /// `nestedCallRank` for a call that a server makes while it runs another call, else `callRank`.
    std::uint32_t rank = 1;
    /// Time left of the objective since the caller's first try; 0 once it has passed, so that the
    /// call queues behind calls that can still meet their objective.
    Milliseconds objectiveLeft{};
    bool isIdempotent = false;
    /// The same call was sent to this run before, on a connection that broke or stalled.
    bool isResumed = false;
    /// The call may be refused as `Busy` if it would have to wait.
    bool mayHandBack = false;
    /// The route's latency objective.
    Milliseconds objective{};
    RouteId route;
    /// The limit that the server reported to the caller's node, in case that the server's node has
    /// restarted since.
    std::optional<CallRate> knownLimit;
    /// The customer of the call; empty if it has none.
    CustomerId customer;
};

std::string encodeHopRequest(const HopRequest &request);
/// Fails with `InvalidMessage`.
Result<HopRequest> decodeHopRequest(std::string_view text);

/// What became of a call at the server's node.  Sent as numbers.
enum class HopResult {
    Answered, ///< The response is the server's.
    NotRun, ///< The server's node refused the call; the server never received it.
    Shed, ///< The server refused the call and did not run it.
    Unknown, ///< The call may have run.
};

/// Why a call was refused or its outcome is unknown.  Sent as numbers.
enum class HopReason {
    None,
    Overload, ///< The call could not finish in time.
    ServerGone, ///< The host has no server that may take calls.
    WrongServer, ///< The host's server is not the one that the call is meant for.
    Stopping, ///< The node is stopping.
    NodeRestarted, ///< The node restarted since and has no state of the call.
    Poison, ///< Servers crashed while they ran this request.
    Cancelled, ///< The caller's connection closed before the call ended.
    InvalidResponse, ///< The server's response was cut off, malformed or unsigned.
    Timeout, ///< The server did not respond in time.
    BadMessage, ///< The headers between the nodes cannot be parsed.
    NeverArrived, ///< The resumed call is unknown to the node, which will never run it.
    Busy, ///< The call would have to wait, and may be tried elsewhere first.
};

std::string_view hopReasonName(HopReason reason);

/// What the server's node adds to each response.
struct HopResponse
{
    HopResult result = HopResult::Unknown;
    HopReason reason = HopReason::None;
    NodeId run;
    HostReport report;
    /// The configuration in force at the server's node.
    Revision configuration;
};

std::string encodeHopResponse(const HopResponse &response);
/// Fails with `InvalidMessage`.
Result<HopResponse> decodeHopResponse(std::string_view text);

} // namespace cornelhead
