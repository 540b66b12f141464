// Implements the listener for local callers.
#include "cornelhead/sidecar/caller-listener.h"

#include <poll.h>

#include <utility>
#include <vector>

#include <event2/listener.h>

#include "cornelhead/proxy/request-head.h"

namespace cornelhead::detail {

namespace {

// Bounds the accepts on stopping, so that a flood of connections cannot keep the socket open.
constexpr int maxStopAttempts = 100;
constexpr int statusNotImplemented = 501;

RefusalReason reasonOf(ReadFault fault)
{
    return fault == ReadFault::TooLarge ? RefusalReason::TooLarge : RefusalReason::BadRequest;
}

} // namespace

void ConnectionListenerDeleter::operator()(evconnlistener *listener) const
{
    evconnlistener_free(listener);
}

CallerListener::CallerListener(EventLoop &loop, ProxyCounters &counters, Metrics &metrics,
                               std::size_t maxRequests,
                               std::function<void(IncomingRequest)> onRequest)
    : loop_(loop), counters_(counters),
      startedAhead_(metrics.counter("cornelhead_entry_requests_ahead_total")),
      dropped_(metrics.counter("cornelhead_entry_requests_dropped_total")),
      maxRequests_(maxRequests), onRequest_(std::move(onRequest))
{ }

CallerListener::~CallerListener()
{
    while (!connections_.empty())
        connections_.begin()->second->close();
}

Result<void> CallerListener::listen(const Address &address)
{
    const int socket = openListenSocket(address.toString().c_str(), false);
    if (socket < 0) {
        return fail(ErrorKind::InvalidSetting, "cannot listen on " + address.toString(),
                    "choose a free address of this host");
    }
    const auto onAccept = [](evconnlistener *, evutil_socket_t accepted, sockaddr *, int,
                             void *arg) { static_cast<CallerListener *>(arg)->accept(accepted); };
    listener_.reset(evconnlistener_new(loop_.base(), onAccept, this,
                                       LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC, 0, socket));
    // Without a pause the event loop would spin until a file descriptor is free.
    evconnlistener_set_error_cb(listener_.get(), [](evconnlistener *failed, void *) {
        evconnlistener_disable(failed);
    });
    return {};
}

void CallerListener::accept(evutil_socket_t socket)
{
    CallerConnectionOwner &owner = *this;
    const auto connection = std::make_shared<CallerConnection>(loop_, owner, socket, maxRequests_);
    connections_.emplace(connection.get(), connection);
    if (closesWhenIdle_)
        connection->closeWhenIdle();
    connection->start();
}

void CallerListener::closeConnectionsWhenIdle()
{
    closesWhenIdle_ = true;
    for (const auto &[key, connection] : connections_)
        connection->closeWhenIdle();
}

void CallerListener::stopListening()
{
    if (!listener_)
        return;
    // Closing the socket resets the connections in its backlog, so they are accepted first.
    pollfd entry{evconnlistener_get_fd(listener_.get()), POLLIN, 0};
    if (++stopAttempts_ < maxStopAttempts && poll(&entry, 1, 0) > 0) {
        loop_.post([this] { stopListening(); });
        return;
    }
    listener_.reset();
}

void CallerListener::sweep()
{
    if (listener_)
        evconnlistener_enable(listener_.get());
    const TimePoint time = now(SteadyClock());
    std::vector<std::shared_ptr<CallerConnection>> open;
    open.reserve(connections_.size());
    for (const auto &[key, connection] : connections_)
        open.push_back(connection);
    for (const auto &connection : open)
        connection->sweep(time);
}

void CallerListener::onRequest(IncomingRequest request)
{
    onRequest_(std::move(request));
}

RenderedResponse CallerListener::refuse(ReadFault fault)
{
    const RefusalReason reason = reasonOf(fault);
    counters_.refusal(reason, RunStatus::NotRun).add();
    const RefusalInfo &info = refusalInfo(reason);
    const int status = fault == ReadFault::UnknownMethod ? statusNotImplemented : info.status;
    return renderResponse(LocalResponse{status,
                                        {{runHeader, std::string(runStatusName(RunStatus::NotRun))},
                                         {reasonHeader, std::string(info.name)}},
                                        {}},
                          {}, {});
}

void CallerListener::onStartedAhead()
{
    startedAhead_.add();
}

void CallerListener::onDropped(std::size_t requests)
{
    dropped_.add(requests);
}

void CallerListener::onClosed(CallerConnection &connection)
{
    connections_.erase(&connection);
}

} // namespace cornelhead::detail
