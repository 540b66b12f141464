// Writes responses to callers: refusals by the proxy, forwarded responses and stored ones.
#pragma once

#include <array>
#include <string>

#include "cornelhead/routing/key-table.h"
#include "cornelhead/routing/refusal.h"

struct evhttp_request;

namespace cornelhead::detail {

/// The JSON bodies of all refusals, rendered at construction.
class RefusalBodies
{
public:
    RefusalBodies();
    const std::string &body(const Refusal &refusal) const;

private:
    std::array<std::array<std::string, 2>, refusalReasonCount> bodies_;
};

/// What happens to the caller's connection after the response.
enum class AfterResponse { KeepAlive, Close };

/// Responds to `caller` with a refusal; `caller` is invalid afterwards.  `bodies` must outlive the
/// connection, as the body is sent without a copy.
void sendRefusal(evhttp_request *caller, const Refusal &refusal, const RefusalBodies &bodies,
                 AfterResponse after);

/// Forwards a complete response and moves its body.  `caller` is invalid afterwards.
void sendResponse(evhttp_request *caller, evhttp_request *response, AfterResponse after);

/// Sends a stored response.  `caller` is invalid afterwards.
void sendStoredResponse(evhttp_request *caller, const StoredResponse &response,
                        AfterResponse after);

/// Copies status, end-to-end headers and body of a response.
StoredResponse copyResponse(evhttp_request *response);

/// Sends the head of a response whose body follows in chunks.
void startResponse(evhttp_request *caller, evhttp_request *response, AfterResponse after);

/// Closes the connection during a chunked response, so that the caller sees that it is incomplete.
void abortResponse(evhttp_request *caller);

} // namespace cornelhead::detail
