// Implements the choice of server and passive ejection.
#include "cornelhead/routing/server-choice.h"

#include <algorithm>
#include <array>

#include "cornelhead/base/check.h"

namespace cornelhead {
namespace detail {
namespace {

constexpr double latencyWeight = 0.1;
// A server without answers yet is taken to be as quick as this.
constexpr double unknownLatencyUs = 1000.0;
// A starting server competes as if it were this many times slower.
constexpr double coldPenalty = 8.0;
constexpr std::uint32_t failuresToEject = 5;
constexpr Milliseconds shedPause = Milliseconds(20);
constexpr Milliseconds firstEjection = Milliseconds(1000);
constexpr std::uint32_t maxEjectionDoublings = 5;
// Connections that stay free for calls of other processes, in parts of a hundred.
constexpr std::uint32_t usableConnectionsPercent = 90;

bool isEjected(const ServerRecord &server, TimePoint now)
{
    return server.ejectedUntil > now;
}

bool isFull(const ServerRecord &server)
{
    return server.inFlight >= server.connectionShare;
}

bool hasFreeSlot(const ServerRecord &server)
{
    return server.inFlight < std::max(1U, server.endpoint.slots);
}

double expectedWait(const ServerRecord &server)
{
    const double latency = server.latencyUs > 0.0 ? server.latencyUs : unknownLatencyUs;
    const double cold = server.endpoint.state == ServerState::Starting ? coldPenalty : 1.0;
    const double load = static_cast<double>(server.inFlight) + 1.0;
    // Calls beyond the slots wait for one, so they count once more for each round of slots.
    const double rounds = 1.0
            + static_cast<double>(server.inFlight)
                    / std::max(1.0, static_cast<double>(server.endpoint.slots));
    return latency * cold * load * rounds;
}

bool wasTried(const std::vector<ServerBook::Record> &tried, const ServerRecord &server)
{
    return std::any_of(tried.begin(), tried.end(),
                       [&](const ServerBook::Record &entry) { return entry.get() == &server; });
}

// Which servers a round of the choice accepts.
struct Filter
{
    bool allowEjected = false;
    bool needFreeSlot = true;
    TimePoint now{};
    const std::vector<ServerBook::Record> *tried = nullptr;

    bool accepts(const ServerRecord &server) const
    {
        if (isFull(server) || (needFreeSlot && !hasFreeSlot(server)))
            return false;
        if (!allowEjected && (isEjected(server, now) || server.avoidedUntil > now))
            return false;
        return !wasTried(*tried, server);
    }
};

// Picks two acceptable servers at random and returns the better; null when none is acceptable.
ServerBook::Record pickOfTwo(const std::vector<ServerBook::Record> &servers, const Filter &filter,
                             Random &random)
{
    // Reservoir sampling of two keeps the choice uniform without copying the list.
    std::array<const ServerBook::Record *, 2> picks{};
    std::uint64_t seen = 0;
    for (const ServerBook::Record &server : servers) {
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
    const double difference = expectedWait(**picks[0]) - expectedWait(**picks[1]);
    const bool isFirst = difference < 0.0 || (difference == 0.0 && random.chance(0.5));
    return isFirst ? *picks[0] : *picks[1];
}

void learn(ServerRecord &server, Microseconds latency, TimePoint now)
{
    const auto sample = static_cast<double>(latency.count());
    const double weight = server.latencyUs > 0.0 ? latencyWeight : 1.0;
    server.latencyUs += weight * (sample - server.latencyUs);
    server.failuresInRow = 0;
    server.ejections = 0;
    server.lastAnswer = now;
}

} // namespace
} // namespace detail

std::uint32_t connectionShare(std::uint32_t connections, ConnectionSplit split)
{
    const std::uint32_t workers = std::max(1U, split.nodes) * std::max(1U, split.workersPerNode);
    return std::max(1U, connections * detail::usableConnectionsPercent / 100 / workers);
}

void ServerBook::update(const EndpointTable &table, ConnectionSplit split)
{
    std::unordered_map<ServerId, Record> kept;
    groups_.clear();
    for (const auto &[service, endpoints] : table.servers) {
        for (const Endpoint &endpoint : endpoints) {
            const auto found = records_.find(endpoint.id);
            const Record record
                    = found == records_.end() ? std::make_shared<ServerRecord>() : found->second;
            record->endpoint = endpoint;
            record->connectionShare = connectionShare(endpoint.connections, split);
            kept.emplace(endpoint.id, record);
            if (endpoint.state != ServerState::Draining)
                addToGroup(record);
        }
    }
    records_.swap(kept);
}

void ServerBook::addToGroup(const Record &record)
{
    const Endpoint &endpoint = record->endpoint;
    Group &group = groups_[endpoint.service][endpoint.version];
    (endpoint.dataCentre == here_ ? group.local : group.remote).push_back(record);
}

const ServerBook::Group *ServerBook::findGroup(const ServiceId &service,
                                               const VersionId &version) const
{
    const auto versions = groups_.find(service);
    if (versions == groups_.end())
        return nullptr;
    const auto group = versions->second.find(version);
    return group == versions->second.end() ? nullptr : &group->second;
}

ServerBook::Record ServerBook::choose(const ServiceId &service, const VersionId &version,
                                      const std::vector<Record> &tried, TimePoint now,
                                      Random &random) const
{
    const Group *group = findGroup(service, version);
    if (!group)
        return nullptr;
    // Rounds from the best to the last resort: a free slot here, then elsewhere, then a place in a
    // server's own queue, then a server that was ejected.
    for (const bool allowEjected : {false, true}) {
        for (const bool needFreeSlot : {true, false}) {
            const detail::Filter filter{allowEjected, needFreeSlot, now, &tried};
            if (Record found = detail::pickOfTwo(group->local, filter, random))
                return found;
            if (Record found = detail::pickOfTwo(group->remote, filter, random))
                return found;
        }
    }
    return nullptr;
}

void ServerBook::begin(ServerRecord &server)
{
    ++server.inFlight;
}

bool ServerBook::finish(ServerRecord &server, ServerResult result, Microseconds latency,
                        TimePoint now)
{
    CORNELHEAD_CHECK(server.inFlight > 0);
    --server.inFlight;
    switch (result) {
    case ServerResult::Answered:
        detail::learn(server, latency, now);
        return false;
    case ServerResult::Failed:
        return addFailure(server, now);
    case ServerResult::Silent: {
        // Another connection's answer shows that only this connection was lost.
        const bool isServerSilent = server.lastAnswer < now - latency;
        return isServerSilent && addFailure(server, now);
    }
    case ServerResult::Shed:
        server.avoidedUntil = now + detail::shedPause;
        return false;
    case ServerResult::Neutral:
        return false;
    }
    return false;
}

bool ServerBook::addFailure(ServerRecord &server, TimePoint now)
{
    if (++server.failuresInRow < detail::failuresToEject || !mayEject(server, now))
        return false;
    const std::uint32_t doublings = std::min(server.ejections, detail::maxEjectionDoublings);
    server.ejectedUntil = now + detail::firstEjection * (1U << doublings);
    ++server.ejections;
    server.failuresInRow = 0;
    return true;
}

bool ServerBook::mayEject(const ServerRecord &server, TimePoint now) const
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

std::size_t ServerBook::ejected(const ServiceId &service, TimePoint now) const
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
