// Balances calls over backend servers by the power of two random choices, and ejects failing
// servers.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

#include "cornelhead/base/clock.h"
#include "cornelhead/base/random.h"
#include "cornelhead/membership/endpoint.h"

namespace cornelhead {

/// The state that one worker holds of a run of a backend server.
///
/// Lives while the server is announced or a call to it is in flight.
struct ServerRecord
{
    Endpoint endpoint;
    /// Calls of this worker in flight.
    std::uint32_t inFlight = 0;
    /// This worker's share of the server's connections.
    std::uint32_t connectionShare = 1;
    /// Adaptive limit on calls of this worker in flight; lowered when the server is overloaded.
    /// Invariant: between 1 and `connectionShare`.
    double limit = 1.0;
    TimePoint limitLoweredAt{};
    /// Slowly rising minimum of the smoothed latency: the latency of the server under low load.
    double minLatencyUs = 0.0;
    /// Smoothed latency; 0 until the first response.
    double latencyUs = 0.0;
    std::uint32_t consecutiveFailures = 0;
    /// Ejections since the last response; each doubles the duration of the next.
    std::uint32_t ejections = 0;
    TimePoint ejectedUntil{};
    /// The data centre is unreachable; the server gets calls only if no other server can.
    bool isUnreachable = false;
    /// Until then the server gets calls only if no other server can, as it was full or unreachable.
    TimePoint backoffUntil{};
    TimePoint lastResponseAt{};
};

/// The result of choosing a server.
struct ServerChoice
{
    /// Null if no server can accept the call.
    std::shared_ptr<ServerRecord> server;
    /// Without a server: whether one may accept the call once another call has ended.
    bool isWorthWaiting = false;
};

/// How a call at a server ended, as feedback for later choices.
enum class ServerResult {
    Answered,
    Failed, ///< An error response or a lost connection.
    Unreachable, ///< Connection refused; counts as a failure and starts a short backoff.
    Silent, ///< Timed out; a failure only if the server answered no other call meanwhile.
    Neutral, ///< Says nothing about the server.
    Shed, ///< The server was full; starts a short backoff but never an ejection.
};

/// The workers that share a server's connections.
struct ConnectionSplit
{
    std::uint32_t nodes = 1;
    std::uint32_t workersPerNode = 1;
};

/// Returns how many of a server's connections one worker may use; at least 1.
std::uint32_t connectionShare(std::uint32_t connections, ConnectionSplit split);

/// The backend servers that a worker chooses from.  Not thread-safe; each worker has its own.
class ServerPool
{
public:
    using Record = std::shared_ptr<ServerRecord>;

    explicit ServerPool(DataCentreId localDataCentre) : localDataCentre_(std::move(localDataCentre))
    { }

    /// Sets the announced servers.  The record of a server is kept while it is not restarted.
    void update(const EndpointTable &table, ConnectionSplit split);

    /// Chooses a server for a call.  `tried` holds the servers where the call has failed.
    ServerChoice choose(const ServiceId &service, const VersionId &version,
                        const std::vector<Record> &tried, TimePoint now, Random &random) const;
    /// Counts a call to `server` as in flight.
    static void begin(ServerRecord &server);
    /// Ends a call that was sent `latency` ago and updates the record.  Returns whether the server
    /// was ejected.
    bool finish(ServerRecord &server, ServerResult result, Microseconds latency, TimePoint now);

    /// Returns how many servers of a service are currently ejected.
    std::size_t ejected(const ServiceId &service, TimePoint now) const;

private:
    struct Group
    {
        std::vector<Record> local;
        std::vector<Record> remote;
    };

    void addToGroup(const Record &record);
    bool addFailure(ServerRecord &server, TimePoint now);
    bool mayEject(const ServerRecord &server, TimePoint now) const;
    const Group *findGroup(const ServiceId &service, const VersionId &version) const;

    DataCentreId localDataCentre_;
    std::unordered_map<ServerId, Record> records_;
    // Invariant: each record of a server that is not draining is in exactly one group.
    std::map<ServiceId, std::map<VersionId, Group>> groups_;
};

} // namespace cornelhead
