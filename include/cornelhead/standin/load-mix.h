// The mix of calls that the load tool sends, and the classification of their responses.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "cornelhead/base/error.h"
#include "cornelhead/base/ids.h"
#include "cornelhead/base/random.h"
#include "cornelhead/net/http.h"
#include "cornelhead/standin/response-body.h"

namespace cornelhead {

/// One kind of call.
struct CallKind
{
    HttpMethod method = HttpMethod::Get;
    CustomerId customer;
    ServiceId service;
    /// Begins with '/'.
    std::string path;
    /// Relative frequency in the mix; above 0.
    double weight = 1;
    std::size_t responseBytes = 0;
    std::string chain;
    bool isPoisoned = false;

    /// POST calls carry an idempotency key.
    bool isKeyed() const { return method == HttpMethod::Post; }
};

/// Parses "GET customer service /path weight [bytes=N] [chain=service/path,...] [poison]".
/// Fails with `InvalidSetting`.
Result<CallKind> parseCallKind(std::string_view line);
/// Parses one call kind per line; '#' begins a comment.  Fails with `InvalidSetting` quoting
/// the line.
Result<std::vector<CallKind>> parseMix(std::string_view text);

/// Draws a call kind by weight; `mix` must not be empty.
const CallKind &drawKind(const std::vector<CallKind> &mix, Random &random);

/// Returns a UUID version 7 (RFC 9562).
std::string makeIdempotencyKey(std::int64_t wallClockMs, Random &random);

/// The result of one attempt of a call.
enum class AttemptResult {
    Correct, ///< The complete response to this request.
    Wrong, ///< A success status whose body is not the complete response to this request.
    Failed, ///< An error response of the server itself.
    NotRun, ///< A refusal with `Cornelhead-Run: not-run`.
    Unknown, ///< A refusal with `Cornelhead-Run: unknown`.
    Unreachable, ///< Nothing was sent.
    Broken, ///< Sent, but got neither a response of the server nor a typed refusal.
};

AttemptResult classifyAttempt(const ExpectedResponse &expected,
                              const Result<HttpResponse> &response);

} // namespace cornelhead
