// The side of a node that takes calls from callers on its host and finds them a server.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "cornelhead/base/event-log.h"
#include "cornelhead/base/random.h"
#include "cornelhead/config/route-table.h"
#include "cornelhead/net/event-loop.h"
#include "cornelhead/proxy/upstream-pool.h"
#include "cornelhead/rollout/version-move.h"
#include "cornelhead/routing/placement.h"
#include "cornelhead/routing/poison.h"
#include "cornelhead/routing/shared-retry-budget.h"
#include "cornelhead/routing/usual-deadline.h"
#include "cornelhead/routing/weighted-split.h"
#include "cornelhead/sidecar/dialect.h"
#include "cornelhead/sidecar/hop.h"

struct evhttp_request;

namespace cornelhead::detail {

class EntryCall;

/// Why the entry answers a call itself.
enum class EntryRefusal {
    NotReady, ///< No configuration is known yet.
    NoRoute,
    BadRequest,
    NoServer, ///< No host is known that may take the call.
    Overload, ///< Every host that was asked refused the call.
    Budget, ///< The call may be sent again, but the fleet's budget is spent.
    Attempts, ///< The call used up its attempts.
    Unknown, ///< The call may have been run and must not run twice.
    Timeout,
    Poison, ///< Servers died under this request.
    Stopping, ///< The process would end before the call.
};
constexpr std::size_t entryRefusalCount = 11;
std::string_view entryRefusalName(EntryRefusal refusal);

/// What the entry side asks of its node.
struct EntryHandlers
{
    std::function<VersionMoveWatcher *(const ServiceId &)> moveOf;
    std::function<void(const Address &, Revision)> onPeerRevision;
    /// Tells whether this host's server runs the call with that id now.
    std::function<bool(const std::string &)> runsHere;
};

/// Settings of the entry side.
struct EntrySettings
{
    DataCentreId dataCentre;
    ServiceId callerService;
    double retryRatio = 0.0;
    Milliseconds retryWindow{};
    std::uint64_t seed = 0;
};

/// Carries calls from callers to the nodes of servers.
class EntrySide
{
public:
    EntrySide(EventLoop &loop, const Dialect &dialect, EntrySettings settings, PoisonBook &poison,
              Metrics &metrics, EventLog &log, EntryHandlers handlers);
    ~EntrySide();
    EntrySide(const EntrySide &) = delete;
    EntrySide &operator=(const EntrySide &) = delete;

    void serve(evhttp_request *request);
    void setConfiguration(std::shared_ptr<const RouteTable> table) { table_ = std::move(table); }
    void setHosts(const std::map<Address, HostDirectory::Record> &hosts);
    /// Takes what the node at `node` told of its server without a call.
    void takeReport(const Address &node, const HopAnswer &answer);
    /// The process ends at `endsAt`: answers ask callers to close their connections from now on,
    /// and calls that would last too long are refused.
    void stop(TimePoint endsAt) { endsAt_ = endsAt; }
    std::size_t active() const { return calls_.size(); }
    /// To be called a few times a second.
    void sweep();
    const Placement &placement() const { return placement_; }

private:
    friend class EntryCall;

    const ServiceId &chooseService(const HostRoute &route);
    /// Fills in which version the call goes to, while its service moves.  Returns whether it may go
    /// to the other one where that has no server.
    bool chooseVersion(PlacementQuestion &question);
    void noteReport(PlacedHost &host, const HopAnswer &answer);
    /// Returns how long ago a caller began with a call of which it has `left` to wait.
    Milliseconds elapsedOf(const RouteId &route, Milliseconds left);
    /// Learns the size of a route's calls.
    void noteBytes(const RouteId &route, std::size_t bytes);
    void end(EntryCall &call);

    EventLoop &loop_;
    const Dialect &dialect_;
    const EntrySettings settings_;
    PoisonBook &poison_;
    EventLog &log_;
    EntryHandlers handlers_;
    Random random_;
    UpstreamPool pool_;
    Placement placement_;
    SharedRetryBudget budget_;
    std::shared_ptr<const RouteTable> table_;
    std::map<RouteId, WeightedSplit> splits_;
    std::map<ServiceId, WeightedSplit> moveSplits_;
    std::map<ServiceId, std::optional<VersionId>> usualVersions_;
    // Smoothed bytes of a call with its answer.
    std::map<RouteId, double> bytes_;
    std::map<RouteId, UsualDeadline> usualDeadlines_;
    std::map<EntryCall *, std::shared_ptr<EntryCall>> calls_;
    std::vector<Counter *> refusals_;
    Counter &served_;
    Counter &retries_;
    Counter &resumes_;
    Summary &duration_;
    // Set once the process is stopping.
    std::optional<TimePoint> endsAt_;
};

} // namespace cornelhead::detail
