// Writes answers to callers: refusals of the proxy, and answers passed on.
#pragma once

#include <array>
#include <string>

#include "cornelhead/routing/key-memory.h"
#include "cornelhead/routing/refusal.h"

struct evhttp_request;

namespace cornelhead::detail {

/// The JSON bodies of all refusals, rendered once.
class RefusalBodies
{
public:
    RefusalBodies();
    const std::string &body(const Refusal &refusal) const;

private:
    std::array<std::array<std::string, 2>, refusalReasonCount> bodies_;
};

/// What to do with the caller's connection after the answer.
enum class AfterResponse { KeepAlive, Close };

/// Answers `caller` with a refusal; `caller` is invalid afterwards.
void sendRefusal(evhttp_request *caller, const Refusal &refusal, const RefusalBodies &bodies,
                 AfterResponse after);

/// Passes a whole answer on; moves its body.  `caller` is invalid afterwards.
void sendResponse(evhttp_request *caller, evhttp_request *answer, AfterResponse after);

/// Sends an answer that was kept.  `caller` is invalid afterwards.
void sendStoredResponse(evhttp_request *caller, const RememberedAnswer &answer,
                        AfterResponse after);

/// Copies an answer for keeping, its body included.
RememberedAnswer copyResponse(evhttp_request *answer);

/// Starts passing on an answer whose body follows in chunks.
void startResponse(evhttp_request *caller, evhttp_request *answer, AfterResponse after);

/// Ends a half-passed answer so that the caller sees that it was cut.
void abortResponse(evhttp_request *caller);

} // namespace cornelhead::detail
