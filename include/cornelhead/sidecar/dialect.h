// What an adapter translates for a node on both sides of a call: names of headers and keys, and
// the readers of messages that others write.
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

/// Headers of calls that callers and backend servers know.
struct CallHeaderNames
{
    /// Names one attempt of a caller.
    std::string requestId;
    /// Milliseconds that the caller goes on waiting.
    std::string deadline;
    /// The server that is to run the call; another one refuses it.
    std::string expectedServer;
    /// The service on the host where the call began.
    std::string callerService;
    /// Signs an answer that a server made.
    std::string serverSignature;
    /// The server did not run the call.
    std::string notRun;
    /// The server that answered a health check, or a call meant for another one.
    std::string serverId;
    /// Seconds after which a refused caller may come back; may hold a fraction.
    std::string retryAfter;
};

/// What a backend server told its node.
using ServerMessage = std::variant<ServerAnnouncement, ServerDeparture>;

/// The progress of a move, as operators read it.
struct MoveStatusEntry
{
    std::string key;
    std::string value;
};

/// One deployment's spelling of everything that the project does not define itself.
struct Dialect
{
    std::shared_ptr<const StoreCodec> store;
    CallHeaderNames headers;
    /// Everything that operators write lies below it.
    std::string operatorPrefix;
    std::string configurationKey;
    std::string readinessPath;
    /// Fails with `InvalidMessage` or `InvalidDeclaration`.
    std::function<Result<std::shared_ptr<const RouteTable>>(std::string_view)> readConfiguration;
    /// Tells whether a key below the operators' prefix holds the order of a move.
    std::function<bool(std::string_view key)> isMoveOrder;
    std::function<Result<VersionMoveOrder>(const KeyValue &)> readMoveOrder;
    std::function<MoveStatusEntry(const VersionMove &)> renderMoveStatus;
    /// Fails with `NotFound` for a request that is no message of a server.
    std::function<Result<ServerMessage>(const HttpRequest &)> readServerMessage;
    /// Acknowledges a message of a server.
    std::function<HttpResponse()> renderAcknowledgement;
};

} // namespace cornelhead
