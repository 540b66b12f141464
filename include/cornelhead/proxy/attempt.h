// One attempt of a call at one backend server or node, on one connection.
#pragma once

#include <functional>
#include <optional>
#include <variant>

#include <event2/http.h>

#include "cornelhead/base/address.h"
#include "cornelhead/net/event-loop.h"
#include "cornelhead/net/receive-limit.h"
#include "cornelhead/net/status-line-check.h"
#include "cornelhead/proxy/evhttp-handles.h"
#include "cornelhead/proxy/message-head.h"
#include "cornelhead/proxy/request-view.h"
#include "cornelhead/proxy/upstream-pool.h"
#include "cornelhead/routing/retry.h"

struct bufferevent;
struct evbuffer;
struct evbuffer_cb_entry;
struct evbuffer_cb_info;

namespace cornelhead::detail {

/// A complete, buffered response; `raw` is valid only during the handler.
struct CompleteResponse
{
    evhttp_request *raw = nullptr;
};

/// The last chunk of a streamed response was read.
struct StreamedResponseEnd
{ };

/// A response whose head does not state where it ends, ended by an orderly close of the connection.
/// It cannot be distinguished from a truncated one.  `raw` is valid only during the handler.
struct CloseDelimitedResponse
{
    evhttp_request *raw = nullptr;
};

using AttemptOutcome = std::variant<CompleteResponse, StreamedResponseEnd, CloseDelimitedResponse,
                                    AttemptFailure>;

/// The callbacks of an attempt.  None runs after `cancel` or `onEnd`.
struct AttemptHandlers
{
    /// Receives the head of a self-delimited response; returns whether to stream its body.
    std::function<bool(evhttp_request *)> onHead;
    std::function<void(evbuffer *)> onChunk;
    std::function<void(const AttemptOutcome &)> onEnd;
    /// All bytes of the request have left the output buffer; runs inside the buffer's callback and
    /// must not touch the attempt.  May be empty.
    std::function<void()> onSent = {};
};

/// Sends one request and waits for its response.
///
/// Must not be destroyed inside its own handlers, as evhttp still uses the connection there.
class Attempt
{
public:
    Attempt(EventLoop &loop, UpstreamPool &pool, const ConnectionSpec &spec,
            AttemptHandlers handlers);
    ~Attempt();
    Attempt(const Attempt &) = delete;
    Attempt &operator=(const Attempt &) = delete;

    /// The headers and body of the request, to be filled before `send`.
    evkeyvalq *headers();
    evbuffer *body();
    /// Fails the attempt as `TooLong` when the response body is longer; without a value there is no
    /// limit for a streamed body.  The length of other bodies, of heads and of framing is always
    /// limited.
    void limitResponseBody(std::optional<std::size_t> bytes);
    /// Sends the request; may call `onEnd` before it returns.
    void send(evhttp_cmd_type method, const char *uri);

    /// Closes the connection; no handler runs afterwards.
    void cancel();
    /// Returns whether any byte of the request may have left this process.
    bool wasSent() const { return wasSent_; }
    /// Returns whether an earlier request was sent on the same connection, so that a response that
    /// names no request may belong to that one.
    bool isOnUsedConnection() const { return isOnUsedConnection_; }
    /// Returns why the attempt ended with `AttemptFailure::InvalidHead`; empty if it did not.
    std::optional<HeadFault> headFault() const { return headFault_; }
    /// Returns why the attempt ended with `AttemptFailure::TooLong`; empty if it did not.
    std::optional<ReceiveFault> receiveFault() const { return receiveFault_; }
    /// Pauses and resumes the reading of a streamed response.
    void pause();
    void resume();

private:
    static void onDone(evhttp_request *raw, void *arg);
    static int onHeadRead(evhttp_request *raw, void *arg);
    static void onChunkRead(evhttp_request *raw, void *arg);
    static void onReadError(evhttp_request_error error, void *arg);
    static void onOutput(evbuffer *buffer, const evbuffer_cb_info *info, void *arg);
    static void onInput(evbuffer *buffer, const evbuffer_cb_info *info, void *arg);

    void observeStatusLine();
    void startBody(evhttp_request *raw);
    /// Runs outside of evhttp's callbacks.
    void onDeferred();
    /// Ends the attempt as `TooLong` outside of evhttp's callbacks.
    void failLater(ReceiveFault fault);
    void updateHeldBytes();
    /// Copies a part of a buffered body.
    void collect(evbuffer *part, std::size_t size);
    void finish(const AttemptOutcome &outcome);
    AttemptOutcome outcomeOf(evhttp_request *raw);
    bufferevent *events() const;
    void watchBuffers();
    void unwatchBuffers();
    void tuneSocket();

    UpstreamPool &pool_;
    const Address to_;
    AttemptHandlers handlers_;
    UpstreamHandle connection_;
    const bool isOnUsedConnection_;
    // Owned by evhttp after `send`; null once the attempt has ended.
    evhttp_request *raw_ = nullptr;
    evbuffer_cb_entry *outputCallback_ = nullptr;
    evbuffer_cb_entry *inputCallback_ = nullptr;
    std::unique_ptr<event, EventDeleter> deferredEvent_;
    std::optional<std::size_t> bodyLimit_;
    StatusLineCheck statusLine_;
    std::optional<HeadFault> headFault_;
    ReceiveLimit received_;
    HeldBytes held_;
    std::optional<ReceiveFault> receiveFault_;
    // The body of a buffered response that comes in parts of any size.
    BufferHandle body_;
    bool isStreaming_ = false;
    bool isPaused_ = false;
    bool isFinished_ = false;
    bool isSubmitted_ = false;
    bool wasSent_ = false;
};

/// Describes the connection for a call.  With `requiresFresh`, for calls that must not be sent
/// twice, connections that were idle for over a second are not reused.
ConnectionSpec connectionSpec(const Address &to, bool requiresFresh);

/// Returns whether a response has a transfer coding or a body longer than `bytes`.
bool isLongResponse(evhttp_request *response, std::size_t bytes);

/// Copies the end-to-end headers of a caller's request and shares its body by reference.
void copyRequest(const RequestView &from, Attempt &to);

} // namespace cornelhead::detail
