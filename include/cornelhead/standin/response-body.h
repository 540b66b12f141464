// The body that a stand-in backend server answers with, made by the server and checked by the load
// tool.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace cornelhead {

/// Names the request; the answer repeats it.
constexpr const char *requestIdHeader = "X-Request-Id";
/// Asks for a body of this many bytes.
constexpr const char *responseBytesHeader = "X-Answer-Bytes";
/// Lists the services and paths to call in turn: "catalogue/items,seatmaps/hall".
constexpr const char *callChainHeader = "X-Call-Chain";
/// Ends each server that runs the request.
constexpr const char *poisonHeader = "X-Poison";

/// What the server saw of the request, and who answered.
struct ResponseBody
{
    std::string service;
    std::string version;
    std::string server;
    std::string path;
    std::string customer;
    std::string idempotencyKey;
    std::string requestId;
    /// The JSON answer of the next call of the chain; empty when there was none.
    std::string next;
};

/// Renders the answer, padded with repeats of the request id to `bytes` where it is shorter.
std::string encodeResponseBody(const ResponseBody &answer, std::size_t bytes);

/// What the caller asked, to be compared with the answer.
struct ExpectedResponse
{
    std::string service;
    std::string path;
    std::string customer;
    std::string idempotencyKey;
    std::string requestId;
    std::size_t bytes = 0;
};

/// Tells whether `body` is the whole answer to the request, byte by byte; the server, the version
/// and answers of nested calls may be any.
bool isExpectedResponse(const ExpectedResponse &expected, std::string_view body);

} // namespace cornelhead
