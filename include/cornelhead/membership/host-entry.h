// The entry that each host publishes about its node and backend server, and the directory of hosts.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cornelhead/base/address.h"
#include "cornelhead/base/clock.h"
#include "cornelhead/base/error.h"
#include "cornelhead/base/ids.h"
#include "cornelhead/membership/endpoint.h"

namespace cornelhead {

constexpr std::uint32_t maxServerSlots = 100'000;
/// The end of the year 9999 in Unix milliseconds.
constexpr std::int64_t maxStartedAtMs = 253'402'300'799'999;

/// One run (process lifetime) of a host's backend server, as the server announced it.
struct HostedServer
{
    ServerId id;
    ServiceId service;
    VersionId version;
    /// Maximum number of concurrent calls.
    std::uint32_t slots = 1;
    ServerState state = ServerState::Serving;
    /// When the server says that it started, in Unix milliseconds; 0 if it does not.  Distinguishes
    /// runs under one id.
    std::int64_t startedAtMs = 0;

    friend bool operator==(const HostedServer &, const HostedServer &) = default;
};

/// The entry that a host's node publishes in the key-value service under its lease.
struct HostEntry
{
    /// Address to which other nodes send calls for the host's server; identifies the host.
    Address node;
    /// Identifies one run of the node.
    NodeId run;
    DataCentreId dataCentre;
    /// Absent while the host has no server that may receive calls.
    std::optional<HostedServer> server;
    /// The node is stopping and accepts no further calls from other nodes.
    bool isStopping = false;
    /// Maximum number of nodes to which this one can relay changes of the key-value service.
    std::uint32_t followers = 0;

    friend bool operator==(const HostEntry &, const HostEntry &) = default;
};

std::string encodeHostEntry(const HostEntry &entry);
/// Fails with `InvalidMessage`.
Result<HostEntry> decodeHostEntry(std::string_view bytes);

/// All known hosts, keyed by the address of their node.  Decides when to remove a host that the
/// key-value service no longer lists.
///
/// A lease may expire during an outage of the service, or be revoked while its node is alive.  An
/// unlisted host is therefore kept for `absenceGracePeriod`, and longer while its node answers.
class HostDirectory
{
public:
    /// Nodes republish entries that expired during an outage within about two seconds of its end.
    static constexpr Milliseconds absenceGracePeriod = Milliseconds(2500);

    struct Record
    {
        HostEntry entry;
        /// When the service stopped listing the host; nothing while it is listed.
        std::optional<TimePoint> absentSince;
    };

    /// Stores an entry that the service lists.  Returns whether anything changed.
    bool put(const HostEntry &entry);
    /// Stores an entry received from a node, unless the service lists the host or the entry is
    /// already stored.  Returns whether it was stored.
    bool putFromPeer(const HostEntry &entry, TimePoint now);
    /// Starts the grace period of a host that the service no longer lists.  A stopping host is
    /// removed at once; returns whether one was removed.
    bool markAbsent(const Address &node, TimePoint now);
    /// Applies a complete listing; hosts missing from it are marked absent.  Returns whether
    /// anything changed.
    bool replaceAll(const std::vector<HostEntry> &entries, TimePoint now);
    /// Removes absent hosts whose grace period has expired, unless `answeredLately(node)` is true.
    /// Returns whether any was removed.
    template <typename Predicate>
    bool removeExpired(TimePoint now, Predicate answeredLately)
    {
        return std::erase_if(hosts_,
                             [&](const auto &host) {
                                 const Record &record = host.second;
                                 return record.absentSince
                                         && now - *record.absentSince > absenceGracePeriod
                                         && !answeredLately(host.first);
                             })
                > 0;
    }
    /// Restarts the grace period of all absent hosts, after a time without contact to the service.
    void restartGracePeriods(TimePoint now);

    const std::map<Address, Record> &hosts() const { return hosts_; }
    const Record *find(const Address &node) const;

private:
    std::map<Address, Record> hosts_;
};

} // namespace cornelhead
