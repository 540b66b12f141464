// A server that answers each request with scripted bytes, beside a sidecar.
#pragma once

#include <sys/socket.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>

#include "adapter/sidecar-fleet.h"

namespace cornelhead {

enum class ConnectionEnd { Keep, Close, Reset };

/// What a server does on the next request.
struct ServerAction
{
    /// `@ID` stands for the id of the request, `@FIRST` for that of the first one.
    std::string bytes;
    ConnectionEnd end = ConnectionEnd::Keep;
};

/// Carries out one action for each request, over all connections.
class ScriptedServer
{
public:
    ScriptedServer(EventLoop &loop, std::vector<ServerAction> script)
        : loop_(loop), script_(std::move(script))
    {
        address = SidecarFleet::freeAddress();
        const auto accept = [](evconnlistener *listener, evutil_socket_t socket, sockaddr *, int,
                               void *arg) {
            static_cast<ScriptedServer *>(arg)->open(evconnlistener_get_base(listener), socket);
        };
        const int socket = detail::openListenSocket(address.toString().c_str(), false);
        listener_ = evconnlistener_new(loop.base(), accept, this, LEV_OPT_CLOSE_ON_FREE, 0, socket);
    }
    ~ScriptedServer()
    {
        evconnlistener_free(listener_);
        for (bufferevent *connection : open_)
            bufferevent_free(connection);
    }
    ScriptedServer(const ScriptedServer &) = delete;
    ScriptedServer &operator=(const ScriptedServer &) = delete;

    Address address;
    std::size_t requests = 0;
    /// The bytes of each request.
    std::vector<std::string> received;
    /// Number of connections accepted.
    std::size_t connections = 0;

private:
    void open(event_base *base, evutil_socket_t socket)
    {
        bufferevent *connection = bufferevent_socket_new(base, socket, BEV_OPT_CLOSE_ON_FREE);
        open_.push_back(connection);
        ++connections;
        const auto onRead = [](bufferevent *from, void *arg) {
            static_cast<ScriptedServer *>(arg)->read(from);
        };
        const auto onEnd = [](bufferevent *ended, short, void *arg) {
            static_cast<ScriptedServer *>(arg)->close(ended);
        };
        bufferevent_setcb(connection, onRead, nullptr, onEnd, this);
        bufferevent_enable(connection, EV_READ | EV_WRITE);
    }

    // Requests are small and arrive whole.
    void read(bufferevent *from)
    {
        evbuffer *input = bufferevent_get_input(from);
        std::string request(evbuffer_get_length(input), '\0');
        evbuffer_remove(input, request.data(), request.size());
        const std::string name = "Cornelhead-Request-Id: ";
        const std::size_t start = request.find(name);
        if (start == std::string::npos || requests == script_.size())
            return;
        const std::size_t value = start + name.size();
        const std::string id = request.substr(value, request.find('\r', value) - value);
        if (requests == 0)
            firstId_ = id;
        received.push_back(request);
        const ServerAction &action = script_[requests++];
        const std::string bytes = replaced(replaced(action.bytes, "@ID", id), "@FIRST", firstId_);
        bufferevent_write(from, bytes.data(), bytes.size());
        if (action.end != ConnectionEnd::Keep)
            timers_.push_back(loop_.after(Milliseconds(50), [this, from, end = action.end] {
                if (end == ConnectionEnd::Reset) {
                    const linger abort{1, 0};
                    setsockopt(bufferevent_getfd(from), SOL_SOCKET, SO_LINGER, &abort,
                               sizeof abort);
                }
                close(from);
            }));
    }

    void close(bufferevent *connection)
    {
        if (std::erase(open_, connection) > 0)
            bufferevent_free(connection);
    }

    static std::string replaced(std::string text, const std::string &what, const std::string &with)
    {
        for (std::size_t at = text.find(what); at != std::string::npos; at = text.find(what, at))
            text.replace(at, what.size(), with);
        return text;
    }

    EventLoop &loop_;
    const std::vector<ServerAction> script_;
    std::string firstId_;
    evconnlistener *listener_ = nullptr;
    std::vector<bufferevent *> open_;
    std::vector<Timer> timers_;
};

struct FaultyServerFleet : SidecarFleet
{
    SidecarHost *host = nullptr;
    std::unique_ptr<ScriptedServer> server;

    void run(std::vector<ServerAction> script)
    {
        configure("00000005", usersRoute("book", "/book/", "non_idempotent", "bookings"));
        server = std::make_unique<ScriptedServer>(loop, std::move(script));
        host = &add("bookings", "b1");
        settle();
        host->sidecar.reset();
        loop.runFor(Milliseconds(50));
        // Without its entry the restarted node adopts nothing, and uses the server once announced.
        store.erase("cornelhead/hosts/" + host->settings.inbound.toString());
        host->settings.server = server->address;
        startSidecar(*host);
        BOOST_TEST(announce(*host) == 200);
        waitUntil([&] { return isReady(*host); });
        loop.runFor(Milliseconds(600));
    }
    HttpResponse book()
    {
        return call(host->settings.outbound, requestTo("/book/1", HttpMethod::Post, "seat=4"));
    }
    HttpResponse bookOnce(const ServerAction &action)
    {
        run({action});
        return book();
    }
};

} // namespace cornelhead
