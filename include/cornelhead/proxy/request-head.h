// Parses and validates the head of a caller's request, and copies its end-to-end headers.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

#include "cornelhead/base/clock.h"
#include "cornelhead/proxy/message-head.h"
#include "cornelhead/proxy/request-view.h"
#include "cornelhead/routing/poison-tracker.h"
#include "cornelhead/routing/refusal.h"

struct evhttp_request;
struct evkeyvalq;

namespace cornelhead::detail {

constexpr const char *customerHeader = "Cornelhead-Customer";
constexpr const char *idempotencyKeyHeader = "Idempotency-Key";
constexpr const char *deadlineHeader = "Cornelhead-Deadline-Ms";
constexpr const char *depthHeader = "Cornelhead-Depth";
constexpr const char *runHeader = "Cornelhead-Run";
constexpr const char *reasonHeader = "Cornelhead-Reason";
/// Names the home node to which a keyed call is forwarded.
constexpr const char *homeHeader = "Cornelhead-Home";
/// Names the former home of a key, which has said that it starts no more keyed calls.
constexpr const char *formerHomeHeader = "Cornelhead-Left";
/// Names the reason for which the home is to refuse a forwarded call, unless it has the key stored.
constexpr const char *refusalHeader = "Cornelhead-Refuse";
/// Notifies a node that a server died while it ran a request: "fingerprint server started
/// broke", both times in microseconds of wall-clock time.
constexpr const char *deathHeader = "Cornelhead-Death";

/// Notifies a node that a request got a response, with its fingerprint.
constexpr const char *respondedHeader = "Cornelhead-Responded";

/// A call with more hops is refused as a routing loop.
constexpr std::uint32_t maxHops = 32;
/// A longer idempotency key is refused.
constexpr std::size_t maxKeyBytes = 128;

/// The parts of a request that the proxy uses; points into the request's memory.
struct RequestHead
{
    std::string_view customer;
    /// Percent-encoded.
    std::string_view path;
    /// Without '?'; null if there is none.
    const char *query = nullptr;
    std::string_view key;
    std::optional<Milliseconds> deadline;
    std::uint32_t depth = 0;
    /// The values of `homeHeader` and the headers after it; empty unless another node sent the
    /// request.
    std::string_view home;
    std::string_view formerHome;
    std::string_view refusal;
    std::string_view death;
    std::string_view responded;
};

/// Parses the head.  Fails with `BadRequest` for malformed headers and ambiguous message framing,
/// which would allow request smuggling, and with `TooDeep` after `maxHops` hops.
tl::expected<RequestHead, RefusalReason> readRequestHead(evhttp_request *request);

/// Returns the body of a request or response; copies it only when it spans several buffer chains.
std::string_view bodyOf(const RequestView &request);

/// Returns the fingerprint of the request's method, URI and body.
Fingerprint requestFingerprint(evhttp_request *request);
/// Returns the fingerprint of a request that is routed by its `Host` header too.
Fingerprint hostRequestFingerprint(const RequestView &request);

/// Copies the headers that are forwarded to the next hop.
void copyEndToEndHeaders(const evkeyvalq *from, evkeyvalq *to);
/// Appends the headers that are forwarded to the next hop, as lines of a head.
void appendEndToEndHeaders(const evkeyvalq *from, std::string &to);

} // namespace cornelhead::detail
