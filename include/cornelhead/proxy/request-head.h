// Reads and checks the head of a caller's request, and copies headers without the hop-by-hop ones.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

#include "cornelhead/base/clock.h"
#include "cornelhead/routing/poison.h"
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
/// Names the node that a call with a key is sent on to.
constexpr const char *homeHeader = "Cornelhead-Home";
/// Names the former home of a key, which said that it starts no keyed call any more.
constexpr const char *formerHomeHeader = "Cornelhead-Left";
/// Names the refusal that the entry asks the home to make, unless it remembers the key.
constexpr const char *refusalHeader = "Cornelhead-Refuse";

/// Tells another node of a server that died under a request: "fingerprint server started
/// broke", both times in microseconds of wall-clock time.
constexpr const char *deathHeader = "Cornelhead-Death";

/// Hops after which a call is taken for a loop.
constexpr std::uint32_t maxHops = 32;
/// A longer idempotency key is refused.
constexpr std::size_t maxKeyBytes = 128;

/// What the proxy reads of a request; points into the request's memory.
struct RequestHead
{
    std::string_view customer;
    /// The escaped path.
    std::string_view path;
    /// What follows '?', or null.
    const char *query = nullptr;
    std::string_view key;
    std::optional<Milliseconds> deadline;
    std::uint32_t depth = 0;
    /// Empty unless another node sent the call on.
    std::string_view home;
    std::string_view left;
    std::string_view refuse;
    std::string_view death;
};

/// Reads the head.  Fails with `BadRequest` for shapes that two readers could frame differently.
tl::expected<RequestHead, RefusalReason> readRequestHead(evhttp_request *request);

/// Returns the request's body without copying it, unless it lies in several pieces.
std::string_view bodyOf(evhttp_request *request);

/// Returns the fingerprint of what the request asks for.
Fingerprint requestFingerprint(evhttp_request *request);

/// Copies the headers that may pass to the next hop.
void copyEndToEndHeaders(const evkeyvalq *from, evkeyvalq *to);

/// Returns the value of a header, or an empty view.
std::string_view findHeader(const evkeyvalq *headers, const char *name);

} // namespace cornelhead::detail
