// Encodes host entries and implements their directory.
#include "cornelhead/membership/host-entry.h"

#include <set>
#include <stdexcept>

#include "cornelhead/base/untrusted-json.h"

namespace cornelhead {
namespace detail {

using nlohmann::json;

constexpr const char *drainingState = "draining";
constexpr const char *servingState = "serving";
constexpr std::uint32_t maxFollowers = 1'000'000;

json toJson(const HostedServer &server)
{
    return {{"id", server.id.value()},
            {"service", server.service.value()},
            {"version", server.version.value()},
            {"slots", server.slots},
            {"state", server.state == ServerState::Draining ? drainingState : servingState},
            {"startedAt", server.startedAtMs}};
}

ServerState readState(const std::string &name)
{
    if (name == drainingState)
        return ServerState::Draining;
    if (name == servingState)
        return ServerState::Serving;
    throw std::invalid_argument("'" + name + "' is not a server state");
}

HostedServer readHostedServer(const json &json)
{
    HostedServer server;
    server.id = ServerId(json.at("id").get<std::string>());
    server.service = ServiceId(json.at("service").get<std::string>());
    server.version = VersionId(json.at("version").get<std::string>());
    server.slots = readInteger<std::uint32_t>(json.at("slots"), 1, maxServerSlots);
    server.state = readState(json.at("state").get<std::string>());
    if (json.contains("startedAt"))
        server.startedAtMs = readInteger<std::int64_t>(json.at("startedAt"), 0, maxStartedAtMs);
    return server;
}

HostEntry readHostEntry(const json &json)
{
    HostEntry entry;
    const Result<Address> node = parseAddress(json.at("node").get<std::string>());
    if (!node)
        throw std::invalid_argument(node.error().describe());
    entry.node = *node;
    entry.run = NodeId(json.at("run").get<std::string>());
    entry.dataCentre = DataCentreId(json.at("dataCentre").get<std::string>());
    if (json.contains("server"))
        entry.server = readHostedServer(json.at("server"));
    entry.isStopping = json.value("stopping", false);
    if (json.contains("followers"))
        entry.followers = readInteger<std::uint32_t>(json.at("followers"), 0, maxFollowers);
    return entry;
}

} // namespace detail

std::string encodeHostEntry(const HostEntry &entry)
{
    nlohmann::json json = {{"node", entry.node.toString()},
                           {"run", entry.run.value()},
                           {"dataCentre", entry.dataCentre.value()},
                           {"followers", entry.followers}};
    if (entry.server)
        json["server"] = detail::toJson(*entry.server);
    if (entry.isStopping)
        json["stopping"] = true;
    return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

Result<HostEntry> decodeHostEntry(std::string_view bytes)
{
    const Result<nlohmann::json> json = parseUntrustedJson(bytes);
    if (!json)
        return tl::unexpected(json.error());
    try {
        return detail::readHostEntry(*json);
    } catch (const std::exception &error) {
        return fail(ErrorKind::InvalidMessage, std::string("malformed host entry: ") + error.what(),
                    "check which other program writes keys below the prefix of host entries");
    }
}

bool HostDirectory::put(const HostEntry &entry)
{
    const auto [host, isNew] = hosts_.try_emplace(entry.node, Record{entry, std::nullopt});
    const bool isChanged = isNew || !(host->second.entry == entry) || host->second.absentSince;
    host->second = Record{entry, std::nullopt};
    return isChanged;
}

bool HostDirectory::putFromPeer(const HostEntry &entry, TimePoint now)
{
    const auto host = hosts_.find(entry.node);
    if (host != hosts_.end() && (!host->second.absentSince || host->second.entry == entry))
        return false;
    hosts_.insert_or_assign(entry.node, Record{entry, now});
    return true;
}

bool HostDirectory::markAbsent(const Address &node, TimePoint now)
{
    const auto host = hosts_.find(node);
    if (host == hosts_.end())
        return false;
    if (host->second.entry.isStopping) {
        hosts_.erase(host);
        return true;
    }
    if (!host->second.absentSince)
        host->second.absentSince = now;
    return false;
}

bool HostDirectory::replaceAll(const std::vector<HostEntry> &entries, TimePoint now)
{
    bool isChanged = false;
    std::set<Address> listed;
    for (const HostEntry &entry : entries) {
        listed.insert(entry.node);
        isChanged |= put(entry);
    }
    std::vector<Address> absent;
    for (const auto &[node, record] : hosts_) {
        if (!listed.contains(node))
            absent.push_back(node);
    }
    for (const Address &node : absent)
        isChanged |= markAbsent(node, now);
    return isChanged;
}

void HostDirectory::restartGracePeriods(TimePoint now)
{
    for (auto &[node, record] : hosts_) {
        if (record.absentSince)
            record.absentSince = now;
    }
}

const HostDirectory::Record *HostDirectory::find(const Address &node) const
{
    const auto host = hosts_.find(node);
    return host == hosts_.end() ? nullptr : &host->second;
}

} // namespace cornelhead
