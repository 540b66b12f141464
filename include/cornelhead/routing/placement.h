// Chooses the host whose backend server takes a call.
//
// Load pattern: servers of one service differ two to three times in speed, some fail calls quickly
// and therefore look idle, some are far away, and every node knows the load of the others only from
// their last answers.  As long as an answer comes well within its objective, a little sooner is
// worth little and bytes between data centres are saved; beyond that, time counts most.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "cornelhead/base/clock.h"
#include "cornelhead/base/random.h"
#include "cornelhead/membership/host-entry.h"

namespace cornelhead {

/// What a serving node says of its server with each answer.
struct HostReport
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 1;
    /// Expected wait at its queue.
    Microseconds wait{};
    /// Mean time of a call at the server, relative to the objective of the call's route.
    double relativeWork = 0.0;
    /// Share of the last answers that were failures of the server.
    double failureShare = 0.0;
    /// Since the start of the node: answers, failures, answers of a server that was no longer cold,
    /// those of them that took longer than their objective, and the sum of their relative work.
    std::uint64_t answers = 0;
    std::uint64_t failures = 0;
    std::uint64_t timedAnswers = 0;
    std::uint64_t lateAnswers = 0;
    double relativeWorkSum = 0.0;
};

/// What one node knows of a host.  Lives as long as the host is listed or a call to it runs.
struct PlacedHost
{
    HostEntry entry;
    /// When this node first heard of it.
    TimePoint knownSince{};
    HostReport report;
    /// When `report` came; the epoch before the first one.
    TimePoint reportedAt{};
    /// Calls of this node in flight, and how many there were when `report` came.
    std::uint32_t inFlight = 0;
    std::uint32_t inFlightAtReport = 0;
    std::uint32_t failuresInRow = 0;
    /// Unreachable: takes no call until then.
    TimePoint avoidedUntil{};
    /// Its node said that it takes no calls now.
    TimePoint closedUntil{};
    /// Last answer of any kind.
    TimePoint answeredAt{};
};

/// What a placement is asked.
struct PlacementQuestion
{
    ServiceId service;
    /// Takes only servers of this version, or, with `isExcluded`, only others.
    std::optional<VersionId> version;
    bool isVersionExcluded = false;
    /// The version that the service has while no move is known.  Servers of another one may belong
    /// to a move whose order has not arrived yet, so they take calls only after a while.
    std::optional<VersionId> usualVersion;
    /// An answer within it is worth its whole credit.
    Microseconds objective{};
    /// Bytes that the call and its answer are expected to have.
    double bytes = 0.0;
    /// Hosts that refused or failed this call.
    std::set<Address> tried;
};

/// Chooses hosts and learns from their answers.  Belongs to one task.
class Placement
{
public:
    using Host = std::shared_ptr<PlacedHost>;

    explicit Placement(DataCentreId here) : here_(std::move(here)) { }

    /// Takes the hosts listed now; what is known of a node's run that stays is kept.
    void update(const std::map<Address, HostDirectory::Record> &hosts, TimePoint now);
    /// Returns null when no host may take the call.
    Host choose(const PlacementQuestion &question, TimePoint now, Random &random) const;
    /// Returns the expected time from now until a call that `host` takes now ends.
    Microseconds expectedTime(const PlacedHost &host, Microseconds objective, TimePoint now) const;

    static void begin(PlacedHost &host) { ++host.inFlight; }
    static void end(PlacedHost &host) { --host.inFlight; }
    static void takeReport(PlacedHost &host, const HostReport &report, TimePoint now);
    /// Notes that the node said that it takes no calls, as it stops or lacks its server.
    static void noteClosed(PlacedHost &host, TimePoint now);
    /// Notes that the node could not be reached.
    static void noteUnreachable(PlacedHost &host, TimePoint now);

    /// Returns the version of most servers of `service`, or `before` while any server has it.
    std::optional<VersionId> usualVersion(const ServiceId &service,
                                          const std::optional<VersionId> &before) const;
    Host find(const Address &node) const;
    /// Hosts of `service` with a server that may take calls.
    std::vector<Host> hostsOf(const ServiceId &service) const;

private:
    double costOf(const PlacedHost &host, const PlacementQuestion &question, TimePoint now) const;
    bool mayTake(const PlacedHost &host, const PlacementQuestion &question, TimePoint now) const;

    DataCentreId here_;
    std::map<Address, Host> hosts_;
    std::map<ServiceId, std::vector<Host>> byService_;
};

} // namespace cornelhead
