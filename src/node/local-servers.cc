// Parses announcements and tracks heartbeats of local backend servers.
#include "cornelhead/node/local-servers.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace cornelhead {
namespace detail {

constexpr std::uint64_t maxCount = 100'000;
constexpr std::size_t maxNameBytes = 128;

using Json = nlohmann::json;

tl::unexpected<Error> invalidBody(const std::string &what)
{
    return fail(ErrorKind::InvalidMessage, "the request body is invalid: " + what,
                "see docs/operators/backend-servers.md for the format");
}

Result<Json> readObject(std::string_view text)
{
    Json json = Json::parse(text, nullptr, false);
    if (!json.is_object())
        return invalidBody("not a JSON object");
    return json;
}

Result<std::string> readName(const Json &json, const char *key)
{
    const auto found = json.find(key);
    if (found == json.end() || !found->is_string())
        return invalidBody(std::string(key) + " is missing or not a string");
    std::string name = found->get<std::string>();
    if (name.empty() || name.size() > maxNameBytes)
        return invalidBody(std::string(key) + " is empty or too long");
    return name;
}

Result<std::uint32_t> readCount(const Json &json, const char *key)
{
    const auto found = json.find(key);
    if (found == json.end() || !found->is_number_unsigned())
        return invalidBody(std::string(key) + " is missing or not an unsigned integer");
    const auto count = found->get<std::uint64_t>();
    if (count == 0 || count > maxCount)
        return invalidBody(std::string(key) + " is out of range");
    return static_cast<std::uint32_t>(count);
}

Result<ServerState> readState(const Json &json)
{
    const Result<std::string> name = readName(json, "state");
    if (!name)
        return tl::unexpected(name.error());
    if (*name == "starting")
        return ServerState::Starting;
    if (*name == "serving")
        return ServerState::Serving;
    if (*name == "draining")
        return ServerState::Draining;
    return invalidBody("state must be starting, serving or draining");
}

// Reads fields of a JSON object and keeps the first error.
class FieldReader
{
public:
    explicit FieldReader(const Json &json) : json_(json) { }

    std::string name(const char *key) { return valueOrDefault(readName(json_, key)); }
    std::uint32_t count(const char *key) { return valueOrDefault(readCount(json_, key)); }
    ServerState state() { return valueOrDefault(readState(json_)); }
    Address address(const char *key) { return valueOrDefault(parseAddress(name(key))); }
    const std::optional<Error> &fault() const { return fault_; }

private:
    template <typename T>
    T valueOrDefault(Result<T> result)
    {
        if (result)
            return *result;
        if (!fault_)
            fault_ = result.error();
        return T();
    }

    const Json &json_;
    std::optional<Error> fault_;
};

} // namespace detail

Result<Endpoint> readAnnouncement(std::string_view json)
{
    const Result<detail::Json> object = detail::readObject(json);
    if (!object)
        return tl::unexpected(object.error());
    detail::FieldReader reader(*object);
    Endpoint endpoint;
    endpoint.id = ServerId(reader.name("server"));
    endpoint.service = ServiceId(reader.name("service"));
    endpoint.version = VersionId(reader.name("version"));
    endpoint.address = reader.address("address");
    endpoint.slots = reader.count("slots");
    endpoint.connections = reader.count("connections");
    endpoint.state = reader.state();
    if (reader.fault())
        return tl::unexpected(*reader.fault());
    return endpoint;
}

Result<ServerId> readWithdrawal(std::string_view json)
{
    const Result<detail::Json> object = detail::readObject(json);
    if (!object)
        return tl::unexpected(object.error());
    detail::FieldReader reader(*object);
    ServerId server(reader.name("server"));
    if (reader.fault())
        return tl::unexpected(*reader.fault());
    return server;
}

LocalServers::LocalServers(Clock clock, Milliseconds heartbeatTimeout, NodeInfo node)
    : clock_(std::move(clock)), heartbeatTimeout_(heartbeatTimeout), node_(std::move(node)),
      sequence_(static_cast<std::uint64_t>(node_.startedAtMs))
{ }

std::optional<Endpoint> LocalServers::heartbeat(const Endpoint &announced)
{
    Endpoint endpoint = announced;
    endpoint.dataCentre = node_.dataCentre;
    endpoint.node = node_.id;
    Entry &entry = servers_[endpoint.id];
    entry.lastHeartbeat = now(clock_);
    endpoint.sequence = entry.endpoint.sequence;
    if (endpoint == entry.endpoint)
        return std::nullopt;
    endpoint.sequence = ++sequence_;
    entry.endpoint = endpoint;
    return endpoint;
}

bool LocalServers::withdraw(const ServerId &server)
{
    return servers_.erase(server) > 0;
}

std::vector<ServerId> LocalServers::removeTimedOut()
{
    const TimePoint cutoff = now(clock_) - heartbeatTimeout_;
    std::vector<ServerId> timedOut;
    for (const auto &[id, entry] : servers_) {
        if (entry.lastHeartbeat < cutoff)
            timedOut.push_back(id);
    }
    for (const ServerId &id : timedOut)
        servers_.erase(id);
    return timedOut;
}

} // namespace cornelhead
