// Implements load balancing and the ejection of failing servers.
#include "cornelhead/routing/server-pool.h"

#include <algorithm>
#include <array>
#include <cmath>

#include "cornelhead/base/check.h"

namespace cornelhead {
namespace detail {
namespace {

constexpr double latencyWeight = 0.1;
// The recorded latency decays with this half-life while a server gets no responses, so a server
// that was slow once is tried again.
constexpr Microseconds latencyHalfLife = Milliseconds(1000);
// A starting server is treated as this many times slower.
constexpr double coldPenalty = 8.0;
constexpr std::uint32_t failuresToEject = 5;
constexpr Milliseconds shedBackoff = Milliseconds(20);
constexpr Milliseconds unreachableBackoff = Milliseconds(500);
constexpr Milliseconds baseEjectionTime = Milliseconds(1000);
constexpr std::uint32_t maxEjectionDoublings = 5;
constexpr double limitDecrease = 0.7;
constexpr double limitIncrease = 0.1;
constexpr Milliseconds limitDecreaseInterval = Milliseconds(100);
// The initial limit: one call in each slot and as many waiting at the server.
constexpr std::uint32_t initialLimitRounds = 2;
// A server is congested if its smoothed latency exceeds this base plus this multiple of its
// minimum.
constexpr double congestionFactor = 4.0;
constexpr double congestionBaseUs = 2000.0;
// The minimum rises slowly, so it adapts to a server that has become slower.
constexpr double minLatencyDrift = 1.00005;
// The rest of the connections stays free for other processes.
constexpr std::uint32_t usableConnectionsPercent = 90;

bool isEjected(const ServerRecord &server, TimePoint now)
{
    return server.ejectedUntil > now;
}

bool isFull(const ServerRecord &server)
{
    return server.inFlight >= static_cast<std::uint32_t>(server.limit);
}

void raiseLimit(ServerRecord &server)
{
    // Additive increase: a full round of responses at the limit raises it by `limitIncrease`.
    const auto maxLimit = static_cast<double>(server.connectionShare);
    if (server.inFlight + 1.0 >= std::floor(server.limit))
        server.limit = std::min(maxLimit, server.limit + limitIncrease / server.limit);
}

void lowerLimit(ServerRecord &server, TimePoint now)
{
    // Calls of the same round observe the same overload, so the limit is lowered once for them.
    if (now - server.limitLoweredAt < limitDecreaseInterval)
        return;
    server.limitLoweredAt = now;
    server.limit = std::max(1.0, server.limit * limitDecrease);
}

bool isCongested(const ServerRecord &server)
{
    return server.latencyUs > congestionBaseUs + congestionFactor * server.minLatencyUs;
}

bool hasFreeSlot(const ServerRecord &server)
{
    return server.inFlight < std::max(1U, server.endpoint.slots);
}

// Returns the relative load of the server including a new call.
double expectedLoad(const ServerRecord &server)
{
    const double coldFactor = server.endpoint.state == ServerState::Starting ? coldPenalty : 1.0;
    const double load = static_cast<double>(server.inFlight) + 1.0;
    // Calls beyond the slots wait for a slot, so the load grows with each round of slots.
    const double rounds = 1.0
            + static_cast<double>(server.inFlight)
                    / std::max(1.0, static_cast<double>(server.endpoint.slots));
    return coldFactor * load * rounds;
}

double expectedLatency(const ServerRecord &server, TimePoint now)
{
    const auto idleUs = static_cast<double>((now - server.lastResponseAt).count());
    return server.latencyUs * std::exp2(-idleUs / static_cast<double>(latencyHalfLife.count()));
}

bool isBetter(const ServerRecord &left, const ServerRecord &right, TimePoint now, Random &random)
{
    double leftCost = expectedLoad(left);
    double rightCost = expectedLoad(right);
    // A server without responses is assumed to be as fast as the other.
    if (left.latencyUs > 0.0 && right.latencyUs > 0.0) {
        leftCost *= expectedLatency(left, now);
        rightCost *= expectedLatency(right, now);
    }
    return leftCost < rightCost || (leftCost == rightCost && random.chance(0.5));
}

bool wasTried(const std::vector<ServerPool::Record> &tried, const ServerRecord &server)
{
    return std::any_of(tried.begin(), tried.end(),
                       [&](const ServerPool::Record &entry) { return entry.get() == &server; });
}

// The servers that one pass of a choice accepts.
struct Filter
{
    bool allowEjected = false;
    bool needFreeSlot = true;
    TimePoint now{};
    const std::vector<ServerPool::Record> *tried = nullptr;

    bool accepts(const ServerRecord &server) const
    {
        if (isFull(server) || (needFreeSlot && !hasFreeSlot(server)))
            return false;
        const bool isAvoided
                = server.isUnreachable || isEjected(server, now) || server.backoffUntil > now;
        if (!allowEjected && isAvoided)
            return false;
        return !wasTried(*tried, server);
    }
};

// Returns the better of two random accepted servers; null if no server is accepted.
ServerPool::Record pickOfTwo(const std::vector<ServerPool::Record> &servers, const Filter &filter,
                             Random &random)
{
    // Reservoir sampling of two servers: uniform without a copy of the list.
    std::array<const ServerPool::Record *, 2> picks{};
    std::uint64_t seen = 0;
    for (const ServerPool::Record &server : servers) {
        if (!filter.accepts(*server))
            continue;
        const std::uint64_t slot = seen < 2 ? seen : random.below(seen + 1);
        if (slot < 2)
            picks[slot] = &server;
        ++seen;
    }
    if (!picks[0])
        return nullptr;
    if (!picks[1])
        return *picks[0];
    return isBetter(**picks[0], **picks[1], filter.now, random) ? *picks[0] : *picks[1];
}

void recordResponse(ServerRecord &server, Microseconds latency, TimePoint now)
{
    const auto sample = static_cast<double>(latency.count());
    const double weight = server.latencyUs > 0.0 ? latencyWeight : 1.0;
    server.latencyUs += weight * (sample - server.latencyUs);
    const bool isMin = server.minLatencyUs == 0.0 || server.latencyUs < server.minLatencyUs;
    server.minLatencyUs = isMin ? server.latencyUs : server.minLatencyUs * minLatencyDrift;
    if (isCongested(server))
        lowerLimit(server, now);
    else
        raiseLimit(server);
    server.consecutiveFailures = 0;
    server.ejections = 0;
    server.lastResponseAt = now;
}

} // namespace
} // namespace detail

std::uint32_t connectionShare(std::uint32_t connections, ConnectionSplit split)
{
    const std::uint32_t workers = std::max(1U, split.nodes) * std::max(1U, split.workersPerNode);
    return std::max(1U, connections * detail::usableConnectionsPercent / 100 / workers);
}

void ServerPool::update(const EndpointTable &table, ConnectionSplit split)
{
    std::unordered_map<ServerId, Record> kept;
    groups_.clear();
    for (const auto &[service, endpoints] : table.servers) {
        for (const Endpoint &endpoint : endpoints) {
            const auto found = records_.find(endpoint.id);
            const Record record
                    = found == records_.end() ? std::make_shared<ServerRecord>() : found->second;
            record->endpoint = endpoint;
            record->isUnreachable = table.unreachable.contains(endpoint.dataCentre);
            record->connectionShare = connectionShare(endpoint.connections, split);
            if (found == records_.end())
                record->limit = endpoint.slots * detail::initialLimitRounds;
            record->limit
                    = std::clamp(record->limit, 1.0, static_cast<double>(record->connectionShare));
            kept.emplace(endpoint.id, record);
            if (endpoint.state != ServerState::Draining)
                addToGroup(record);
        }
    }
    records_.swap(kept);
}

void ServerPool::addToGroup(const Record &record)
{
    const Endpoint &endpoint = record->endpoint;
    Group &group = groups_[endpoint.service][endpoint.version];
    (endpoint.dataCentre == localDataCentre_ ? group.local : group.remote).push_back(record);
}

const ServerPool::Group *ServerPool::findGroup(const ServiceId &service,
                                               const VersionId &version) const
{
    const auto versions = groups_.find(service);
    if (versions == groups_.end())
        return nullptr;
    const auto group = versions->second.find(version);
    return group == versions->second.end() ? nullptr : &group->second;
}

ServerChoice ServerPool::choose(const ServiceId &service, const VersionId &version,
                                const std::vector<Record> &tried, TimePoint now,
                                Random &random) const
{
    const Group *group = findGroup(service, version);
    if (!group)
        return {};
    // Passes in order of preference: a free slot in this data centre, a free slot in another, a
    // place in the queue of a server, and then the same with avoided and ejected servers.
    for (const bool allowEjected : {false, true}) {
        for (const bool needFreeSlot : {true, false}) {
            const detail::Filter filter{allowEjected, needFreeSlot, now, &tried};
            if (Record found = detail::pickOfTwo(group->local, filter, random))
                return {std::move(found), false};
            if (Record found = detail::pickOfTwo(group->remote, filter, random))
                return {std::move(found), false};
        }
    }
    const bool areUntriedLeft = group->local.size() + group->remote.size() > tried.size();
    return {nullptr, areUntriedLeft};
}

void ServerPool::begin(ServerRecord &server)
{
    ++server.inFlight;
}

bool ServerPool::finish(ServerRecord &server, ServerResult result, Microseconds latency,
                        TimePoint now)
{
    CORNELHEAD_CHECK(server.inFlight > 0);
    --server.inFlight;
    switch (result) {
    case ServerResult::Answered:
        detail::recordResponse(server, latency, now);
        return false;
    case ServerResult::Unreachable:
        server.backoffUntil = now + detail::unreachableBackoff;
        return addFailure(server, now);
    case ServerResult::Failed:
        return addFailure(server, now);
    case ServerResult::Silent: {
        detail::lowerLimit(server, now);
        // A response on another connection shows that only this connection was lost.
        const bool isServerSilent = server.lastResponseAt < now - latency;
        return isServerSilent && addFailure(server, now);
    }
    case ServerResult::Shed:
        server.backoffUntil = now + detail::shedBackoff;
        detail::lowerLimit(server, now);
        return false;
    case ServerResult::Neutral:
        return false;
    }
    return false;
}

bool ServerPool::addFailure(ServerRecord &server, TimePoint now)
{
    if (++server.consecutiveFailures < detail::failuresToEject || !mayEject(server, now))
        return false;
    const std::uint32_t doublings = std::min(server.ejections, detail::maxEjectionDoublings);
    server.ejectedUntil = now + detail::baseEjectionTime * (1U << doublings);
    ++server.ejections;
    server.consecutiveFailures = 0;
    return true;
}

bool ServerPool::mayEject(const ServerRecord &server, TimePoint now) const
{
    const Group *group = findGroup(server.endpoint.service, server.endpoint.version);
    if (!group)
        return false;
    std::size_t total = 0;
    std::size_t ejectedCount = 0;
    for (const auto *servers : {&group->local, &group->remote}) {
        total += servers->size();
        for (const Record &record : *servers)
            ejectedCount += detail::isEjected(*record, now) ? 1 : 0;
    }
    // At most half of the servers, so that wrong or late signals cannot eject a whole service.
    return 2 * (ejectedCount + 1) <= total;
}

std::size_t ServerPool::ejected(const ServiceId &service, TimePoint now) const
{
    const auto versions = groups_.find(service);
    if (versions == groups_.end())
        return 0;
    std::size_t count = 0;
    for (const auto &[version, group] : versions->second) {
        for (const auto *servers : {&group.local, &group.remote}) {
            for (const Record &record : *servers)
                count += detail::isEjected(*record, now) ? 1 : 0;
        }
    }
    return count;
}

} // namespace cornelhead
