// Implements the connection pool.
#include "cornelhead/proxy/upstream-pool.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>

#include "cornelhead/net/receive-limit.h"

namespace cornelhead::detail {

namespace {

// A faulty server may send a head without end.
constexpr auto maxHeadBytes = static_cast<ev_ssize_t>(ReceiveLimit::maxHeadBytes);

bool isConnected(evhttp_connection *connection)
{
    // evhttp monitors idle connections and resets those that the peer closed or wrote to.
    return bufferevent_getfd(evhttp_connection_get_bufferevent(connection)) >= 0;
}

bool isEmpty(evhttp_connection *connection)
{
    bufferevent *events = evhttp_connection_get_bufferevent(connection);
    return evbuffer_get_length(bufferevent_get_input(events)) == 0
            && evbuffer_get_length(bufferevent_get_output(events)) == 0;
}

} // namespace

bool UpstreamPool::isReusable(evhttp_connection *connection)
{
    return isConnected(connection) && isEmpty(connection);
}

UpstreamHandle UpstreamPool::acquire(const ConnectionSpec &spec)
{
    std::vector<IdleConnection> &pool = idle_[spec.to];
    while (!pool.empty() && pool.back().since >= spec.idleSince) {
        UpstreamHandle connection = std::move(pool.back().connection);
        pool.pop_back();
        if (isReusable(connection.get()))
            return connection;
    }
    opened_.add();
    UpstreamHandle connection(
            evhttp_connection_base_new(base_, nullptr, spec.to.ip.c_str(), spec.to.port));
    evhttp_connection_set_max_headers_size(connection.get(), maxHeadBytes);
    if (!spec.localIp.empty())
        evhttp_connection_set_local_address(connection.get(), spec.localIp.c_str());
    return connection;
}

void UpstreamPool::release(const Address &to, UpstreamHandle connection, TimePoint now)
{
    idle_[to].push_back(IdleConnection{std::move(connection), now});
}

void UpstreamPool::dropIdle(const Address &to, TimePoint before)
{
    const auto pool = idle_.find(to);
    if (pool != idle_.end())
        std::erase_if(pool->second,
                      [before](const IdleConnection &entry) { return entry.since < before; });
}

void UpstreamPool::closeIdle(TimePoint before)
{
    for (auto &[address, pool] : idle_)
        std::erase_if(pool, [before](const IdleConnection &entry) { return entry.since < before; });
    std::erase_if(idle_, [](const auto &entry) { return entry.second.empty(); });
}

} // namespace cornelhead::detail
