// Owning handles of evhttp and event objects.
#pragma once

#include <memory>

struct evbuffer;
struct evhttp;
struct evhttp_connection;
struct evhttp_request;

namespace cornelhead::detail {

struct ListenerDeleter
{
    void operator()(evhttp *listener) const;
};
struct UpstreamDeleter
{
    void operator()(evhttp_connection *connection) const;
};
struct BufferDeleter
{
    void operator()(evbuffer *buffer) const;
};

using ListenerHandle = std::unique_ptr<evhttp, ListenerDeleter>;
/// A connection to a backend server or another node.  Must not be freed inside its callbacks.
using UpstreamHandle = std::unique_ptr<evhttp_connection, UpstreamDeleter>;
using BufferHandle = std::unique_ptr<evbuffer, BufferDeleter>;

/// Opens a listening, non-blocking socket.  With `isShared`, several sockets may be bound to the
/// address (SO_REUSEPORT).  Returns -1 when the address cannot be bound.
int openListenSocket(const char *address, bool isShared);

/// Returns whether the peer has closed its side of the connection.
bool hasPeerClosed(evhttp_connection *connection);

} // namespace cornelhead::detail
