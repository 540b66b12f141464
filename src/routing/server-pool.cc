// Implements the choice of server and passive ejection.
#include "cornelhead/routing/server-pool.h"

#include <algorithm>
#include <array>
#include <cmath>

#include "cornelhead/base/check.h"

namespace cornelhead {
namespace detail {
namespace {

constexpr double latencyWeight = 0.1;
// A latency counts for half as much after each such time without an answer, so that a server that
// was slow once is tried again.
constexpr Microseconds latencyHalfLife = Milliseconds(1000);
// A starting server competes as if it were this many times slower.
constexpr double coldPenalty = 8.0;
constexpr std::uint32_t failuresToEject = 5;
constexpr Milliseconds shedPause = Milliseconds(20);
constexpr Milliseconds unreachablePause = Milliseconds(500);
constexpr Milliseconds firstEjection = Milliseconds(1000);
constexpr std::uint32_t maxEjectionDoublings = 5;
constexpr double limitDecrease = 0.7;
constexpr double limitIncrease = 0.1;
constexpr Milliseconds limitPause = Milliseconds(100);
// A server starts with its slots and as many calls waiting at it.
constexpr std::uint32_t firstLimitRounds = 2;
// The smoothed latency that shows calls waiting at the server.
constexpr double congestedLatencies = 4.0;
constexpr double congestedLeastUs = 2000.0;
// The least latency is forgotten slowly, so that a server that became slower is judged anew.
constexpr double leastLatencyDrift = 1.00005;
// Connections that stay free for calls of other processes, in parts of a hundred.
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
    // While all places are in use, each round of answers earns a part of one more.
    const auto most = static_cast<double>(server.connectionShare);
    if (server.inFlight + 1.0 >= std::floor(server.limit))
        server.limit = std::min(most, server.limit + limitIncrease / server.limit);
}

void lowerLimit(ServerRecord &server, TimePoint now)
{
    // The calls of one round show the same overload, so they count once.
    if (now - server.limitLoweredAt < limitPause)
        return;
    server.limitLoweredAt = now;
    server.limit = std::max(1.0, server.limit * limitDecrease);
}

bool isCongested(const ServerRecord &server)
{
    return server.latencyUs > congestedLeastUs + congestedLatencies * server.minLatencyUs;
}

bool hasFreeSlot(const ServerRecord &server)
{
    return server.inFlight < std::max(1U, server.endpoint.slots);
}

// Returns how many calls a new one would share the server with, itself included.
double expectedLoad(const ServerRecord &server)
{
    const double cold = server.endpoint.state == ServerState::Starting ? coldPenalty : 1.0;
    const double load = static_cast<double>(server.inFlight) + 1.0;
    // Calls beyond the slots wait for one, so they count once more for each round of slots.
    const double rounds = 1.0
            + static_cast<double>(server.inFlight)
                    / std::max(1.0, static_cast<double>(server.endpoint.slots));
    return cold * load * rounds;
}

double expectedLatency(const ServerRecord &server, TimePoint now)
{
    const auto quiet = static_cast<double>((now - server.lastResponseAt).count());
    return server.latencyUs * std::exp2(-quiet / static_cast<double>(latencyHalfLife.count()));
}

bool isBetter(const ServerRecord &one, const ServerRecord &other, TimePoint now, Random &random)
{
    double first = expectedLoad(one);
    double second = expectedLoad(other);
    // A server without answers yet is taken to be as quick as the other.
    if (one.latencyUs > 0.0 && other.latencyUs > 0.0) {
        first *= expectedLatency(one, now);
        second *= expectedLatency(other, now);
    }
    return first < second || (first == second && random.chance(0.5));
}

bool wasTried(const std::vector<ServerPool::Record> &tried, const ServerRecord &server)
{
    return std::any_of(tried.begin(), tried.end(),
                       [&](const ServerPool::Record &entry) { return entry.get() == &server; });
}

// Which servers a round of the choice accepts.
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

// Picks two acceptable servers at random and returns the better; null when none is acceptable.
ServerPool::Record pickOfTwo(const std::vector<ServerPool::Record> &servers, const Filter &filter,
                             Random &random)
{
    // Reservoir sampling of two keeps the choice uniform without copying the list.
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

void learn(ServerRecord &server, Microseconds latency, TimePoint now)
{
    const auto sample = static_cast<double>(latency.count());
    const double weight = server.latencyUs > 0.0 ? latencyWeight : 1.0;
    server.latencyUs += weight * (sample - server.latencyUs);
    const bool isLeast = server.minLatencyUs == 0.0 || server.latencyUs < server.minLatencyUs;
    server.minLatencyUs = isLeast ? server.latencyUs : server.minLatencyUs * leastLatencyDrift;
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
                record->limit = endpoint.slots * detail::firstLimitRounds;
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
    (endpoint.dataCentre == here_ ? group.local : group.remote).push_back(record);
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
    // Rounds from the best to the last resort: a free slot here, then elsewhere, then a place in a
    // server's own queue, then a server that was ejected.
    for (const bool allowEjected : {false, true}) {
        for (const bool needFreeSlot : {true, false}) {
            const detail::Filter filter{allowEjected, needFreeSlot, now, &tried};
            if (Record found = detail::pickOfTwo(group->local, filter, random))
                return {std::move(found), false};
            if (Record found = detail::pickOfTwo(group->remote, filter, random))
                return {std::move(found), false};
        }
    }
    const bool isAnyLeft = group->local.size() + group->remote.size() > tried.size();
    return {nullptr, isAnyLeft};
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
        detail::learn(server, latency, now);
        return false;
    case ServerResult::Unreachable:
        server.backoffUntil = now + detail::unreachablePause;
        return addFailure(server, now);
    case ServerResult::Failed:
        return addFailure(server, now);
    case ServerResult::Silent: {
        detail::lowerLimit(server, now);
        // Another connection's answer shows that only this connection was lost.
        const bool isServerSilent = server.lastResponseAt < now - latency;
        return isServerSilent && addFailure(server, now);
    }
    case ServerResult::Shed:
        server.backoffUntil = now + detail::shedPause;
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
    server.ejectedUntil = now + detail::firstEjection * (1U << doublings);
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
    std::size_t ejectedNow = 0;
    for (const auto *side : {&group->local, &group->remote}) {
        total += side->size();
        for (const Record &record : *side)
            ejectedNow += detail::isEjected(*record, now) ? 1 : 0;
    }
    // Lagging or misleading signals may never empty a service.
    return 2 * (ejectedNow + 1) <= total;
}

std::size_t ServerPool::ejected(const ServiceId &service, TimePoint now) const
{
    const auto versions = groups_.find(service);
    if (versions == groups_.end())
        return 0;
    std::size_t count = 0;
    for (const auto &[version, group] : versions->second) {
        for (const auto *side : {&group.local, &group.remote}) {
            for (const Record &record : *side)
                count += detail::isEjected(*record, now) ? 1 : 0;
        }
    }
    return count;
}

} // namespace cornelhead
