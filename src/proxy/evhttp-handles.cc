// Implements the owning handles of evhttp objects and socket helpers.
#include "cornelhead/proxy/evhttp-handles.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/util.h>

namespace cornelhead::detail {

namespace {

constexpr int listenBacklog = 1024;

} // namespace

void ListenerDeleter::operator()(evhttp *listener) const
{
    evhttp_free(listener);
}

void UpstreamDeleter::operator()(evhttp_connection *connection) const
{
    evhttp_connection_free(connection);
}

void BufferDeleter::operator()(evbuffer *buffer) const
{
    evbuffer_free(buffer);
}

int openListenSocket(const char *address, bool isShared)
{
    sockaddr_storage storage{};
    int size = sizeof storage;
    auto *name = reinterpret_cast<sockaddr *>(&storage);
    if (evutil_parse_sockaddr_port(address, name, &size) != 0)
        return -1;
    const int fd = socket(name->sa_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    // Accepted sockets inherit the option.
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    if (isShared)
        setsockopt(fd, SOL_SOCKET, SO_REUSEPORT, &on, sizeof on);
    if (bind(fd, name, static_cast<socklen_t>(size)) == 0 && listen(fd, listenBacklog) == 0)
        return fd;
    evutil_closesocket(fd);
    return -1;
}

bool hasPeerClosed(evhttp_connection *connection)
{
    pollfd entry{};
    entry.fd = bufferevent_getfd(evhttp_connection_get_bufferevent(connection));
    entry.events = POLLRDHUP;
    return poll(&entry, 1, 0) > 0;
}

} // namespace cornelhead::detail
