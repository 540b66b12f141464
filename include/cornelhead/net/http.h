// HTTP messages, a small server and a pooled client over evhttp, for everything but the proxy's
// own call path.
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

/// Header names compare without case, as HTTP asks.
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
    /// The decoded path without the query.
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

/// Makes a JSON answer.
HttpResponse jsonResponse(int status, std::string body);

/// Sends the answer to one request, at once or later, on the server's loop.  Dropping it
/// unanswered sends status 500.  Answering a caller that has gone is harmless.
class Responder
{
public:
    struct State;
    explicit Responder(std::shared_ptr<State> state);

    void send(const HttpResponse &response) const;
    /// Closes the connection without an answer; for stand-ins that lose answers on purpose.
    void drop() const;
    /// Numbers the request's connection; no other connection of the server has had that number.
    std::uint64_t connection() const;
    /// Tells whether the caller has closed its connection.
    bool isAbandoned() const;

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

/// Serves HTTP on an event loop.
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
    /// Binds and listens.  Fails with `InvalidSetting` when the address is taken.
    Result<void> listen(const Address &address);
    /// Stops accepting connections; open ones go on.
    void stopListening();
    /// Returns how many requests wait for their answer.
    std::size_t pending() const;
    /// Returns how many open connections have sent a request.
    std::size_t connections() const;
    /// Returns the greatest number that a connection has had so far.
    std::uint64_t lastConnection() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

/// Calls HTTP servers with one pool of connections per address.
///
/// Errors: `Unavailable` when no connection could be made, `Unknown` when it broke or timed out
/// after the request was sent.
class HttpClient
{
public:
    using Callback = std::function<void(Result<HttpResponse>)>;

    explicit HttpClient(EventLoop &loop);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /// Sends a request whose `path` is already escaped and may carry a query.
    void send(const Address &to, const HttpRequest &request, Milliseconds timeout,
              Callback callback);
    /// Closes idle connections to `address`.
    void forget(const Address &address);

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

/// Sends one request and waits for its answer; for command-line tools and tests.
Result<HttpResponse> callBlocking(const Address &to, const HttpRequest &request,
                                  Milliseconds timeout);

/// Escapes text for use as a part of a path or query.
std::string escapeUri(std::string_view text);
/// Reverses `escapeUri`.
std::string unescapeUri(std::string_view text);

} // namespace cornelhead
