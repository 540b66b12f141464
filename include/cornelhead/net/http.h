// HTTP messages, and a server and a pooled client based on evhttp.  The proxy's data path does not
// use them.
#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "cornelhead/base/address.h"
#include "cornelhead/base/clock.h"
#include "cornelhead/base/error.h"
#include "cornelhead/net/event-loop.h"

namespace cornelhead {

/// Compares header names case-insensitively, as HTTP requires.
struct HeaderLess
{
    using is_transparent = void;
    bool operator()(std::string_view left, std::string_view right) const;
};

using Headers = std::map<std::string, std::string, HeaderLess>;

enum class HttpMethod { Get, Post, Put, Delete };

struct HttpRequest
{
    HttpMethod method = HttpMethod::Get;
    /// At the server, the decoded path without the query; at the client, see `HttpClient::send`.
    std::string path;
    std::map<std::string, std::string> query;
    Headers headers;
    std::string body;
};

struct HttpResponse
{
    int status = 200;
    Headers headers;
    std::string body;
};

/// Returns a response with content type application/json.
HttpResponse jsonResponse(int status, std::string body);

/// Sends the response to one request, immediately or later, on the server's loop.  Destroying the
/// last copy without a response sends status 500.  Does nothing if a response was sent already;
/// responding to a client that has disconnected is harmless.
class Responder
{
public:
    struct State;
    explicit Responder(std::shared_ptr<State> state);

    void send(const HttpResponse &response) const;
    /// Closes the connection without a response; for test servers that inject lost responses.
    void closeConnection() const;
    /// Returns the number of the request's connection, which the server never reuses.
    std::uint64_t connection() const;
    /// Returns whether the client has closed its connection, or the request was answered.
    bool isDisconnected() const;

private:
    std::shared_ptr<State> state_;
};

using HttpHandler = std::function<void(const HttpRequest &, const Responder &)>;

struct HttpServerLimits
{
    std::size_t headerBytes = 16 * 1024;
    std::size_t bodyBytes = 8 * 1024 * 1024;
    std::chrono::seconds idleTimeout = std::chrono::seconds(60);
};

/// An HTTP server on an event loop.  The handler must be set before requests arrive.
///
///     HttpServer server(loop, {});
///     server.setHandler([](const HttpRequest &, const Responder &r) { r.send({}); });
///     Result<void> listening = server.listen(address);
class HttpServer
{
public:
    HttpServer(EventLoop &loop, HttpServerLimits limits);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    void setHandler(HttpHandler handler);
    /// Binds and listens.  Fails with `InvalidSetting` if the address cannot be bound.
    Result<void> listen(const Address &address);
    /// Stops accepting connections; open connections are still served.
    void stopListening();
    /// Returns the number of requests without a response yet.
    std::size_t pendingRequests() const;
    /// Returns the number of open connections that have sent a request.
    std::size_t connections() const;
    /// Returns the greatest connection number assigned so far, 0 if none.
    std::uint64_t lastConnectionNumber() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

/// Limits of one request.
struct HttpTimeouts
{
    /// Until bytes of the request are sent, which is when a new connection is established; by
    /// default `response` alone limits this.
    std::optional<Milliseconds> connect;
    /// Until the response is complete or, with `stall`, until its first bytes have arrived.
    Milliseconds response{};
    /// A response that has begun may take longer, up to `longestResponse`, while bytes arrive in
    /// each such interval.
    std::optional<Milliseconds> stall;
    /// From the start of the request; used with `stall`.
    Milliseconds longestResponse{};
};

/// An HTTP client with a connection pool per address.
///
/// Errors: `Unavailable` if the request was certainly not sent, `Unknown` if the connection failed,
/// the timeout expired after bytes of the request may have been sent, or the response is longer
/// than `maxBodyBytes` or has too many heads or chunks (`detail::ReceiveLimit`): a faulty peer may
/// send without end.
class HttpClient
{
public:
    using Callback = std::function<void(Result<HttpResponse>)>;

    static constexpr std::size_t maxBodyBytes = 32 * 1024 * 1024;

    explicit HttpClient(EventLoop &loop);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /// Sends a request, whose `path` must be escaped and may include a query; `request.query` is
    /// ignored.  The callback runs on the loop.
    void send(const Address &to, const HttpRequest &request, Milliseconds timeout,
              Callback callback);
    void send(const Address &to, const HttpRequest &request, const HttpTimeouts &timeouts,
              Callback callback);
    /// Closes idle connections to `address`.
    void closeIdleConnections(const Address &address);

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

/// Sends one request and blocks until the response or an error; for command-line tools and tests.
Result<HttpResponse> callBlocking(const Address &to, const HttpRequest &request,
                                  Milliseconds timeout);

/// Percent-encodes text for use in a path segment or query value.
std::string escapeUri(std::string_view text);
/// Reverses `escapeUri`.
std::string unescapeUri(std::string_view text);

} // namespace cornelhead
