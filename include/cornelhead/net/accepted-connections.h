// Limits what the connections that an HTTP server has accepted hold in memory.
#pragma once

#include <cstddef>
#include <memory>
#include <vector>

#include "cornelhead/net/event-loop.h"

struct bufferevent;

namespace cornelhead::detail {

/// Watches the buffers of accepted connections.
///
/// evhttp limits one head and one body, but neither the requests that a client sends ahead, nor the
/// size of a chunk, nor the responses that clients don't read.  Requests sent ahead wait in the
/// client's socket here; a request that is too long and a connection that is evicted from the
/// loop's budget end the connection.
class AcceptedConnections
{
public:
    AcceptedConnections(EventLoop &loop, std::size_t maxHeadBytes, std::size_t maxBodyBytes);
    ~AcceptedConnections();
    AcceptedConnections(const AcceptedConnections &) = delete;
    AcceptedConnections &operator=(const AcceptedConnections &) = delete;

    /// Creates a connection for evhttp (`evhttp_set_bevcb`) and watches it from then on.  Its
    /// socket is shut down when evhttp frees it, and closed in the next sweep.
    bufferevent *create();
    /// Releases the connections that evhttp has freed, and ends those that cannot go on; to be
    /// called periodically.
    void sweep();

private:
    struct Connection;

    void releaseNextIfFreed();
    /// Releases closed connections in the next turn of the loop.
    void sweepSoon();

    EventLoop &loop_;
    const std::size_t maxUnreadBytes_;
    std::vector<std::unique_ptr<Connection>> connections_;
    std::size_t next_ = 0;
    Timer sweepTimer_;
    bool isSweepDue_ = false;
};

} // namespace cornelhead::detail
