// The status, message and remedy of each refusal reason.
#include "cornelhead/routing/refusal.h"

namespace cornelhead {
namespace detail {
namespace {

// In the order of RefusalReason.
constexpr std::array<RefusalInfo, refusalReasonCount> refusalTable = {{
        {"bad-request", 400, "the request is malformed", "send a well-formed HTTP/1.1 request"},
        {"too-large", 413, "the request is too large", "send smaller headers or a smaller body"},
        {"unknown-customer", 401, "the customer is not declared",
         "send the Cornelhead-Customer header with a declared customer"},
        {"unknown-service", 404, "the service is not declared",
         "begin the path with a declared service"},
        {"no-route", 404, "no route of the service matches the path",
         "use a declared route, or declare a route for this path"},
        {"plan-lacks-service", 403, "the customer's plan does not allow this route",
         "use another route, or ask an operator for another plan"},
        {"key-missing", 400, "this route requires an idempotency key",
         "send the Idempotency-Key header with a new UUIDv7"},
        {"rate", 429, "the customer's rate limit is exceeded", "retry later at a lower rate"},
        {"concurrency", 429, "the customer has too many calls in flight",
         "wait until earlier calls have ended"},
        {"overload", 503, "the node has more calls than it can serve in time",
         "retry later with backoff"},
        {"deadline", 504, "the deadline has passed", "allow a longer deadline"},
        {"no-server", 503, "no backend server is available",
         "check that backend servers of the service's version are running"},
        {"not-ready", 503, "the node has no configuration yet", "use another node or retry later"},
        {"draining", 503, "the node is stopping", "use another node"},
        {"connect-failed", 503, "no connection to a backend server could be opened", "retry later"},
        {"shed", 503, "the backend servers refused the call without running it",
         "retry later with backoff"},
        {"broken-connection", 502, "the connection to the backend server was lost",
         "read the state before sending again, or retry with the same key"},
        {"timeout", 504, "the backend server did not respond in time",
         "read the state before sending again, or retry with the same key"},
        {"unbounded-answer", 502,
         "the backend server's response has neither a length nor chunked encoding",
         "make the backend server send Content-Length or use chunked encoding"},
        {"invalid-answer", 502, "the backend server's response is malformed",
         "make the backend server send well-formed HTTP/1.1 responses"},
        {"cancelled", 499, "the caller closed its connection",
         "keep the connection open until the response arrives"},
        {"poison", 422, "backend servers crashed while running this request",
         "do not send this request again; report it to the owners of the service"},
        {"in-progress", 409, "a call with this key is still running",
         "retry later with the same key"},
        {"outcome-unknown", 409, "an earlier call with this key may have run",
         "read the state before sending with a new key"},
        {"key-reused", 422, "the key was used for a different request",
         "use a new key for each request"},
        {"answer-forgotten", 409,
         "the call with this key has run, but its response is no longer stored", "read the state"},
        {"key-expired", 409, "the key is older than the retention of keys",
         "read the state, then send with a new key"},
        {"home-young", 503, "the node responsible for this key may not know its earlier calls",
         "read the state, then send with a new key"},
        {"home-moved", 503, "another node is responsible for this key now",
         "retry later with the same key"},
        {"home-leaving", 503, "the node responsible for this key is stopping",
         "retry with the same key"},
        {"home-unreachable", 503, "the node responsible for this key is unreachable",
         "retry later with the same key"},
        {"too-deep", 508, "the call passed through too many hops",
         "check for a loop between services"},
}};

} // namespace
} // namespace detail

const RefusalInfo &refusalInfo(RefusalReason reason)
{
    return detail::refusalTable[static_cast<std::size_t>(reason)];
}

std::optional<RefusalReason> refusalReasonOf(std::string_view name)
{
    for (std::size_t i = 0; i < refusalReasonCount; ++i) {
        if (detail::refusalTable[i].name == name)
            return static_cast<RefusalReason>(i);
    }
    return std::nullopt;
}

std::string_view runStatusName(RunStatus status)
{
    return status == RunStatus::NotRun ? "not-run" : "unknown";
}

} // namespace cornelhead
