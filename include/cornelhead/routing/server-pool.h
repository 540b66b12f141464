// Chooses a backend server by two random picks, and ejects servers that fail calls.
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

/// What one worker knows of one run of a backend server.
///
/// Lives as long as the server is announced or a call to it is in flight.
struct ServerRecord
{
    Endpoint endpoint;
    /// Calls of this worker in flight.
    std::uint32_t inFlight = 0;
    /// Calls that this worker may have in flight, from the server's connections.
    std::uint32_t connectionShare = 1;
    /// Calls that this worker keeps in flight at most; falls when the server is overloaded.
    /// Invariant: between 1 and `connectionShare`.
    double limit = 1.0;
    TimePoint limitLoweredAt{};
    /// The least smoothed latency lately, which the server shows when it has little to do.
    double minLatencyUs = 0.0;
    /// Smoothed latency; 0 until the first answer.
    double latencyUs = 0.0;
    std::uint32_t consecutiveFailures = 0;
    /// Ejections since the last answer; sets how long the next one lasts.
    std::uint32_t ejections = 0;
    TimePoint ejectedUntil{};
    /// Its data centre cannot be reached; it takes calls only when no other server does.
    bool isUnreachable = false;
    /// Until then it takes calls only when no other server does, as it was full.
    TimePoint backoffUntil{};
    TimePoint lastResponseAt{};
};

/// What a choice of server gave.
struct ServerChoice
{
    /// Null when no server can take the call.
    std::shared_ptr<ServerRecord> server;
    /// Tells whether a server may take it once another call has ended.
    bool isWorthWaiting = false;
};

/// How a call at a server ended, for the choice of later servers.
enum class ServerResult {
    Answered,
    Failed, ///< Answered with an error or broke the connection.
    Unreachable, ///< Refused the connection; avoided for a moment and counted as a failure.
    Silent, ///< No answer in time; counts only if the server answered nobody else meanwhile.
    Neutral, ///< Says nothing about the server.
    Shed, ///< Full; avoided for a moment, never ejected.
};

/// Splits a server's connections among the workers of all nodes.
struct ConnectionSplit
{
    std::uint32_t nodes = 1;
    std::uint32_t workersPerNode = 1;
};

/// Returns the connections to a server of `connections` that one worker may hold; at least one.
std::uint32_t connectionShare(std::uint32_t connections, ConnectionSplit split);

/// The servers of a worker's services.  Belongs to one worker.
class ServerPool
{
public:
    using Record = std::shared_ptr<ServerRecord>;

    explicit ServerPool(DataCentreId here) : here_(std::move(here)) { }

    /// Takes the servers announced now; what is known of a run that stays is kept.
    void update(const EndpointTable &table, ConnectionSplit split);

    /// Picks a server for a call.  `tried` are servers that this call has failed at.
    ServerChoice choose(const ServiceId &service, const VersionId &version,
                        const std::vector<Record> &tried, TimePoint now, Random &random) const;
    /// Counts a call as in flight.
    static void begin(ServerRecord &server);
    /// Ends a call that was sent `latency` ago and learns from it.  Returns whether the server was
    /// ejected for it.
    bool finish(ServerRecord &server, ServerResult result, Microseconds latency, TimePoint now);

    /// Counts the servers of a service that are ejected now.
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

    DataCentreId here_;
    std::unordered_map<ServerId, Record> records_;
    // Invariant: each record that may get calls is in exactly one group.
    std::map<ServiceId, std::map<VersionId, Group>> groups_;
};

} // namespace cornelhead
