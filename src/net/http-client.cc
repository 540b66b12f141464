// Implements the pooled HTTP client with evhttp.
#include "cornelhead/net/http.h"

#include <utility>
#include <vector>

#include <sys/socket.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include "cornelhead/net/read-body.h"
#include "cornelhead/net/response-reading.h"
#include "cornelhead/net/socket-options.h"
#include "cornelhead/net/status-line-check.h"

namespace cornelhead {
namespace detail {

struct ConnectionDeleter
{
    void operator()(evhttp_connection *connection) const { evhttp_connection_free(connection); }
};

using Connection = std::unique_ptr<evhttp_connection, ConnectionDeleter>;

evhttp_cmd_type commandOf(HttpMethod method)
{
    switch (method) {
    case HttpMethod::Get:
        return EVHTTP_REQ_GET;
    case HttpMethod::Post:
        return EVHTTP_REQ_POST;
    case HttpMethod::Put:
        return EVHTTP_REQ_PUT;
    case HttpMethod::Delete:
        return EVHTTP_REQ_DELETE;
    }
    return EVHTTP_REQ_GET;
}

// Returns the response with the part of its body that evhttp still holds.
HttpResponse readResponse(evhttp_request *raw)
{
    HttpResponse response;
    response.status = evhttp_request_get_response_code(raw);
    const evkeyvalq *headers = evhttp_request_get_input_headers(raw);
    for (const evkeyval *entry = headers->tqh_first; entry; entry = entry->next.tqe_next)
        response.headers[entry->key] = entry->value;
    response.body = readBody(evhttp_request_get_input_buffer(raw));
    return response;
}

bool isConnected(evhttp_connection *connection)
{
    bufferevent *events = evhttp_connection_get_bufferevent(connection);
    sockaddr_storage peer{};
    socklen_t size = sizeof peer;
    const evutil_socket_t socket = bufferevent_getfd(events);
    return socket >= 0 && getpeername(socket, reinterpret_cast<sockaddr *>(&peer), &size) == 0;
}

} // namespace detail

struct HttpClient::Impl
{
    // One request in flight; owns its connection until the response is complete.
    struct Call
    {
        Impl *client = nullptr;
        Address to;
        detail::Connection connection;
        Callback callback;
        Timer timeout;
        evbuffer_cb_entry *outputCallback = nullptr;
        evbuffer_cb_entry *inputCallback = nullptr;
        HttpTimeouts timeouts;
        // Bytes that arrived, now and when the response was last checked for progress.
        std::size_t received = 0;
        std::size_t receivedAtCheck = 0;
        detail::ReceiveLimit limit;
        detail::StatusLineCheck statusLine;
        // Ends the call outside of evhttp's callbacks once it has received too much.
        Timer limitTimer;
        bool isTooLong = false;
        std::unique_ptr<HeldBytes> held;
        // The body, if its length is not known in advance.
        std::string body;
        Timer connectTimeout;
        Timer longestTimeout;
        // True once bytes of the request were written to the socket; before, it cannot have run.
        bool wasSent = false;
    };

    EventLoop *loop = nullptr;
    std::map<Address, std::vector<detail::Connection>> idle;
    std::map<Call *, std::unique_ptr<Call>> calls;

    detail::Connection acquireConnection(const Address &to)
    {
        std::vector<detail::Connection> &pool = idle[to];
        while (!pool.empty()) {
            detail::Connection connection = std::move(pool.back());
            pool.pop_back();
            if (detail::isConnected(connection.get()))
                return connection;
        }
        detail::Connection connection(
                evhttp_connection_base_new(loop->base(), nullptr, to.ip.c_str(), to.port));
        evhttp_connection_set_max_headers_size(
                connection.get(), static_cast<ev_ssize_t>(detail::ReceiveLimit::maxHeadBytes));
        evhttp_connection_set_max_body_size(connection.get(), maxBodyBytes);
        return connection;
    }

    void finish(Call *key, Result<HttpResponse> result, bool isReusable)
    {
        const auto found = calls.find(key);
        if (found == calls.end())
            return;
        std::unique_ptr<Call> call = std::move(found->second);
        calls.erase(found);
        call->timeout = Timer();
        call->connectTimeout = Timer();
        call->longestTimeout = Timer();
        call->limitTimer = Timer();
        stopWatchingBuffers(*call);
        call->held.reset();
        if (isReusable)
            idle[call->to].push_back(std::move(call->connection));
        const Callback callback = std::move(call->callback);
        // evhttp still uses the connection when it reports a failure, so freeing is deferred.
        loop->post([deferred = std::shared_ptr<Call>(std::move(call))] {});
        callback(std::move(result));
    }

    static Result<HttpResponse> failedResult(const Call &call)
    {
        if (!call.wasSent) {
            return fail(ErrorKind::Unavailable, "cannot connect to " + call.to.toString(),
                        "check that the process at this address is running");
        }
        return fail(ErrorKind::Unknown,
                    "the connection to " + call.to.toString() + " failed or timed out",
                    "check whether the request took effect before you retry");
    }

    static void onDone(evhttp_request *raw, void *arg)
    {
        Call *call = static_cast<Call *>(arg);
        if (!raw || evhttp_request_get_response_code(raw) == 0 || call->statusLine.isInvalid()) {
            call->client->finish(call, failedResult(*call), false);
            return;
        }
        HttpResponse response = detail::readResponse(raw);
        if (!call->body.empty())
            response.body = std::move(call->body);
        const auto connection = response.headers.find("Connection");
        const bool closesConnection
                = connection != response.headers.end() && connection->second == "close";
        call->client->finish(call, std::move(response), !closesConnection);
    }

    static void onOutput(evbuffer *, const evbuffer_cb_info *info, void *arg)
    {
        if (info->n_deleted > 0)
            static_cast<Call *>(arg)->wasSent = true;
    }

    static void onInput(evbuffer *buffer, const evbuffer_cb_info *info, void *arg)
    {
        auto *call = static_cast<Call *>(arg);
        call->received += info->n_added;
        if (info->n_added > 0)
            call->statusLine.observe(buffer);
        call->held->set(evbuffer_get_length(buffer) + call->body.size());
        if (const auto fault = detail::countInput(call->limit, buffer, *info))
            failLater(*call, *fault);
    }

    static void failLater(Call &call, detail::ReceiveFault fault)
    {
        if (std::exchange(call.isTooLong, true))
            return;
        call.limitTimer = call.client->loop->after(Milliseconds(0), [&call, fault] {
            call.client->finish(&call, longResponse(call, fault), false);
        });
    }

    static Result<HttpResponse> longResponse(const Call &call, detail::ReceiveFault fault)
    {
        return fail(ErrorKind::Unknown,
                    "the response of " + call.to.toString()
                            + " is too long: " + std::string(detail::receiveFaultName(fault)),
                    "check the process at this address, and whether the request took effect");
    }

    static int onHead(evhttp_request *raw, void *arg)
    {
        auto *call = static_cast<Call *>(arg);
        bufferevent *events = evhttp_connection_get_bufferevent(call->connection.get());
        if (detail::dropInterimHead(raw)) {
            call->statusLine.expectNext(bufferevent_get_input(events));
            return 0;
        }
        detail::startBody(call->limit, raw, events, maxBodyBytes);
        if (detail::hasBodyOfUnknownLength(raw))
            evhttp_request_set_chunked_cb(raw, &onBodyPart);
        return 0;
    }

    static void onBodyPart(evhttp_request *raw, void *arg)
    {
        auto *call = static_cast<Call *>(arg);
        const std::string part = detail::readBody(evhttp_request_get_input_buffer(raw));
        call->limit.addBody(part.size());
        call->body += part;
        // A call that has ended may get bytes until its connection is freed.
        if (call->held)
            call->held->set(call->body.size());
    }

    static void watchBuffers(Call &call)
    {
        bufferevent *events = evhttp_connection_get_bufferevent(call.connection.get());
        call.outputCallback = evbuffer_add_cb(bufferevent_get_output(events), &onOutput, &call);
        call.inputCallback = evbuffer_add_cb(bufferevent_get_input(events), &onInput, &call);
        detail::limitUnreadHeads(events);
    }

    static void setSocketOptions(const Call &call)
    {
        setOutgoingSocketOptions(
                bufferevent_getfd(evhttp_connection_get_bufferevent(call.connection.get())));
    }

    static void stopWatchingBuffers(Call &call)
    {
        bufferevent *events = evhttp_connection_get_bufferevent(call.connection.get());
        evbuffer_remove_cb_entry(bufferevent_get_output(events), call.outputCallback);
        evbuffer_remove_cb_entry(bufferevent_get_input(events), call.inputCallback);
    }

    void startTimers(Call &call)
    {
        Call *key = &call;
        const HttpTimeouts &timeouts = call.timeouts;
        call.timeout = loop->after(timeouts.response, [this, key] { onTimeout(key); });
        if (timeouts.stall)
            call.longestTimeout = loop->after(timeouts.longestResponse, [this, key] {
                finish(key, failedResult(*key), false);
            });
        if (timeouts.connect)
            call.connectTimeout = loop->after(*timeouts.connect, [this, key] {
                if (!key->wasSent)
                    finish(key, failedResult(*key), false);
            });
    }

    void onTimeout(Call *call)
    {
        const bool hasProgress = call->received > call->receivedAtCheck;
        if (!call->timeouts.stall || !hasProgress) {
            finish(call, failedResult(*call), false);
            return;
        }
        call->receivedAtCheck = call->received;
        call->timeout = loop->after(*call->timeouts.stall, [this, call] { onTimeout(call); });
    }
};

HttpClient::HttpClient(EventLoop &loop) : impl_(std::make_unique<Impl>())
{
    impl_->loop = &loop;
}

HttpClient::~HttpClient() = default;

void HttpClient::send(const Address &to, const HttpRequest &request, Milliseconds timeout,
                      Callback callback)
{
    send(to, request, HttpTimeouts{std::nullopt, timeout, std::nullopt, timeout},
         std::move(callback));
}

void HttpClient::send(const Address &to, const HttpRequest &request, const HttpTimeouts &timeouts,
                      Callback callback)
{
    auto newCall = std::make_unique<Impl::Call>();
    Impl::Call *call = newCall.get();
    call->client = impl_.get();
    call->to = to;
    call->connection = impl_->acquireConnection(to);
    call->callback = std::move(callback);
    call->timeouts = timeouts;
    call->held = std::make_unique<HeldBytes>(impl_->loop->buffers(), BufferUse::Control, [call] {
        Impl::failLater(*call, detail::ReceiveFault::Budget);
    });
    impl_->startTimers(*call);
    impl_->calls.emplace(call, std::move(newCall));

    evhttp_request *raw = evhttp_request_new(&Impl::onDone, call);
    evhttp_request_set_header_cb(raw, &Impl::onHead);
    evkeyvalq *headers = evhttp_request_get_output_headers(raw);
    if (!request.headers.contains("Host"))
        evhttp_add_header(headers, "Host", to.toString().c_str());
    for (const auto &[name, value] : request.headers)
        evhttp_add_header(headers, name.c_str(), value.c_str());
    evbuffer_add(evhttp_request_get_output_buffer(raw), request.body.data(), request.body.size());
    Impl::watchBuffers(*call);
    evhttp_make_request(call->connection.get(), raw, detail::commandOf(request.method),
                        request.path.c_str());
    Impl::setSocketOptions(*call);
}

void HttpClient::closeIdleConnections(const Address &address)
{
    impl_->idle.erase(address);
}

Result<HttpResponse> callBlocking(const Address &to, const HttpRequest &request,
                                  Milliseconds timeout)
{
    EventLoop loop;
    HttpClient client(loop);
    Result<HttpResponse> result
            = fail(ErrorKind::Unavailable, "no response was received", "try again later");
    client.send(to, request, timeout, [&](Result<HttpResponse> response) {
        result = std::move(response);
        loop.stop();
    });
    loop.run();
    return result;
}

} // namespace cornelhead
