// Keeps idle connections to backend servers and nodes, one pool per worker.
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

/// What connection an attempt wants.
struct ConnectionSpec
{
    Address to;
    /// A pooled connection that was idle since before it is not good enough.
    TimePoint idleSince{};
    /// The IP number to connect from; empty for any.
    std::string localIp;
};

/// Hands out connections that carry one call at a time.
///
/// Invariant: an idle connection has no bytes of an earlier answer left to read.
class UpstreamPool
{
public:
    UpstreamPool(event_base *base, Counter &opened) : base_(base), opened_(opened) { }

    /// Returns the connection used last, or a new one that is not connected yet.
    UpstreamHandle take(const ConnectionSpec &need);
    /// Tells whether another call may use the connection.
    static bool isReusable(evhttp_connection *connection);
    /// Takes back a reusable connection.
    void give(const Address &to, UpstreamHandle connection, TimePoint now);
    /// Closes what was idle to `to` since `before`.
    void dropIdle(const Address &to, TimePoint before);
    /// Closes what was idle since `before`, ahead of the server's own limit.
    void closeIdle(TimePoint before);

private:
    struct Idle
    {
        UpstreamHandle connection;
        TimePoint since{};
    };

    event_base *base_;
    Counter &opened_;
    std::map<Address, std::vector<Idle>> idle_;
};

} // namespace cornelhead::detail
