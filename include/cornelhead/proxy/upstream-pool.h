// Pools idle connections to backend servers and nodes; one pool per worker.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "cornelhead/base/address.h"
#include "cornelhead/base/clock.h"
#include "cornelhead/base/metrics.h"
#include "cornelhead/proxy/evhttp-handles.h"

struct event_base;

namespace cornelhead::detail {

/// The connection that an attempt needs.
struct ConnectionSpec
{
    Address to;
    /// Connections that became idle before this time are not reused.
    TimePoint idleSince{};
    /// The local IP address to connect from; empty for any.
    std::string localIp;
};

/// Each connection carries one call at a time.
///
/// Invariant: an idle connection has no unread bytes of an earlier response.
class UpstreamPool
{
public:
    UpstreamPool(event_base *base, Counter &opened) : base_(base), opened_(opened) { }

    /// Returns the most recently used idle connection, or a new one that is not connected yet.
    UpstreamHandle acquire(const ConnectionSpec &spec);
    /// Returns whether another call may use the connection.
    static bool isReusable(evhttp_connection *connection);
    /// Returns a reusable connection to the pool.
    void release(const Address &to, UpstreamHandle connection, TimePoint now);
    /// Closes connections to `to` that became idle before `before`.
    void dropIdle(const Address &to, TimePoint before);
    /// Closes connections that became idle before `before`; meant to run ahead of the idle timeout
    /// of the server.
    void closeIdle(TimePoint before);

private:
    struct IdleConnection
    {
        UpstreamHandle connection;
        TimePoint since{};
    };

    event_base *base_;
    Counter &opened_;
    std::map<Address, std::vector<IdleConnection>> idle_;
};

} // namespace cornelhead::detail
