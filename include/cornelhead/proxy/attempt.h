// One try of a call at one backend server or node, on one connection.
#pragma once

#include <functional>
#include <optional>
#include <variant>

#include <event2/http.h>

#include "cornelhead/base/address.h"
#include "cornelhead/net/event-loop.h"
#include "cornelhead/proxy/upstream-pool.h"
#include "cornelhead/routing/retry.h"

struct evbuffer;
struct evbuffer_cb_entry;
struct evbuffer_cb_info;

namespace cornelhead::detail {

/// A whole answer; `raw` is valid during the handler only.
struct CompleteResponse
{
    evhttp_request *raw = nullptr;
};

/// A streamed answer came to its end.
struct StreamedResponseEnd
{ };

/// The answer states no end and came to one by an orderly close; `raw` is valid during the handler
/// only.  It cannot be told from one that the server cut.
struct CloseDelimitedResponse
{
    evhttp_request *raw = nullptr;
};

using AttemptOutcome = std::variant<CompleteResponse, StreamedResponseEnd, CloseDelimitedResponse,
                                    AttemptFailure>;

/// What the owner of an attempt is told.  No handler runs after `cancel` or `onEnd`.
struct AttemptHandlers
{
    /// Looks at the head of an answer; returns whether to stream its body.
    std::function<bool(evhttp_request *)> onHead;
    std::function<void(evbuffer *)> onChunk;
    std::function<void(const AttemptOutcome &)> onEnd;
};

/// Sends one request and waits for its answer.
///
/// Must not be destroyed inside its own handlers, as evhttp still uses the connection there.
class Attempt
{
public:
    Attempt(EventLoop &loop, UpstreamPool &pool, const ConnectionSpec &need,
            AttemptHandlers handlers);
    ~Attempt();
    Attempt(const Attempt &) = delete;
    Attempt &operator=(const Attempt &) = delete;

    /// To be filled before `send`.
    evkeyvalq *headers();
    evbuffer *body();
    /// An answer with a longer body counts as broken; nothing sets no limit.
    void limitResponseBody(std::optional<std::size_t> bytes);
    void send(evhttp_cmd_type method, const char *uri);

    /// Closes the connection and calls no handler any more.
    void cancel();
    /// Tells whether a byte of the request may have left this process.
    bool wasSent() const { return wasSent_; }
    /// Stops and goes on reading a streamed answer.
    void pause();
    void resume();

private:
    static void onDone(evhttp_request *raw, void *arg);
    static int onHeadRead(evhttp_request *raw, void *arg);
    static void onChunkRead(evhttp_request *raw, void *arg);
    static void onOutput(evbuffer *buffer, const evbuffer_cb_info *info, void *arg);

    void finish(const AttemptOutcome &end);
    AttemptOutcome outcomeOf(evhttp_request *raw) const;
    void watchOutput();
    void unwatchOutput();
    void tuneSocket();

    UpstreamPool &pool_;
    const Address to_;
    AttemptHandlers handlers_;
    UpstreamHandle connection_;
    // Owned by evhttp once sent; null once ended.
    evhttp_request *raw_ = nullptr;
    evbuffer_cb_entry *output_ = nullptr;
    std::unique_ptr<event, EventDeleter> pauseEvent_;
    bool isStreaming_ = false;
    bool isPaused_ = false;
    bool isOver_ = false;
    bool isSubmitted_ = false;
    bool wasSent_ = false;
};

/// Returns the need of a call; one that must not be sent twice uses fresh connections only.
ConnectionSpec connectionSpec(const Address &to, bool requiresFresh);

/// Tells whether an answer's body is in chunks or longer than `bytes`.
bool isLongResponse(evhttp_request *answer, std::size_t bytes);

/// Copies the end-to-end headers and the body of a caller's request, which keeps its own.
void copyRequest(evhttp_request *from, Attempt &to);

} // namespace cornelhead::detail
