// Implements exchanges over evhttp.
#include "cornelhead/sidecar/exchange.h"

#include <sys/socket.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include "cornelhead/proxy/answer.h"
#include "cornelhead/proxy/evhttp-handles.h"
#include "cornelhead/proxy/listener.h"

namespace cornelhead::detail {

Exchange::Exchange(EventLoop &loop, evhttp_request *request) : loop_(loop), request_(request) { }

Exchange::~Exchange()
{
    abandon();
}

void Exchange::watch(std::function<void()> onGone)
{
    onDisconnect_ = std::move(onGone);
    evhttp_connection *connection = evhttp_request_get_connection(request_);
    const int fd = bufferevent_getfd(evhttp_connection_get_bufferevent(connection));
    const auto closed = [](evutil_socket_t, short, void *arg) {
        auto *exchange = static_cast<Exchange *>(arg);
        exchange->closeEvent_.reset();
        if (const auto gone = std::exchange(exchange->onDisconnect_, nullptr))
            gone();
    };
    // evhttp does not read while a request waits for its answer, so it would not notice.
    closeEvent_.reset(event_new(loop_.base(), fd, EV_CLOSED, closed, this));
    event_add(closeEvent_.get(), nullptr);
}

void Exchange::addHeader(const char *name, const std::string &value)
{
    addedHeaders_.emplace_back(name, value);
}

evhttp_request *Exchange::take()
{
    closeEvent_.reset();
    onDisconnect_ = nullptr;
    evhttp_request *request = std::exchange(request_, nullptr);
    evkeyvalq *output = evhttp_request_get_output_headers(request);
    for (const auto &[name, value] : addedHeaders_)
        evhttp_add_header(output, name.c_str(), value.c_str());
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
    constexpr int unavailable = 503;
    send(LocalResponse{unavailable, {}, {}});
}

void Exchange::send(const LocalResponse &answer)
{
    const Listener::Answering answering;
    evhttp_request *request = take();
    evkeyvalq *headers = evhttp_request_get_output_headers(request);
    for (const auto &[name, value] : answer.headers)
        evhttp_add_header(headers, name.c_str(), value.c_str());
    if (closesAfterResponse_)
        evhttp_add_header(headers, "Connection", "close");
    const BufferHandle body(evbuffer_new());
    evbuffer_add(body.get(), answer.body.data(), answer.body.size());
    evhttp_send_reply(request, answer.status, nullptr, body.get());
}

void Exchange::pass(evhttp_request *answer)
{
    const Listener::Answering answering;
    evkeyvalq *received = evhttp_request_get_input_headers(answer);
    for (const char *name : omittedHeaders_)
        evhttp_remove_header(received, name);
    sendAnswer(take(), answer, closesAfterResponse_ ? AfterAnswer::Close : AfterAnswer::KeepOpen);
}

void Exchange::pass(const RememberedAnswer &answer)
{
    const Listener::Answering answering;
    sendRemembered(take(), answer,
                   closesAfterResponse_ ? AfterAnswer::Close : AfterAnswer::KeepOpen);
}

} // namespace cornelhead::detail
