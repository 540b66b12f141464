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
/// A connection to a backend server or another node.  Never freed inside its own callbacks.
using UpstreamHandle = std::unique_ptr<evhttp_connection, UpstreamDeleter>;
using BufferHandle = std::unique_ptr<evbuffer, BufferDeleter>;

/// Opens a listening, non-blocking socket; several may share the address when `isShared`.
/// Returns -1 when the address cannot be taken.
int openListenSocket(const char *address, bool isShared);

/// Tells whether the other end has closed its side of the connection.
bool hasPeerClosed(evhttp_connection *connection);

} // namespace cornelhead::detail
