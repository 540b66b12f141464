// Accepts the connections of local callers.
#pragma once

#include <functional>
#include <map>
#include <memory>

#include "cornelhead/base/address.h"
#include "cornelhead/base/error.h"
#include "cornelhead/proxy/counters.h"
#include "cornelhead/sidecar/caller-connection.h"

struct evconnlistener;

namespace cornelhead::detail {

struct ConnectionListenerDeleter
{
    void operator()(evconnlistener *listener) const;
};

/// Owns the connections of callers and passes their requests to a handler.
class CallerListener : private CallerConnectionOwner
{
public:
    /// A connection has at most `maxRequests` requests in flight.
    CallerListener(EventLoop &loop, ProxyCounters &counters, Metrics &metrics,
                   std::size_t maxRequests, std::function<void(IncomingRequest)> onRequest);
    ~CallerListener() override;
    CallerListener(const CallerListener &) = delete;
    CallerListener &operator=(const CallerListener &) = delete;

    /// Fails with `InvalidSetting` when the address cannot be bound.
    Result<void> listen(const Address &address);
    /// From now on each connection ends with the response to the last request that it has read, or
    /// to the next one if it has none.
    void closeConnectionsWhenIdle();
    /// Accepts the connections in the backlog, then closes the socket; open connections stay.
    void stopListening();
    /// Accepts again after an accept error such as a lack of file descriptors, and closes idle
    /// connections; to be called periodically.
    void sweep();

private:
    void accept(evutil_socket_t socket);
    void onRequest(IncomingRequest request) override;
    RenderedResponse refuse(ReadFault fault) override;
    void onStartedAhead() override;
    void onDropped(std::size_t requests) override;
    void onClosed(CallerConnection &connection) override;

    EventLoop &loop_;
    ProxyCounters &counters_;
    Counter &startedAhead_;
    Counter &dropped_;
    const std::size_t maxRequests_;
    const std::function<void(IncomingRequest)> onRequest_;
    std::map<CallerConnection *, std::shared_ptr<CallerConnection>> connections_;
    std::unique_ptr<evconnlistener, ConnectionListenerDeleter> listener_;
    int stopAttempts_ = 0;
    bool closesWhenIdle_ = false;
};

} // namespace cornelhead::detail
