// Implements the HTTP server with evhttp.
#include "cornelhead/net/http.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cctype>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include "cornelhead/net/accepted-connections.h"
#include "cornelhead/net/read-body.h"

namespace cornelhead {
namespace detail {

constexpr Milliseconds sweepInterval(1000);

struct HttpServerDeleter
{
    void operator()(evhttp *server) const { evhttp_free(server); }
};

std::optional<HttpMethod> methodOf(evhttp_cmd_type command)
{
    switch (command) {
    case EVHTTP_REQ_GET:
        return HttpMethod::Get;
    case EVHTTP_REQ_POST:
        return HttpMethod::Post;
    case EVHTTP_REQ_PUT:
        return HttpMethod::Put;
    case EVHTTP_REQ_DELETE:
        return HttpMethod::Delete;
    default:
        return std::nullopt;
    }
}

// evhttp stops reading while a request is pending, so it does not detect the close itself.
bool isClosedByPeer(evhttp_connection *connection)
{
    pollfd entry{};
    entry.fd = bufferevent_getfd(evhttp_connection_get_bufferevent(connection));
    entry.events = POLLRDHUP;
    return poll(&entry, 1, 0) > 0;
}

Headers readHeaders(const evkeyvalq *list)
{
    Headers headers;
    for (const evkeyval *entry = list->tqh_first; entry; entry = entry->next.tqe_next)
        headers[entry->key] = entry->value;
    return headers;
}

std::string decodeUri(const char *text)
{
    std::size_t size = 0;
    char *decoded = evhttp_uridecode(text, 0, &size);
    if (!decoded)
        return {};
    std::string result(decoded, size);
    std::free(decoded); // NOLINT(cppcoreguidelines-no-malloc)
    return result;
}

std::map<std::string, std::string> readQuery(const char *query)
{
    std::map<std::string, std::string> values;
    if (!query)
        return values;
    evkeyvalq list{};
    if (evhttp_parse_query_str(query, &list) != 0)
        return values;
    for (const evkeyval *entry = list.tqh_first; entry; entry = entry->next.tqe_next)
        values[entry->key] = entry->value;
    evhttp_clear_headers(&list);
    return values;
}

std::optional<HttpRequest> readRequest(evhttp_request *raw)
{
    const auto method = methodOf(evhttp_request_get_command(raw));
    const evhttp_uri *uri = evhttp_request_get_evhttp_uri(raw);
    const char *path = uri ? evhttp_uri_get_path(uri) : nullptr;
    if (!method || !path)
        return std::nullopt;
    HttpRequest request;
    request.method = *method;
    request.path = decodeUri(path);
    request.query = readQuery(evhttp_uri_get_query(uri));
    request.headers = readHeaders(evhttp_request_get_input_headers(raw));
    request.body = readBody(evhttp_request_get_input_buffer(raw));
    return request;
}

} // namespace detail

bool HeaderLess::operator()(std::string_view left, std::string_view right) const
{
    return std::lexicographical_compare(
            left.begin(), left.end(), right.begin(), right.end(),
            [](unsigned char a, unsigned char b) { return std::tolower(a) < std::tolower(b); });
}

HttpResponse jsonResponse(int status, std::string body)
{
    return HttpResponse{status, {{"Content-Type", "application/json"}}, std::move(body)};
}

std::string escapeUri(std::string_view text)
{
    char *encoded = evhttp_uriencode(text.data(), static_cast<ev_ssize_t>(text.size()), 0);
    std::string result(encoded);
    std::free(encoded); // NOLINT(cppcoreguidelines-no-malloc)
    return result;
}

std::string unescapeUri(std::string_view text)
{
    return detail::decodeUri(std::string(text).c_str());
}

struct Responder::State
{
    // Null once a response was sent.  evhttp keeps a pending request after its connection closed.
    evhttp_request *raw = nullptr;
    std::shared_ptr<std::size_t> pendingRequests;
    std::uint64_t connection = 0;

    ~State()
    {
        if (raw)
            send(HttpResponse{500, {}, "unanswered"});
    }

    void send(const HttpResponse &response)
    {
        evhttp_request *request = std::exchange(raw, nullptr);
        if (!request)
            return;
        --*pendingRequests;
        evkeyvalq *headers = evhttp_request_get_output_headers(request);
        for (const auto &[name, value] : response.headers)
            evhttp_add_header(headers, name.c_str(), value.c_str());
        evbuffer *body = evbuffer_new();
        evbuffer_add(body, response.body.data(), response.body.size());
        evhttp_send_reply(request, response.status, nullptr, body);
        evbuffer_free(body);
    }
};

Responder::Responder(std::shared_ptr<State> state) : state_(std::move(state)) { }

void Responder::send(const HttpResponse &response) const
{
    state_->send(response);
}

void Responder::closeConnection() const
{
    evhttp_connection *connection
            = state_->raw ? evhttp_request_get_connection(state_->raw) : nullptr;
    if (connection) {
        // evhttp frees the connection when writing to the closed socket fails.
        bufferevent *events = evhttp_connection_get_bufferevent(connection);
        ::shutdown(bufferevent_getfd(events), SHUT_RDWR);
    }
    send(HttpResponse{503, {}, {}});
}

std::uint64_t Responder::connection() const
{
    return state_->connection;
}

bool Responder::isDisconnected() const
{
    evhttp_connection *connection
            = state_->raw ? evhttp_request_get_connection(state_->raw) : nullptr;
    return !connection || detail::isClosedByPeer(connection);
}

struct HttpServer::Impl
{
    Impl(EventLoop &loop, const HttpServerLimits &limits)
        : accepted(loop, limits.headerBytes, limits.bodyBytes),
          sweepTimer(loop.every(detail::sweepInterval, [this] { accepted.sweep(); }))
    { }

    static bufferevent *createConnection(event_base *, void *arg)
    {
        return static_cast<Impl *>(arg)->accepted.create();
    }

    detail::AcceptedConnections accepted;
    Timer sweepTimer;
    std::unique_ptr<evhttp, detail::HttpServerDeleter> server;
    evhttp_bound_socket *socket = nullptr;
    HttpHandler handler;
    std::shared_ptr<std::size_t> pendingRequests = std::make_shared<std::size_t>(0);
    // The numbers of the open connections.
    std::map<evhttp_connection *, std::uint64_t> connections;
    std::uint64_t lastConnectionNumber = 0;

    ~Impl()
    {
        // Freeing evhttp runs the close callbacks, which use `connections`.
        server.reset();
    }

    std::uint64_t connectionNumberOf(evhttp_connection *connection)
    {
        const auto [found, isNew] = connections.try_emplace(connection, lastConnectionNumber + 1);
        if (isNew) {
            ++lastConnectionNumber;
            const auto onClose = [](evhttp_connection *closed, void *arg) {
                static_cast<Impl *>(arg)->connections.erase(closed);
            };
            evhttp_connection_set_closecb(connection, onClose, this);
        }
        return found->second;
    }

    void serve(evhttp_request *raw)
    {
        const auto request = detail::readRequest(raw);
        auto state = std::make_shared<Responder::State>();
        state->raw = raw;
        state->pendingRequests = pendingRequests;
        state->connection = connectionNumberOf(evhttp_request_get_connection(raw));
        ++*pendingRequests;
        const Responder responder(state);
        if (!request) {
            responder.send(HttpResponse{400, {}, "invalid-message: the request cannot be read"});
            return;
        }
        handler(*request, responder);
    }
};

HttpServer::HttpServer(EventLoop &loop, HttpServerLimits limits)
    : impl_(std::make_unique<Impl>(loop, limits))
{
    impl_->server.reset(evhttp_new(loop.base()));
    evhttp *server = impl_->server.get();
    evhttp_set_max_headers_size(server, static_cast<ev_ssize_t>(limits.headerBytes));
    evhttp_set_max_body_size(server, static_cast<ev_ssize_t>(limits.bodyBytes));
    evhttp_set_bevcb(server, &Impl::createConnection, impl_.get());
    evhttp_set_timeout(server, static_cast<int>(limits.idleTimeout.count()));
    evhttp_set_allowed_methods(
            server, EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE);
    const auto serve = [](evhttp_request *raw, void *arg) { static_cast<Impl *>(arg)->serve(raw); };
    evhttp_set_gencb(server, serve, impl_.get());
}

HttpServer::~HttpServer() = default;

void HttpServer::setHandler(HttpHandler handler)
{
    impl_->handler = std::move(handler);
}

Result<void> HttpServer::listen(const Address &address)
{
    impl_->socket
            = evhttp_bind_socket_with_handle(impl_->server.get(), address.ip.c_str(), address.port);
    if (!impl_->socket) {
        return fail(ErrorKind::InvalidSetting, "cannot listen on " + address.toString(),
                    "choose an address of this host that is free");
    }
    // Accepted sockets inherit TCP_NODELAY.  Without it, the end of a long response waits for a
    // delayed acknowledgement.
    const int on = 1;
    setsockopt(evhttp_bound_socket_get_fd(impl_->socket), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return {};
}

void HttpServer::stopListening()
{
    if (impl_->socket)
        evhttp_del_accept_socket(impl_->server.get(), std::exchange(impl_->socket, nullptr));
}

std::size_t HttpServer::pendingRequests() const
{
    return *impl_->pendingRequests;
}

std::size_t HttpServer::connections() const
{
    return impl_->connections.size();
}

std::uint64_t HttpServer::lastConnectionNumber() const
{
    return impl_->lastConnectionNumber;
}

} // namespace cornelhead
