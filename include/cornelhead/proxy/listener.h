// The proxy's listening socket, and the responses that evhttp generates by itself.
#pragma once

#include <functional>

#include "cornelhead/base/address.h"
#include "cornelhead/base/error.h"
#include "cornelhead/net/accepted-connections.h"
#include "cornelhead/net/event-loop.h"
#include "cornelhead/proxy/counters.h"
#include "cornelhead/proxy/evhttp-handles.h"

struct bufferevent;
struct evbuffer;
struct evbuffer_cb_info;
struct evconnlistener;
struct evhttp_bound_socket;

namespace cornelhead::detail {

/// Accepts connections and passes requests to a handler.
///
/// Requests that evhttp cannot parse never reach the handler; evhttp answers them itself.  The
/// listener counts these responses and adds the headers of a refusal to them.
class Listener
{
public:
    Listener(EventLoop &loop, ProxyCounters &counters,
             std::function<void(evhttp_request *)> onRequest);
    Listener(const Listener &) = delete;
    Listener &operator=(const Listener &) = delete;

    /// Fails with `InvalidSetting` when the address cannot be bound.  With `isShared`, other
    /// listeners may use the same address.
    Result<void> listen(const Address &address, bool isShared);
    bool isListening() const { return socket_ != nullptr; }
    /// Accepts the connections in the backlog, then closes the socket; open connections stay.
    void stopListening();
    /// Accepts again after an accept error such as a lack of file descriptors, and ends connections
    /// whose requests are too long; to be called periodically.
    void sweep();

    /// Marks a scope in which the proxy writes a response, so that the response is not mistaken for
    /// one that evhttp generated.
    class ResponseScope
    {
    public:
        ResponseScope() { ++depth; }
        ~ResponseScope() { --depth; }
        ResponseScope(const ResponseScope &) = delete;
        ResponseScope &operator=(const ResponseScope &) = delete;

        /// Returns whether this thread is inside such a scope.
        static bool isActive() { return depth > 0; }

    private:
        static thread_local int depth;
    };

private:
    static bufferevent *createConnection(event_base *base, void *arg);
    static void onOutput(evbuffer *output, const evbuffer_cb_info *info, void *arg);
    static void onAcceptError(evconnlistener *listener, void *);

    EventLoop &loop_;
    ProxyCounters &counters_;
    std::function<void(evhttp_request *)> onRequest_;
    AcceptedConnections connections_;
    ListenerHandle handle_;
    evhttp_bound_socket *socket_ = nullptr;
    int stopAttempts_ = 0;
};

} // namespace cornelhead::detail
