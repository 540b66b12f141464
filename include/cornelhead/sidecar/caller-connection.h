// One connection of a local caller: its requests side by side, its responses in order.
//
// Load pattern: callers that send requests ahead.  They run side by side as far as their methods
// allow; what cannot run yet waits here, and what is beyond the limit waits in the caller's socket.
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <event2/util.h>

#include "cornelhead/base/clock.h"
#include "cornelhead/net/event-loop.h"
#include "cornelhead/sidecar/received-request.h"
#include "cornelhead/sidecar/rendered-response.h"
#include "cornelhead/sidecar/request-order.h"
#include "cornelhead/sidecar/request-reader.h"

namespace cornelhead::detail {

class CallerConnection;

/// A request with its place in the order of a connection.
struct PendingRequest
{
    /// Null in place of a request that could not be read.
    std::unique_ptr<ReceivedRequest> received;
    RequestKind kind = RequestKind::Exclusive;
    bool isStarted = false;
    /// The connection has no use for a response any more.
    bool isDetached = false;
    /// The connection ends after the response.
    bool closesConnection = false;
    /// Runs once if the connection is closed before the response.
    std::function<void()> onDisconnect;
    std::optional<RenderedResponse> response;
};

/// A request that is to be answered at its connection.
struct IncomingRequest
{
    std::shared_ptr<CallerConnection> connection;
    std::shared_ptr<PendingRequest> request;
};

/// The part of a listener that its connections use; must outlive their sockets.
class CallerConnectionOwner
{
public:
    virtual ~CallerConnectionOwner() = default;

    virtual void onRequest(IncomingRequest request) = 0;
    /// Returns the response to a request that could not be read.
    virtual RenderedResponse refuse(ReadFault fault) = 0;
    /// A request started while another one of its connection was running.
    virtual void onStartedAhead() = 0;
    /// Requests were read, but neither passed on nor answered.
    virtual void onDropped(std::size_t requests) = 0;
    /// The socket is closed.  The owner may release the connection.
    virtual void onClosed(CallerConnection &connection) = 0;
};

/// Reads requests from a socket and writes their responses in the order of the requests.
///
/// Invariant: a request that was read is started, in order, unless the connection ends before it.
class CallerConnection : public std::enable_shared_from_this<CallerConnection>
{
public:
    /// Takes the ownership of `socket`.  At most `maxRequests` requests are held at once.
    CallerConnection(EventLoop &loop, CallerConnectionOwner &owner, evutil_socket_t socket,
                     std::size_t maxRequests);
    ~CallerConnection();
    CallerConnection(const CallerConnection &) = delete;
    CallerConnection &operator=(const CallerConnection &) = delete;

    void start();
    /// Responds to a request.  Does nothing if the connection is closed.
    void respond(PendingRequest &request, RenderedResponse response);
    /// Closes the socket; requests without a response are told.
    void close();
    /// From now on the response to the last request that was read ends the connection.
    void closeWhenIdle();
    /// Closes the connection if its caller has been idle for too long; to be called periodically.
    void sweep(TimePoint now);

private:
    bool isOpen() const { return socket_ >= 0; }
    bool mayTakeRequest() const;
    void onReadable();
    void onWritable();
    /// Runs after the callbacks of requests and buffers.
    void onTurn();
    bool isReset() const;
    void scheduleTurn();
    /// Reads requests from bytes until no further one may be taken; returns the unread rest.
    std::string_view readRequests(std::string_view bytes);
    void readHeldBack();
    void addRequest(std::unique_ptr<ReceivedRequest> received);
    void addFault(ReadFault fault);
    void startRequests();
    /// Drops the requests that have not started, and reads no more.
    void dropWaiting();
    void queueResponses();
    void queueContinue();
    void write();
    /// Tells the requests that no response is wanted any more.
    void detachRequests();
    void finish();
    void discardInput();
    void updateReading();
    void updateHeldBytes();

    EventLoop &loop_;
    CallerConnectionOwner &owner_;
    evutil_socket_t socket_;
    const std::size_t maxRequests_;
    std::unique_ptr<event, EventDeleter> readEvent_;
    std::unique_ptr<event, EventDeleter> closeEvent_;
    std::unique_ptr<event, EventDeleter> writeEvent_;
    std::unique_ptr<event, EventDeleter> turnEvent_;
    RequestReader reader_;
    // Received, but not yet fed to the reader.
    BufferHandle input_;
    BufferHandle output_;
    // Invariant: those that have started come first, and at most one has not.
    std::deque<std::shared_ptr<PendingRequest>> requests_;
    std::size_t started_ = 0;
    RequestOrder order_;
    HeldBytes held_;
    // When bytes were received or sent last.
    TimePoint lastProgressAt_{};
    bool isReading_ = false;
    // No further requests are read.
    bool isEnding_ = false;
    bool closesWhenIdle_ = false;
    // The last response is in the output.
    bool isFinished_ = false;
    // Nothing is sent any more, and what the caller still sends is discarded.
    bool isDiscarding_ = false;
    bool isContinueDue_ = false;
    bool isEvicted_ = false;
};

} // namespace cornelhead::detail
