// What a deployment's adapter supplies to a sidecar: names of headers and keys, and the parsers of
// messages that other programs write.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <variant>

#include "cornelhead/base/error.h"
#include "cornelhead/config/route-table.h"
#include "cornelhead/membership/local-server.h"
#include "cornelhead/net/http.h"
#include "cornelhead/platform/store-codec.h"
#include "cornelhead/rollout/version-move.h"

namespace cornelhead {

/// Names of the call headers that callers and backend servers use.
struct CallHeaderNames
{
    /// Identifies one attempt of a caller.
    std::string requestId;
    /// How long the caller will wait from now on, in milliseconds.
    std::string deadline;
    /// Id of the server that is to run the call; any other server refuses it.
    std::string expectedServer;
    /// The service of the host that the call came from.
    std::string callerService;
    /// Holds the key of the caller's customer, after the word `keyScheme`.
    std::string authorization;
    std::string keyScheme;
    /// Names the call's customer to the server.
    std::string customer;
    /// The server's signature of its response.
    std::string serverSignature;
    /// The server did not run the call.
    std::string notRun;
    /// Id of the server that answered a health check or refused a call for another server.
    std::string serverId;
    /// Seconds after which a refused caller may retry; may hold a fraction.
    std::string retryAfter;
    /// Calls per second that the responding server accepts from all hosts together.
    std::string serverLimit;
    /// The responding server accepts no further calls.
    std::string serverLeaving;
};

/// What a backend server reports to its node.
using ServerMessage = std::variant<ServerAnnouncement, ServerDeparture>;

/// Key and value under which operators read the progress of a move.
struct MoveStatusEntry
{
    std::string key;
    std::string value;
};

/// The names and formats that a deployment defines instead of the project.
struct Dialect
{
    std::shared_ptr<const StoreCodec> store;
    CallHeaderNames headers;
    /// Prefix of all keys that operators write.
    std::string operatorPrefix;
    std::string configurationKey;
    std::string readinessPath;
    /// Fails with `InvalidMessage` or `InvalidDeclaration`.
    std::function<Result<std::shared_ptr<const RouteTable>>(std::string_view)> readConfiguration;
    /// Returns whether a key below the operators' prefix holds the order of a move.
    std::function<bool(std::string_view key)> isMoveOrder;
    std::function<Result<VersionMoveOrder>(const KeyValue &)> readMoveOrder;
    std::function<MoveStatusEntry(const VersionMove &)> renderMoveStatus;
    /// Fails with `NotFound` for a request that is not a message of a server.
    std::function<Result<ServerMessage>(const HttpRequest &)> readServerMessage;
    /// Renders the response to an accepted message of a server.
    std::function<HttpResponse()> renderAcknowledgement;
};

} // namespace cornelhead
