// Implements the caller's side of a call.
#include "cornelhead/proxy/caller.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>

#include "cornelhead/base/check.h"
#include "cornelhead/proxy/listener.h"

namespace cornelhead::detail {

namespace {

// The bound, plus one read, of what is buffered for a caller that reads slower than the server
// sends.
constexpr std::size_t maxUnsentResponseBytes = 256 * 1024;

} // namespace

Caller::Caller(WorkerState &worker, evhttp_request *request)
    : worker_(worker), request_(request) { }

Caller::~Caller()
{
    // evhttp frees an unanswered request together with its connection.
    if (request_)
        detachRequest();
}

bool Caller::hasDisconnected() const
{
    evhttp_connection *connection = evhttp_request_get_connection(request_);
    return !connection || hasPeerClosed(connection);
}

void Caller::watchDisconnect(std::function<void()> onDisconnect)
{
    onDisconnect_ = std::move(onDisconnect);
    evhttp_connection *connection = evhttp_request_get_connection(request_);
    const int fd = bufferevent_getfd(evhttp_connection_get_bufferevent(connection));
    const auto closed = [](evutil_socket_t, short, void *arg) {
        static_cast<Caller *>(arg)->handleDisconnect();
    };
    // evhttp does not read while a request waits for its response, so it would not see the close.
    closeEvent_.reset(event_new(worker_.loop.base(), fd, EV_CLOSED, closed, this));
    event_add(closeEvent_.get(), nullptr);
}

void Caller::handleDisconnect()
{
    closeEvent_.reset();
    worker_.node.counters.callerDisconnects.add();
    if (const auto onDisconnect = std::exchange(onDisconnect_, nullptr))
        onDisconnect();
}

evhttp_request *Caller::detachRequest()
{
    CORNELHEAD_CHECK(request_);
    closeEvent_.reset();
    evhttp_request *request = std::exchange(request_, nullptr);
    evhttp_connection *connection = evhttp_request_get_connection(request);
    if (isStreaming_ && connection)
        evhttp_connection_set_closecb(connection, nullptr, nullptr);
    return request;
}

void Caller::refuse(const Refusal &refusal)
{
    const Listener::ResponseScope responseScope;
    worker_.node.counters.refusal(refusal.reason, refusal.run).add();
    // After a malformed request it is uncertain where the next request begins.
    const bool isMalformed = refusal.reason == RefusalReason::BadRequest;
    sendRefusal(detachRequest(), refusal, worker_.node.refusalBodies,
                isMalformed ? AfterResponse::Close : worker_.afterResponse());
}

void Caller::respond(evhttp_request *response)
{
    const Listener::ResponseScope responseScope;
    worker_.node.counters.responses.add();
    sendResponse(detachRequest(), response, worker_.afterResponse());
}

void Caller::respond(const StoredResponse &response)
{
    const Listener::ResponseScope responseScope;
    worker_.node.counters.responses.add();
    sendStoredResponse(detachRequest(), response, worker_.afterResponse());
}

void Caller::startStream(evhttp_request *response, std::function<void()> onDrained)
{
    const Listener::ResponseScope responseScope;
    isStreaming_ = true;
    onDrained_ = std::move(onDrained);
    // While evhttp writes, it may find the connection closed and free it before closeEvent_ fires.
    const auto closed = [](evhttp_connection *, void *arg) {
        static_cast<Caller *>(arg)->handleDisconnect();
    };
    evhttp_connection_set_closecb(evhttp_request_get_connection(request_), closed, this);
    startResponse(request_, response, worker_.afterResponse());
}

bool Caller::sendChunk(evbuffer *chunk)
{
    const Listener::ResponseScope responseScope;
    const auto drained
            = [](evhttp_connection *, void *arg) { static_cast<Caller *>(arg)->onDrained_(); };
    evhttp_send_reply_chunk_with_cb(request_, chunk, drained, this);
    evhttp_connection *connection = evhttp_request_get_connection(request_);
    evbuffer *unsent = bufferevent_get_output(evhttp_connection_get_bufferevent(connection));
    return evbuffer_get_length(unsent) > maxUnsentResponseBytes;
}

void Caller::endStream()
{
    const Listener::ResponseScope responseScope;
    worker_.node.counters.responses.add();
    evhttp_send_reply_end(detachRequest());
}

void Caller::abortStream()
{
    const Listener::ResponseScope responseScope;
    worker_.node.counters.abortedResponses.add();
    abortResponse(detachRequest());
}

} // namespace cornelhead::detail
