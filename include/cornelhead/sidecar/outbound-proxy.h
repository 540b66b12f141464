// The outbound proxy of a node: accepts calls of callers on its host and routes them to servers.
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
#include "cornelhead/routing/deadline-estimate.h"
#include "cornelhead/routing/hand-back.h"
#include "cornelhead/routing/placement.h"
#include "cornelhead/routing/poison-tracker.h"
#include "cornelhead/routing/return-schedule.h"
#include "cornelhead/routing/shared-retry-budget.h"
#include "cornelhead/routing/weighted-split.h"
#include "cornelhead/sidecar/departure-monitor.h"
#include "cornelhead/sidecar/dialect.h"
#include "cornelhead/sidecar/hop.h"
#include "cornelhead/sidecar/upload-sender.h"

namespace cornelhead::detail {

class OutboundCall;
struct IncomingRequest;

/// Why the outbound proxy answers a call itself.  The names are written to logs and metrics.
enum class OutboundRefusal {
    NotReady, ///< No configuration has been received yet.
    NoRoute,
    BadRequest,
    NoServer, ///< No known host may take the call.
    Overload, ///< Every host that was tried refused the call.
    RetryBudget, ///< The call could be retried, but the fleet's retry budget is spent.
    MaxAttempts, ///< The call reached the route's limit of attempts.
    Unknown, ///< The call may have run and must not run twice.
    Timeout,
    Poison, ///< Servers crashed while they ran this request.
    Stopping, ///< The process would end before the call.
    UnknownKey, ///< The call shows no key that a customer holds.
    UnknownParent, ///< A nested call whose outer call is not known here.
    Quota, ///< The customer's quota is used up.
};
constexpr std::size_t outboundRefusalCount = static_cast<std::size_t>(OutboundRefusal::Quota) + 1;
std::string_view outboundRefusalName(OutboundRefusal refusal);

/// Callbacks into the node.
struct OutboundHandlers
{
    /// Returns null if the service has no move.
    std::function<VersionMoveWatcher *(const ServiceId &)> findMove;
    /// A node's response named the revision of the configuration that it holds.
    std::function<void(const Address &, Revision)> onPeerRevision;
    /// Returns whether this host's server is running the call with this request id.
    std::function<bool(const std::string &)> isRunningHere;
    /// Returns whether the caller of the call with this request id left while this host's server
    /// ran it, so that calls made for it are of no use.
    std::function<bool(const std::string &)> isCancelledHere;
    /// Decides, now or later, whether the customer's quota allows a call; else tells when it may
    /// come back.
    std::function<void(const HostCustomer &, std::function<void(std::optional<Milliseconds>)>)>
            admit;
    /// A call that was admitted reached no server.
    std::function<void(const CustomerId &)> returnQuota;
};

struct OutboundSettings
{
    DataCentreId dataCentre;
    ServiceId callerService;
    /// The fleet's limit of retries: this share of the calls in each window.
    double retryRatio = 0.0;
    Milliseconds retryWindow{};
    std::uint64_t seed = 0;
    DepartureRule departure = DepartureRule::WhenShort;
    /// Paces the returns of refused callers also where the configuration names no customers.
    bool returningFirst = false;
    /// The capacity of the node's link.
    LinkSpeed link;
};

/// The end of a process that is stopping.
struct StopSchedule
{
    /// Callers that check readiness have left by then.
    TimePoint callersGoneAt{};
    TimePoint endsAt{};
};

/// Forwards calls of local callers to the nodes of servers.
class OutboundProxy
{
public:
    OutboundProxy(EventLoop &loop, const Dialect &dialect, OutboundSettings settings,
                  PoisonTracker &poison, Metrics &metrics, EventLog &log,
                  OutboundHandlers handlers);
    ~OutboundProxy();
    OutboundProxy(const OutboundProxy &) = delete;
    OutboundProxy &operator=(const OutboundProxy &) = delete;

    void serve(IncomingRequest request);
    void setConfiguration(std::shared_ptr<const RouteTable> table) { table_ = std::move(table); }
    void setHosts(const std::map<Address, HostDirectory::Record> &hosts);
    /// Handles a report that was requested from `node` outside of any call.
    void onPeerReport(const Address &node, const HopResponse &response);
    /// From now on calls that might not end in time are refused, and the others end before the
    /// process does.
    void stop(const StopSchedule &schedule) { stop_ = schedule; }
    /// Ends the calls that this host's server made while it ran the call with this request id.
    void cancelNestedCalls(const std::string &outerId);
    std::size_t active() const { return calls_.size(); }
    /// To be called a few times a second.
    void sweep();
    const Placement &placement() const { return placement_; }

private:
    friend class OutboundCall;

    const ServiceId &chooseService(const HostRoute &route);
    /// Sets which version the call goes to.  Returns whether the call may go to the other version
    /// if that version has no host.
    bool chooseVersion(PlacementRequest &request);
    void recordReport(HostState &host, const HopResponse &response);
    void recordUnreachable(HostState &host, ConnectFailure failure);
    void recordUnanswered(HostState &host, UnansweredEnd end, TimePoint sentAt,
                          Microseconds objective);
    void logOwnLink();
    /// Estimates how long ago the caller first tried a call that it waits for `timeLeft` longer.
    Milliseconds elapsedSinceFirstTry(const RouteId &route, Milliseconds timeLeft);
    /// Updates the route's mean call size.
    void recordCallBytes(const RouteId &route, std::size_t bytes);
    void onCallEnd(OutboundCall &call);

    EventLoop &loop_;
    const Dialect &dialect_;
    const OutboundSettings settings_;
    PoisonTracker &poison_;
    EventLog &log_;
    OutboundHandlers handlers_;
    Random random_;
    UpstreamPool pool_;
    Placement placement_;
    HandBackPolicy handBack_;
    SharedRetryBudget budget_;
    ReturnSchedule returns_;
    UploadSender uploads_;
    std::shared_ptr<const RouteTable> table_;
    std::map<RouteId, WeightedSplit> splits_;
    std::map<ServiceId, WeightedSplit> moveSplits_;
    std::map<ServiceId, std::optional<VersionId>> stableVersions_;
    // Smoothed size of a request with its response.
    std::map<RouteId, double> meanCallBytes_;
    std::map<RouteId, DeadlineEstimate> deadlineEstimates_;
    std::map<OutboundCall *, std::shared_ptr<OutboundCall>> calls_;
    std::vector<Counter *> refusals_;
    Counter &responses_;
    Counter &retries_;
    Counter &resumes_;
    Counter &handBacks_;
    Counter &unanswered_;
    Counter &ownLinkSuspicions_;
    DepartureMonitor departureMonitor_;
    Counter &bookedReturns_;
    Counter &lateReturns_;
    Counter &cancelledNestedCalls_;
    Summary &duration_;
    // Set once the process is stopping.
    std::optional<StopSchedule> stop_;
};

} // namespace cornelhead::detail
