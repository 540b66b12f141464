// A server that sends bytes without end, and the kinds of bytes that it sends.
#pragma once

#include <algorithm>
#include <string>
#include <vector>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>

#include "cornelhead/net/event-loop.h"
#include "cornelhead/proxy/evhttp-handles.h"
#include "support/free-address.h"

namespace cornelhead {

/// Answers every connection with `start`, then with `filler` until the peer closes.
class EndlessServer
{
public:
    EndlessServer(EventLoop &loop, std::string start, std::string filler)
        : start_(std::move(start)), filler_(std::move(filler))
    {
        address = listenOnFreePort([&](const Address &free) { return listen(loop, free); });
    }
    ~EndlessServer()
    {
        evconnlistener_free(listener_);
        for (bufferevent *connection : open_)
            bufferevent_free(connection);
    }
    EndlessServer(const EndlessServer &) = delete;
    EndlessServer &operator=(const EndlessServer &) = delete;

    Address address;
    std::size_t connections = 0;
    std::size_t bytesSent = 0;
    bool hasOpenConnections() const { return !open_.empty(); }

private:
    bool listen(EventLoop &loop, const Address &free)
    {
        const auto accept = [](evconnlistener *listener, evutil_socket_t socket, sockaddr *, int,
                               void *arg) {
            static_cast<EndlessServer *>(arg)->serve(evconnlistener_get_base(listener), socket);
        };
        const int socket = detail::openListenSocket(free.toString().c_str(), false);
        if (socket < 0)
            return false;
        listener_ = evconnlistener_new(loop.base(), accept, this, LEV_OPT_CLOSE_ON_FREE, 0, socket);
        return true;
    }

    void serve(event_base *base, evutil_socket_t socket)
    {
        ++connections;
        bufferevent *connection = bufferevent_socket_new(base, socket, BEV_OPT_CLOSE_ON_FREE);
        open_.push_back(connection);
        const auto onRead = [](bufferevent *from, void *arg) {
            evbuffer *input = bufferevent_get_input(from);
            evbuffer_drain(input, evbuffer_get_length(input));
            auto *server = static_cast<EndlessServer *>(arg);
            bufferevent_write(from, server->start_.data(), server->start_.size());
        };
        const auto onWritten = [](bufferevent *to, void *arg) {
            static_cast<EndlessServer *>(arg)->sendMore(to);
        };
        const auto onEnd = [](bufferevent *ended, short, void *arg) {
            std::erase(static_cast<EndlessServer *>(arg)->open_, ended);
            bufferevent_free(ended);
        };
        bufferevent_setcb(connection, onRead, onWritten, onEnd, this);
        bufferevent_enable(connection, EV_READ | EV_WRITE);
    }

    void sendMore(bufferevent *to)
    {
        bytesSent += filler_.size();
        bufferevent_write(to, filler_.data(), filler_.size());
    }

    const std::string start_;
    const std::string filler_;
    evconnlistener *listener_ = nullptr;
    std::vector<bufferevent *> open_;
};

struct EndlessBytes
{
    std::string name;
    std::string start;
    std::string filler;
    /// The longest response that a node may hold, and what the socket buffers take.
    std::size_t maxBytes;
};

/// What the socket buffers and a response of at most a few heads take.
constexpr std::size_t bufferedBytes = 12 * 1024 * 1024;

/// Repeats `text` up to the size of a few reads.
inline std::string repeated(const std::string &text)
{
    constexpr std::size_t size = 64 * 1024;
    std::string all;
    while (all.size() < size)
        all += text;
    return all;
}

/// Interim responses of `size` bytes each.
inline EndlessBytes endlessInterimResponses(std::size_t size)
{
    std::string response = "HTTP/1.1 100 Continue\r\n";
    const std::string field = "X-Fill: \r\n";
    const std::size_t bare = response.size() + 2;
    if (size >= bare + field.size())
        response += "X-Fill: " + std::string(size - bare - field.size(), 'y') + "\r\n";
    response += "\r\n";
    return {"interim responses of " + std::to_string(size) + " bytes", response, repeated(response),
            bufferedBytes};
}

/// Interim responses of several sizes.
inline std::vector<EndlessBytes> endlessInterimResponses()
{
    std::vector<EndlessBytes> all;
    for (const std::size_t size : {25, 200, 2'000, 60'000})
        all.push_back(endlessInterimResponses(size));
    return all;
}

/// Responses of which a head or the framing never ends.
inline std::vector<EndlessBytes> endlessHeadsAndFraming()
{
    const std::string chunked = "HTTP/1.1 200 OK\r\nCornelhead-Server-Seal: s\r\n"
                                "Transfer-Encoding: chunked\r\n\r\n";
    return {
            {"no response", "\x01\x02", std::string(16 * 1024, 'x'), bufferedBytes},
            {"endless header", "HTTP/1.1 200 OK\r\nX-Long: ", std::string(16 * 1024, 'x'),
             bufferedBytes},
            {"endless headers", "HTTP/1.1 200 OK\r\n",
             "X-Many: " + std::string(8 * 1024, 'x') + "\r\n", bufferedBytes},
            {"endless trailers", chunked + "0\r\n", repeated("X-Many: y\r\n"), bufferedBytes},
            {"empty lines for chunk sizes", chunked, repeated("\r\n"), bufferedBytes},
            {"chunk extensions", chunked,
             repeated("1;x=" + std::string(4 * 1024, 'y') + "\r\nz\r\n"), bufferedBytes},
    };
}

/// Responses whose bodies never end.
inline std::vector<EndlessBytes> endlessBodies()
{
    return {
            {"body without length", "HTTP/1.1 200 OK\r\nCornelhead-Server-Seal: s\r\n\r\n",
             std::string(64 * 1024, 'x'), 2 * bufferedBytes},
            {"endless chunks",
             "HTTP/1.1 200 OK\r\nCornelhead-Server-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n",
             "10000\r\n" + std::string(64 * 1024, 'x') + "\r\n", 2 * bufferedBytes},
            {"huge length",
             "HTTP/1.1 200 OK\r\nCornelhead-Server-Seal: s\r\nContent-Length: 99999999999\r\n\r\n",
             std::string(64 * 1024, 'x'), 2 * bufferedBytes},
    };
}

/// All of these.
inline std::vector<EndlessBytes> allEndlessBytes()
{
    std::vector<EndlessBytes> all = endlessInterimResponses();
    for (const auto &others : {endlessHeadsAndFraming(), endlessBodies()})
        all.insert(all.end(), others.begin(), others.end());
    return all;
}

} // namespace cornelhead
