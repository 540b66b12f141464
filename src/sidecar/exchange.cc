// Implements exchanges over evhttp.
#include "cornelhead/sidecar/exchange.h"

#include <sys/socket.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include "cornelhead/proxy/evhttp-handles.h"
#include "cornelhead/proxy/listener.h"
#include "cornelhead/proxy/message-head.h"
#include "cornelhead/proxy/response.h"

namespace cornelhead::detail {

Exchange::Exchange(EventLoop &loop, evhttp_request *request) : loop_(loop), request_(request) { }

Exchange::~Exchange()
{
    abandon();
}

void Exchange::watchConnection(std::function<void()> onDisconnect)
{
    onDisconnect_ = std::move(onDisconnect);
    evhttp_connection *connection = evhttp_request_get_connection(request_);
    const int fd = bufferevent_getfd(evhttp_connection_get_bufferevent(connection));
    const auto onClosed = [](evutil_socket_t, short, void *arg) {
        auto *exchange = static_cast<Exchange *>(arg);
        exchange->closeEvent_.reset();
        if (const auto onDisconnect = std::exchange(exchange->onDisconnect_, nullptr))
            onDisconnect();
    };
    // evhttp does not read while a request waits for its response, so it misses a closed
    // connection.
    closeEvent_.reset(event_new(loop_.base(), fd, EV_CLOSED, onClosed, this));
    event_add(closeEvent_.get(), nullptr);
}

void Exchange::addHeader(const char *name, const std::string &value)
{
    addedHeaders_.emplace_back(name, value);
}

evhttp_request *Exchange::release()
{
    closeEvent_.reset();
    onDisconnect_ = nullptr;
    evhttp_request *request = std::exchange(request_, nullptr);
    evkeyvalq *outputHeaders = evhttp_request_get_output_headers(request);
    for (const auto &[name, value] : addedHeaders_)
        evhttp_add_header(outputHeaders, name.c_str(), value.c_str());
    return request;
}

void Exchange::abandon()
{
    if (!request_)
        return;
    evhttp_connection *connection = evhttp_request_get_connection(request_);
    if (connection) {
        // evhttp frees the connection once writing to the closed socket fails.
        shutdown(bufferevent_getfd(evhttp_connection_get_bufferevent(connection)), SHUT_RDWR);
    }
    constexpr int statusUnavailable = 503;
    send(LocalResponse{statusUnavailable, {}, {}});
}

void Exchange::send(const LocalResponse &response)
{
    const Listener::ResponseScope answering;
    evhttp_request *request = release();
    evkeyvalq *headers = evhttp_request_get_output_headers(request);
    for (const auto &[name, value] : response.headers)
        evhttp_add_header(headers, name.c_str(), value.c_str());
    if (closesAfterResponse_)
        evhttp_add_header(headers, "Connection", "close");
    const BufferHandle body(evbuffer_new());
    evbuffer_add(body.get(), response.body.data(), response.body.size());
    evhttp_send_reply(request, response.status, nullptr, body.get());
}

void Exchange::forward(evhttp_request *response)
{
    const Listener::ResponseScope answering;
    evkeyvalq *receivedHeaders = evhttp_request_get_input_headers(response);
    for (const char *name : omittedHeaders_)
        removeHeader(receivedHeaders, name);
    sendResponse(release(), response,
                 closesAfterResponse_ ? AfterResponse::Close : AfterResponse::KeepAlive);
}

void Exchange::forward(const StoredResponse &response)
{
    const Listener::ResponseScope answering;
    sendStoredResponse(release(), response,
                       closesAfterResponse_ ? AfterResponse::Close : AfterResponse::KeepAlive);
}

} // namespace cornelhead::detail
