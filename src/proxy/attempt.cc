// Implements attempts over evhttp's client connections.
#include "cornelhead/proxy/attempt.h"

#include <cstdlib>
#include <string>
#include <utility>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/keyvalq_struct.h>

#include "cornelhead/net/socket-options.h"
#include "cornelhead/proxy/request-head.h"

namespace cornelhead::detail {

namespace {

constexpr int noContent = 204;
constexpr int notModified = 304;
constexpr int decimal = 10;
// Connections idle for longer may have been lost by something between the two ends.
constexpr Milliseconds freshLimit = Milliseconds(1000);

// Says whether the end of the answer is marked, so that a cut one is noticed.
bool statesItsEnd(evhttp_request *raw)
{
    const int status = evhttp_request_get_response_code(raw);
    const evkeyvalq *headers = evhttp_request_get_input_headers(raw);
    return status == noContent || status == notModified
            || evhttp_request_get_command(raw) == EVHTTP_REQ_HEAD
            || evhttp_find_header(headers, "Content-Length")
            || evhttp_find_header(headers, "Transfer-Encoding");
}

} // namespace

Attempt::Attempt(EventLoop &loop, UpstreamPool &pool, const ConnectionNeed &need,
                 AttemptHandlers handlers)
    : pool_(pool), to_(need.to), handlers_(std::move(handlers)), connection_(pool.take(need)),
      raw_(evhttp_request_new(&Attempt::onDone, this))
{
    evhttp_request_set_header_cb(raw_, &Attempt::onHeadRead);
    // Reading is stopped outside of evhttp's own callback, which starts it again at its end.
    const auto stopReading = [](evutil_socket_t, short, void *arg) {
        auto *attempt = static_cast<Attempt *>(arg);
        if (attempt->isPaused_ && attempt->connection_)
            bufferevent_disable(evhttp_connection_get_bufferevent(attempt->connection_.get()),
                                EV_READ);
    };
    pauseEvent_.reset(event_new(loop.base(), -1, 0, stopReading, this));
}

Attempt::~Attempt()
{
    if (isRequested_)
        cancel();
    else
        evhttp_request_free(raw_);
}

evkeyvalq *Attempt::headers()
{
    return evhttp_request_get_output_headers(raw_);
}

evbuffer *Attempt::body()
{
    return evhttp_request_get_output_buffer(raw_);
}

void Attempt::limitBody(std::optional<std::size_t> bytes)
{
    // A negative size lifts the limit that an earlier call on the connection has set.
    evhttp_connection_set_max_body_size(connection_.get(),
                                        bytes ? static_cast<ev_ssize_t>(*bytes) : -1);
}

void Attempt::send(evhttp_cmd_type method, const char *uri)
{
    isRequested_ = true;
    watchOutput();
    if (evhttp_make_request(connection_.get(), raw_, method, uri) != 0) {
        // evhttp has freed the request.
        raw_ = nullptr;
        finish(AttemptFailure::NotSent);
        return;
    }
    tuneSocket();
}

void Attempt::tuneSocket()
{
    if (!connection_)
        return;
    setOutgoingSocketOptions(
            bufferevent_getfd(evhttp_connection_get_bufferevent(connection_.get())));
}

void Attempt::cancel()
{
    if (isOver_)
        return;
    isOver_ = true;
    unwatchOutput();
    // Closes the connection and calls nothing back.
    if (raw_)
        evhttp_cancel_request(std::exchange(raw_, nullptr));
}

void Attempt::pause()
{
    isPaused_ = true;
    event_active(pauseEvent_.get(), EV_TIMEOUT, 0);
}

void Attempt::resume()
{
    if (!std::exchange(isPaused_, false) || isOver_)
        return;
    bufferevent_enable(evhttp_connection_get_bufferevent(connection_.get()), EV_READ);
}

void Attempt::onOutput(evbuffer *, const evbuffer_cb_info *info, void *arg)
{
    if (info->n_deleted > 0)
        static_cast<Attempt *>(arg)->wasSent_ = true;
}

void Attempt::watchOutput()
{
    bufferevent *events = evhttp_connection_get_bufferevent(connection_.get());
    output_ = evbuffer_add_cb(bufferevent_get_output(events), &Attempt::onOutput, this);
}

void Attempt::unwatchOutput()
{
    if (!output_ || !connection_)
        return;
    bufferevent *events = evhttp_connection_get_bufferevent(connection_.get());
    evbuffer_remove_cb_entry(bufferevent_get_output(events), std::exchange(output_, nullptr));
}

int Attempt::onHeadRead(evhttp_request *raw, void *arg)
{
    auto *attempt = static_cast<Attempt *>(arg);
    attempt->isStreaming_ = statesItsEnd(raw) && attempt->handlers_.onHead(raw);
    if (attempt->isStreaming_)
        evhttp_request_set_chunked_cb(raw, &Attempt::onChunkRead);
    return 0;
}

void Attempt::onChunkRead(evhttp_request *raw, void *arg)
{
    auto *attempt = static_cast<Attempt *>(arg);
    if (!attempt->isOver_)
        attempt->handlers_.onChunk(evhttp_request_get_input_buffer(raw));
}

AttemptEnd Attempt::endOf(evhttp_request *raw) const
{
    if (!raw || evhttp_request_get_response_code(raw) == 0)
        return wasSent_ ? AttemptFailure::Broken : AttemptFailure::NotSent;
    if (isStreaming_)
        return StreamEnd{};
    if (!statesItsEnd(raw))
        return UnboundedAnswer{raw};
    return WholeAnswer{raw};
}

void Attempt::onDone(evhttp_request *raw, void *arg)
{
    auto *attempt = static_cast<Attempt *>(arg);
    attempt->raw_ = nullptr;
    if (!attempt->isOver_)
        attempt->finish(attempt->endOf(raw));
}

void Attempt::finish(const AttemptEnd &end)
{
    isOver_ = true;
    unwatchOutput();
    const bool isReusable
            = std::holds_alternative<WholeAnswer>(end) || std::holds_alternative<StreamEnd>(end);
    // A connection that cannot be reused is freed with the attempt, outside of evhttp's callback.
    if (isReusable && UpstreamPool::isReusable(connection_.get()))
        pool_.give(to_, std::move(connection_), now(SteadyClock()));
    handlers_.onEnd(end);
}

ConnectionNeed connectionNeed(const Address &to, bool mustNotFail)
{
    return ConnectionNeed{to, mustNotFail ? now(SteadyClock()) - freshLimit : TimePoint{}, {}};
}

bool isLongAnswer(evhttp_request *answer, std::size_t bytes)
{
    const evkeyvalq *headers = evhttp_request_get_input_headers(answer);
    if (evhttp_find_header(headers, "Transfer-Encoding"))
        return true;
    const char *length = evhttp_find_header(headers, "Content-Length");
    return length && std::strtoull(length, nullptr, decimal) > bytes;
}

void copyRequest(evhttp_request *from, Attempt &to)
{
    copyEndToEndHeaders(evhttp_request_get_input_headers(from), to.headers());
    evbuffer *body = evhttp_request_get_input_buffer(from);
    const std::size_t size = evbuffer_get_length(body);
    if (size == 0)
        return;
    // evhttp states no length for a body of GET or DELETE.
    evhttp_add_header(to.headers(), "Content-Length", std::to_string(size).c_str());
    evbuffer_add_buffer_reference(to.body(), body);
}

} // namespace cornelhead::detail
