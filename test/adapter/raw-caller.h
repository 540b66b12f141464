// A caller on the event loop of the test that sends arbitrary bytes.
#pragma once

#include <sys/socket.h>

#include <string>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

#include "cornelhead/base/address.h"
#include "cornelhead/net/event-loop.h"

namespace cornelhead {

class RawCaller
{
public:
    RawCaller(EventLoop &loop, const Address &to)
        : connection_(bufferevent_socket_new(loop.base(), -1, BEV_OPT_CLOSE_ON_FREE))
    {
        const auto onRead = [](bufferevent *, void *arg) { static_cast<RawCaller *>(arg)->read(); };
        const auto onEvent = [](bufferevent *, short what, void *arg) {
            static_cast<RawCaller *>(arg)->isClosed |= (what & BEV_EVENT_CONNECTED) == 0;
        };
        bufferevent_setcb(connection_, onRead, nullptr, onEvent, this);
        bufferevent_enable(connection_, EV_READ | EV_WRITE);
        sockaddr_storage address{};
        int size = sizeof address;
        evutil_parse_sockaddr_port(to.toString().c_str(), reinterpret_cast<sockaddr *>(&address),
                                   &size);
        bufferevent_socket_connect(connection_, reinterpret_cast<sockaddr *>(&address), size);
    }
    ~RawCaller() { bufferevent_free(connection_); }
    RawCaller(const RawCaller &) = delete;
    RawCaller &operator=(const RawCaller &) = delete;

    void send(const std::string &bytes) const
    {
        bufferevent_write(connection_, bytes.data(), bytes.size());
    }

    /// Makes the destructor reset the connection.
    void resetAtEnd() const
    {
        const linger reset{1, 0};
        setsockopt(bufferevent_getfd(connection_), SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
    }

    /// What has been received.
    std::string received;
    bool isClosed = false;

private:
    void read()
    {
        evbuffer *input = bufferevent_get_input(connection_);
        std::string bytes(evbuffer_get_length(input), '\0');
        evbuffer_remove(input, bytes.data(), bytes.size());
        received += bytes;
    }

    bufferevent *connection_;
};

} // namespace cornelhead
