// Chooses the host whose backend server gets a call.
//
// Load pattern: servers of one service differ in speed by a factor of two to three, some fail calls
// quickly and therefore look idle, some are far away, and each node sees the load of the others
// only from their last responses.  In a large fleet that is seconds ago: if every node took such a
// host for idle and compared all hosts, all nodes would choose the same few fast ones.  So each
// choice compares a few hosts drawn at random, and a load that is not known is taken as the mean of
// its service.  While a response is expected well within its latency objective, saving bytes
// between data centres matters more than latency; beyond that, latency dominates.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "cornelhead/base/clock.h"
#include "cornelhead/base/random.h"
#include "cornelhead/base/units.h"
#include "cornelhead/membership/host-entry.h"
#include "cornelhead/rollout/server-counters.h"
#include "cornelhead/routing/data-centre-reach.h"
#include "cornelhead/routing/departure-share.h"
#include "cornelhead/routing/link-load.h"
#include "cornelhead/routing/own-link.h"
#include "cornelhead/routing/server-notices.h"
#include "cornelhead/routing/silence.h"

namespace cornelhead {

/// The load report on its server that a node sends with each response.
struct HostReport
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 1;
    /// Expected time in the node's queue.
    Microseconds wait{};
    /// Mean service time relative to the latency objective of each call's route.
    double relativeWork = 0.0;
    /// Smoothed share of failures among the server's responses.
    double failureShare = 0.0;
    ServerCounters counters;
    /// What the server last reported about itself, and when this run of it started, as in
    /// `HostedServer`.
    ServerNotice notice;
    std::int64_t serverStartedAtMs = 0;
    /// The rate at which calls arrive at the node of a limited server; not reported without a
    /// limit.
    CallRate demand;
    /// The large bodies on their way to the host.
    InboundLoad link;
};

/// The state held of a host.  Lives while the host is listed or a call to it is in flight.
struct HostState
{
    HostEntry entry;
    /// When the host was first listed.
    TimePoint firstSeenAt{};
    HostReport report;
    /// When `report` arrived; the clock's epoch before the first report.
    TimePoint reportedAt{};
    /// Calls of this node in flight, now and when `report` arrived.
    std::uint32_t inFlight = 0;
    std::uint32_t inFlightAtReport = 0;
    std::uint32_t consecutiveFailures = 0;
    /// Gets no calls until then because it was unreachable.
    TimePoint backoffUntil{};
    /// Gets no calls until then because its node announced that it accepts none.
    TimePoint closedUntil{};
    /// Time of the last response of any kind.
    TimePoint lastResponseAt{};
    /// Calls of this node that the host did not answer.
    UnansweredShare unanswered;
};

/// Why no byte of a call reached a host.
enum class ConnectFailure {
    Refused, ///< The host, or a host on the way, refused or closed the connection.
    TimedOut,
};

/// When calls leave this data centre for another one.
enum class DepartureRule {
    ByCost, ///< When the host drawn there costs less, distance and bytes included.
    WhenShort, ///< So too, and a share of the calls while this data centre is short of room.
};

/// How hosts are compared.  The default suits fleets of all sizes; tests compare others with it.
struct PlacementPolicy
{
    /// Hosts that are compared for one call, drawn at random from this data centre and from others.
    std::size_t localCandidates = 2;
    std::size_t remoteCandidates = 1;
    /// Takes a host without a recent report for as busy as the mean of its service, not for idle.
    bool assumesMeanLoad = true;
    DepartureRule departure = DepartureRule::ByCost;
};

/// Choices of hosts in other data centres since the start, by reason.
struct DepartureCounts
{
    std::uint64_t byShare = 0;
    std::uint64_t byCost = 0;
    /// No host of this data centre was eligible.
    std::uint64_t withoutLocalHost = 0;
};

/// The parameters of a placement.
struct PlacementRequest
{
    ServiceId service;
    /// Restricts the choice to servers of this version or, with `isVersionExcluded`, of all others.
    std::optional<VersionId> version;
    bool isVersionExcluded = false;
    /// The version of the service outside of a move.  Servers of another version may belong to a
    /// move whose order has not arrived yet, so they get calls only after a delay.
    std::optional<VersionId> defaultVersion;
    /// Restricts the choice to so many of the servers that the version allows, the same at all
    /// nodes; 0 for no limit.
    std::size_t maxServers = 0;
    /// The latency objective of the call.
    Microseconds objective{};
    /// Expected size of the request and its response.
    double bytes = 0.0;
    /// The request's body on its way to the host.
    OutgoingBody body;
    /// Hosts that have refused or failed this call.
    std::set<Address> tried;
    /// Hosts that handed the call back as they were busy.  They are compared again, as their load
    /// is known.
    std::vector<std::shared_ptr<HostState>> busy;
};

/// Chooses hosts by expected time, failures and distance.  Not thread-safe.
class Placement
{
public:
    using Host = std::shared_ptr<HostState>;

    explicit Placement(DataCentreId localDataCentre, PlacementPolicy policy = {})
        : localDataCentre_(std::move(localDataCentre)), policy_(policy), ownLink_(localDataCentre_)
    { }

    /// Sets the listed hosts.  The state of a host is kept while its node is not restarted.
    void update(const std::map<Address, HostDirectory::Record> &hosts, TimePoint now);
    /// Returns null if no host is eligible.
    Host choose(const PlacementRequest &request, TimePoint now, Random &random);
    /// Returns the expected time from now until a call sent to `host` now would end.
    Microseconds expectedTime(const HostState &host, Microseconds objective, TimePoint now) const;
    /// The same with the time that the body of the call takes.
    Microseconds expectedTime(const HostState &host, const PlacementRequest &request,
                              TimePoint now) const;

    /// Count a call to `host` as in flight, and as ended.
    static void begin(HostState &host) { ++host.inFlight; }
    static void end(HostState &host) { --host.inFlight; }
    void applyReport(HostState &host, const HostReport &report, TimePoint now);
    /// Stops calls to a host for a moment, because its node is stopping or has no server.
    static void markClosed(HostState &host, TimePoint now);
    /// Stops calls to an unreachable host for a backoff time.
    static void markUnreachable(HostState &host, TimePoint now);
    /// Records that a call could not be sent to a host, and stops calls to the host for a backoff
    /// time unless the own link is suspected.  Returns whether this begins such a suspicion.
    bool recordUnreachable(HostState &host, ConnectFailure failure, TimePoint now);
    /// Records that a call stopped waiting for the host's answer, `waited` after it was sent.
    /// Returns whether this begins a suspicion of the own link.
    bool recordUnanswered(HostState &host, UnansweredEnd end, Microseconds waited,
                          Microseconds objective, TimePoint now);
    const OwnLink &ownLink() const { return ownLink_; }
    const DepartureCounts &departures() const { return departures_; }
    /// Returns the share of each service's calls that leaves this data centre, of the size of call
    /// of which most leave.
    std::map<ServiceId, double> departureShares() const;

    /// Returns `previous` while any server of `service` has it, else the version of most servers.
    std::optional<VersionId> defaultVersion(const ServiceId &service,
                                            const std::optional<VersionId> &previous) const;
    Host find(const Address &node) const;
    /// Returns the limit that the host's server last reported, also to an earlier run of its node.
    std::optional<CallRate> knownLimit(const HostState &host) const;
    /// Returns the number of servers of a version that are not draining.
    std::size_t countServers(const ServiceId &service, const VersionId &version) const;
    /// Returns the hosts that have a server of `service`.
    std::vector<Host> hostsOf(const ServiceId &service) const;

private:
    /// What is assumed of a host without a recent report: smoothed over all reports of its service.
    struct ServiceMeans
    {
        /// Calls at a server, for each of its slots.
        double load = 0.0;
        /// As `HostReport::relativeWork`.
        double relativeWork = 0.3;
    };
    /// The hosts that have a server of one service.
    struct ServiceHosts
    {
        std::vector<Host> all;
        // The same hosts by distance, in an order that drawing changes.
        std::vector<Host> local;
        std::vector<Host> remote;
        std::map<DataCentreId, std::vector<Host>> remoteByDataCentre;
        ServiceMeans means;
        DepartureShare departure;
    };
    /// The hosts that are compared for one call.
    struct Candidates
    {
        std::vector<Host> hosts;
        /// The call leaves by the share, so distance and bytes are not weighed again.
        bool isLeaving = false;
    };

    /// Returns the expected time as a share of the objective, as a cost.
    static double timeCost(double relativeTime);
    static LoadSample sampleOf(const HostState &host, TimePoint now);
    /// Tells the departure share what is known of all hosts.
    static void observe(ServiceHosts &service, TimePoint now);
    double departureCost(const PlacementRequest &request) const;
    /// Draws hosts for a call that leaves, if the share says that it does.
    bool drawAway(ServiceHosts &service, const PlacementRequest &request, TimePoint now,
                  Random &random, Candidates &candidates);
    Candidates drawCandidates(ServiceHosts &service, const PlacementRequest &request, TimePoint now,
                              Random &random);
    /// Removes hosts of data centres that cannot be reached, unless there are no others.
    void skipUnreached(std::vector<Host> &hosts, TimePoint now) const;
    void recordChoice(const Candidates &candidates, const HostState &chosen, TimePoint now);
    void recordFailure(const HostState &host, TimePoint now);
    /// Returns the cost without that of leaving the data centre.
    double costOf(const HostState &host, const PlacementRequest &request, TimePoint now) const;
    static bool isVersionAllowed(const HostState &host, const PlacementRequest &request);
    bool isEligible(const HostState &host, const PlacementRequest &request, TimePoint now) const;
    /// Appends up to `count` eligible hosts, drawn at random.
    void draw(std::vector<Host> &hosts, std::size_t count, const PlacementRequest &request,
              TimePoint now, Random &random, std::vector<Host> &candidates) const;
    /// Returns the hosts of the first `request.maxServers` servers in an order of their own.
    static std::vector<Host> firstServers(const std::vector<Host> &hosts,
                                          const PlacementRequest &request);
    /// Takes over what is known of the service's servers.
    void keepHistory(const ServiceId &id, ServiceHosts &service);
    ServiceMeans meansOf(const ServiceId &service) const;
    /// Returns whether the failure of the host begins a suspicion of the own link.  Then the hosts
    /// that failed lately are no longer avoided.
    bool beginsSuspicion(const HostState &host, TimePoint now);

    DataCentreId localDataCentre_;
    PlacementPolicy policy_;
    std::map<Address, Host> hosts_;
    std::map<ServiceId, ServiceHosts> byService_;
    ServerNotices notices_;
    OwnLink ownLink_;
    DataCentreReach reach_;
    DepartureCounts departures_;
};

} // namespace cornelhead
