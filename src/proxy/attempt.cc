// Implements attempts over evhttp's client connections.
#include "cornelhead/proxy/attempt.h"

#include <cstdlib>
#include <string>
#include <utility>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/keyvalq_struct.h>

#include "cornelhead/net/response-reading.h"
#include "cornelhead/net/socket-options.h"
#include "cornelhead/proxy/request-head.h"

namespace cornelhead::detail {

namespace {

constexpr int noContent = 204;
constexpr int notModified = 304;
constexpr int decimal = 10;
// After a longer idle time the connection may have been dropped by a middlebox.
constexpr Milliseconds maxFreshIdleTime = Milliseconds(1000);
// A response that is not streamed is held in memory, and a faulty server may send without end.
constexpr std::size_t maxBufferedBody = 8 * 1024 * 1024;

// Returns whether the message framing states the end of the response, so that truncation is
// detected.
bool isSelfDelimited(evhttp_request *raw)
{
    const int status = evhttp_request_get_response_code(raw);
    const evkeyvalq *headers = evhttp_request_get_input_headers(raw);
    return status == noContent || status == notModified
            || evhttp_request_get_command(raw) == EVHTTP_REQ_HEAD
            || evhttp_find_header(headers, "Content-Length")
            || evhttp_find_header(headers, "Transfer-Encoding");
}

} // namespace

Attempt::Attempt(EventLoop &loop, UpstreamPool &pool, const ConnectionSpec &spec,
                 AttemptHandlers handlers)
    : pool_(pool), to_(spec.to), handlers_(std::move(handlers)), connection_(pool.acquire(spec)),
      isOnUsedConnection_(UpstreamPool::isReusable(connection_.get())),
      raw_(evhttp_request_new(&Attempt::onDone, this)),
      held_(loop.buffers(), BufferUse::Call, [this] { failLater(ReceiveFault::Budget); })
{
    evhttp_request_set_header_cb(raw_, &Attempt::onHeadRead);
    evhttp_request_set_error_cb(raw_, &Attempt::onReadError);
    const auto run
            = [](evutil_socket_t, short, void *arg) { static_cast<Attempt *>(arg)->onDeferred(); };
    deferredEvent_.reset(event_new(loop.base(), -1, 0, run, this));
}

Attempt::~Attempt()
{
    if (isSubmitted_)
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

void Attempt::limitResponseBody(std::optional<std::size_t> bytes)
{
    bodyLimit_ = bytes;
    // A negative size removes a limit that an earlier call on the connection has set.
    evhttp_connection_set_max_body_size(connection_.get(),
                                        bytes ? static_cast<ev_ssize_t>(*bytes) : -1);
}

void Attempt::send(evhttp_cmd_type method, const char *uri)
{
    isSubmitted_ = true;
    watchBuffers();
    limitUnreadHeads(events());
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
    setOutgoingSocketOptions(bufferevent_getfd(events()));
}

void Attempt::cancel()
{
    if (isFinished_)
        return;
    isFinished_ = true;
    unwatchBuffers();
    // Closes the connection without a callback.
    if (raw_)
        evhttp_cancel_request(std::exchange(raw_, nullptr));
}

void Attempt::pause()
{
    isPaused_ = true;
    event_active(deferredEvent_.get(), EV_TIMEOUT, 0);
}

void Attempt::resume()
{
    if (!std::exchange(isPaused_, false) || isFinished_)
        return;
    bufferevent_enable(events(), EV_READ);
}

void Attempt::onDeferred()
{
    if (isFinished_)
        return;
    if (receiveFault_) {
        cancel();
        finish(AttemptFailure::TooLong);
    } else if (isPaused_) {
        // Not in evhttp's callback, as evhttp enables reading again when the callback returns.
        bufferevent_disable(events(), EV_READ);
    }
}

void Attempt::onOutput(evbuffer *buffer, const evbuffer_cb_info *info, void *arg)
{
    if (info->n_deleted == 0)
        return;
    auto *attempt = static_cast<Attempt *>(arg);
    attempt->wasSent_ = true;
    if (attempt->handlers_.onSent && evbuffer_get_length(buffer) == 0)
        attempt->handlers_.onSent();
}

void Attempt::onInput(evbuffer *buffer, const evbuffer_cb_info *info, void *arg)
{
    auto *attempt = static_cast<Attempt *>(arg);
    attempt->updateHeldBytes();
    if (info->n_added > 0)
        attempt->observeStatusLine();
    if (const auto fault = countInput(attempt->received_, buffer, *info))
        attempt->failLater(*fault);
}

void Attempt::observeStatusLine()
{
    statusLine_.observe(bufferevent_get_input(events()));
    if (statusLine_.isInvalid())
        headFault_ = HeadFault::StatusCode;
}

void Attempt::failLater(ReceiveFault fault)
{
    if (receiveFault_ || isFinished_)
        return;
    receiveFault_ = fault;
    event_active(deferredEvent_.get(), EV_TIMEOUT, 0);
}

void Attempt::updateHeldBytes()
{
    const std::size_t collected = body_ ? evbuffer_get_length(body_.get()) : 0;
    held_.set(evbuffer_get_length(bufferevent_get_input(events())) + collected);
}

void Attempt::onReadError(evhttp_request_error error, void *arg)
{
    auto *attempt = static_cast<Attempt *>(arg);
    if (error == EVREQ_HTTP_DATA_TOO_LONG && !attempt->receiveFault_)
        attempt->receiveFault_
                = attempt->received_.isBodyStarted() ? ReceiveFault::Body : ReceiveFault::Heads;
}

bufferevent *Attempt::events() const
{
    return evhttp_connection_get_bufferevent(connection_.get());
}

void Attempt::watchBuffers()
{
    outputCallback_ = evbuffer_add_cb(bufferevent_get_output(events()), &Attempt::onOutput, this);
    inputCallback_ = evbuffer_add_cb(bufferevent_get_input(events()), &Attempt::onInput, this);
}

void Attempt::unwatchBuffers()
{
    if (!outputCallback_ || !connection_)
        return;
    evbuffer_remove_cb_entry(bufferevent_get_output(events()),
                             std::exchange(outputCallback_, nullptr));
    evbuffer_remove_cb_entry(bufferevent_get_input(events()),
                             std::exchange(inputCallback_, nullptr));
    held_.set(0);
}

int Attempt::onHeadRead(evhttp_request *raw, void *arg)
{
    auto *attempt = static_cast<Attempt *>(arg);
    if (dropInterimHead(raw)) {
        attempt->statusLine_.expectNext(bufferevent_get_input(attempt->events()));
        attempt->observeStatusLine();
        return 0;
    }
    if (!attempt->headFault_)
        attempt->headFault_ = findResponseFault(raw);
    if (attempt->headFault_)
        return -1;
    attempt->startBody(raw);
    return 0;
}

void Attempt::startBody(evhttp_request *raw)
{
    isStreaming_ = isSelfDelimited(raw) && handlers_.onHead(raw);
    if (!isStreaming_ && !bodyLimit_)
        evhttp_connection_set_max_body_size(connection_.get(),
                                            static_cast<ev_ssize_t>(maxBufferedBody));
    detail::startBody(received_, raw, events(), bodyLimit_.value_or(maxBufferedBody));
    if (!isStreaming_ && hasBodyOfUnknownLength(raw))
        body_.reset(evbuffer_new());
    if (isStreaming_ || body_)
        evhttp_request_set_chunked_cb(raw, &Attempt::onChunkRead);
}

void Attempt::onChunkRead(evhttp_request *raw, void *arg)
{
    auto *attempt = static_cast<Attempt *>(arg);
    evbuffer *chunk = evhttp_request_get_input_buffer(raw);
    const std::size_t size = evbuffer_get_length(chunk);
    attempt->received_.addBody(size);
    if (attempt->isFinished_)
        return;
    if (attempt->isStreaming_)
        attempt->handlers_.onChunk(chunk);
    else
        attempt->collect(chunk, size);
}

void Attempt::collect(evbuffer *part, std::size_t size)
{
    evbuffer_add(body_.get(), evbuffer_pullup(part, -1), size);
    updateHeldBytes();
}

AttemptOutcome Attempt::outcomeOf(evhttp_request *raw)
{
    if (headFault_)
        return AttemptFailure::InvalidHead;
    if (receiveFault_)
        return AttemptFailure::TooLong;
    if (!raw || evhttp_request_get_response_code(raw) == 0)
        return wasSent_ ? AttemptFailure::Broken : AttemptFailure::NotSent;
    if (isStreaming_)
        return StreamedResponseEnd{};
    if (body_)
        evbuffer_add_buffer(evhttp_request_get_input_buffer(raw), body_.get());
    if (!isSelfDelimited(raw))
        return CloseDelimitedResponse{raw};
    return CompleteResponse{raw};
}

void Attempt::onDone(evhttp_request *raw, void *arg)
{
    auto *attempt = static_cast<Attempt *>(arg);
    attempt->raw_ = nullptr;
    if (!attempt->isFinished_)
        attempt->finish(attempt->outcomeOf(raw));
}

void Attempt::finish(const AttemptOutcome &outcome)
{
    isFinished_ = true;
    unwatchBuffers();
    const bool isReusable = std::holds_alternative<CompleteResponse>(outcome)
            || std::holds_alternative<StreamedResponseEnd>(outcome);
    // A connection that is not reusable is freed with the attempt, outside of evhttp's callback.
    if (isReusable && UpstreamPool::isReusable(connection_.get()))
        pool_.release(to_, std::move(connection_), now(SteadyClock()));
    handlers_.onEnd(outcome);
}

ConnectionSpec connectionSpec(const Address &to, bool requiresFresh)
{
    return ConnectionSpec{
            to, requiresFresh ? now(SteadyClock()) - maxFreshIdleTime : TimePoint{}, {}};
}

bool isLongResponse(evhttp_request *response, std::size_t bytes)
{
    const evkeyvalq *headers = evhttp_request_get_input_headers(response);
    if (evhttp_find_header(headers, "Transfer-Encoding"))
        return true;
    const char *length = evhttp_find_header(headers, "Content-Length");
    return length && std::strtoull(length, nullptr, decimal) > bytes;
}

void copyRequest(const RequestView &from, Attempt &to)
{
    copyEndToEndHeaders(from.headers, to.headers());
    const std::size_t size = evbuffer_get_length(from.body);
    if (size == 0)
        return;
    // evhttp adds no Content-Length to GET or DELETE requests with a body.
    evhttp_add_header(to.headers(), "Content-Length", std::to_string(size).c_str());
    evbuffer_add_buffer_reference(to.body(), from.body);
}

} // namespace cornelhead::detail
