// The response body of a simulated backend server, written by the server and verified by the load
// tool.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace cornelhead {

/// The id of the request; the response repeats it.
constexpr const char *requestIdHeader = "X-Request-Id";
/// Requests a response body of this many bytes.
constexpr const char *responseBytesHeader = "X-Answer-Bytes";
/// The services and paths to call one after the other: "catalogue/items,seatmaps/hall".
constexpr const char *callChainHeader = "X-Call-Chain";
/// Makes each server that runs the request exit.
constexpr const char *poisonHeader = "X-Poison";

/// The request as the server received it, and the server that ran it.
struct ResponseBody
{
    std::string service;
    std::string version;
    std::string server;
    std::string path;
    std::string customer;
    std::string idempotencyKey;
    std::string requestId;
    /// The JSON body of the nested call's response; empty without a nested call.
    std::string next;
};

/// Renders the body as JSON, padded with repetitions of the request id to at least `bytes`.
std::string encodeResponseBody(const ResponseBody &body, std::size_t bytes);

/// The caller's view of the request, compared with the response.
struct ExpectedResponse
{
    std::string service;
    std::string path;
    std::string customer;
    std::string idempotencyKey;
    std::string requestId;
    std::size_t bytes = 0;
};

/// Returns whether `body` is the complete response to the request, including each byte of padding;
/// the server, the version and the responses of nested calls are not checked.
bool isExpectedResponse(const ExpectedResponse &expected, std::string_view body);

} // namespace cornelhead
