// The mix of calls that the load tool sends, and how their answers are judged.
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
    double weight = 1;
    std::size_t responseBytes = 0;
    std::string chain;
    bool isPoisoned = false;

    /// POST calls carry an idempotency key.
    bool isKeyed() const { return method == HttpMethod::Post; }
};

/// Reads "GET customer service /path weight [bytes=N] [chain=service/path,...] [poison]".
/// Fails with `InvalidSetting`.
Result<CallKind> parseCallKind(std::string_view line);
/// Reads one kind a line; '#' begins a comment.  Fails with `InvalidSetting` naming the line.
Result<std::vector<CallKind>> parseMix(std::string_view text);

/// Draws a kind by weight; `mix` must not be empty.
const CallKind &drawKind(const std::vector<CallKind> &mix, Random &random);

/// Makes a UUID version 7 (RFC 9562) from wall-clock milliseconds.
std::string makeIdempotencyKey(std::int64_t wallClockMs, Random &random);

/// What one attempt of a call came to.
enum class AttemptResult {
    Correct, ///< The whole answer to this request.
    Wrong, ///< A success that is not the whole answer to this request.
    Failed, ///< The server's own error answer.
    NotRun, ///< A typed refusal that says so.
    Unknown, ///< A typed refusal that says so.
    Unreachable, ///< Nothing was sent.
    Broken, ///< Sent, but neither answered nor refused with a type.
};

AttemptResult classifyAttempt(const ExpectedResponse &expected,
                              const Result<HttpResponse> &response);

} // namespace cornelhead
