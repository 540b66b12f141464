// The proxy's listening socket and what evhttp answers there by itself.
#pragma once

#include <functional>

#include "cornelhead/base/address.h"
#include "cornelhead/base/error.h"
#include "cornelhead/net/event-loop.h"
#include "cornelhead/proxy/counters.h"
#include "cornelhead/proxy/evhttp-handles.h"

struct bufferevent;
struct evbuffer;
struct evbuffer_cb_info;
struct evconnlistener;
struct evhttp_bound_socket;

namespace cornelhead::detail {

/// Accepts callers and hands their requests on.
///
/// Requests that evhttp cannot parse never reach the handler; evhttp answers them itself.  The
/// listener counts these answers and adds the headers of a refusal to them.
class Listener
{
public:
    Listener(EventLoop &loop, ProxyCounters &counters,
             std::function<void(evhttp_request *)> onRequest);
    Listener(const Listener &) = delete;
    Listener &operator=(const Listener &) = delete;

    /// Fails with `InvalidSetting` when the address is taken.
    Result<void> listen(const Address &address, bool isShared);
    bool isListening() const { return socket_ != nullptr; }
    /// Stops accepting once no connection waits to be accepted; open ones go on.
    void stopListening();
    /// Accepts again after a shortage of file descriptors; to be called now and then.
    void resumeAccepting();

    /// Marks answers of the proxy, so that they are not taken for evhttp's own.
    class ResponseScope
    {
    public:
        ResponseScope() { ++depth; }
        ~ResponseScope() { --depth; }
        ResponseScope(const ResponseScope &) = delete;
        ResponseScope &operator=(const ResponseScope &) = delete;

        /// Tells whether the proxy writes an answer on this thread now.
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
    ListenerHandle handle_;
    evhttp_bound_socket *socket_ = nullptr;
    int stopAttempts_ = 0;
};

} // namespace cornelhead::detail
