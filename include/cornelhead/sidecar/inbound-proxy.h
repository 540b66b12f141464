// The inbound proxy of a node, through which all calls reach the host's backend server.
#pragma once

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "cornelhead/base/event-log.h"
#include "cornelhead/membership/local-server.h"
#include "cornelhead/membership/warm-up.h"
#include "cornelhead/net/event-loop.h"
#include "cornelhead/net/receive-limit.h"
#include "cornelhead/proxy/message-head.h"
#include "cornelhead/proxy/upstream-pool.h"
#include "cornelhead/rollout/server-samples.h"
#include "cornelhead/routing/poison-tracker.h"
#include "cornelhead/routing/room-reservations.h"
#include "cornelhead/routing/server-gate.h"
#include "cornelhead/routing/work-estimate.h"
#include "cornelhead/sidecar/body-offer.h"
#include "cornelhead/sidecar/call-records.h"
#include "cornelhead/sidecar/dialect.h"
#include "cornelhead/sidecar/hop.h"

struct evhttp_request;

namespace cornelhead::detail {

class InboundCall;

/// Callbacks into the node.
struct InboundHandlers
{
    /// The server went down, came back or was replaced.
    std::function<void()> onServerChanged;
    /// The server crashed while it ran these requests.
    std::function<void(const std::vector<SuspectedDeath> &)> onDeaths;
    /// A request under which servers died got a response.
    std::function<void(Fingerprint)> onSuspicionCleared;
    std::function<Revision()> configurationRevision;
    /// The caller of a call that the server was running left, and the call was cancelled.
    std::function<void(const std::string &id)> onCallCancelled;
};

/// Forwards calls of all nodes to the host's server.
///
/// Keeps a record of each call by its request id, so that a caller's node whose connection broke
/// can resume the call without running it twice.
class InboundProxy
{
public:
    InboundProxy(EventLoop &loop, const Dialect &dialect, const NodeId &run, const Address &server,
                 LocalServer &local, PoisonTracker &poison, Metrics &metrics, EventLog &log,
                 InboundHandlers handlers);
    ~InboundProxy();
    InboundProxy(const InboundProxy &) = delete;
    InboundProxy &operator=(const InboundProxy &) = delete;

    /// Handles a request that carries `hopRequestHeader`.
    void serve(evhttp_request *request);
    /// Answers an offer of a call whose body is large: holds room for it or refuses it.
    void serveOffer(evhttp_request *request);
    void setLink(LinkSpeed link) { rooms_.setLink(link); }
    /// Applies a change of the server's state or slots.
    void refresh();
    /// Applies a heartbeat that is not stale.
    void observeHeartbeat(const ServerAnnouncement &announcement);
    /// The report about the server that every response carries.
    HopResponse report() const { return hopResponse(HopResult::Answered, HopReason::None); }
    /// Refuses new and waiting calls; running calls go on.
    void stop();
    /// Returns whether the server is running the call with this request id.
    bool isRunning(const std::string &id) const;
    /// Returns whether the caller of this call left, and the call was cancelled.
    bool wasCancelled(const std::string &id) const { return records_.wasCancelled(id); }
    /// From now on callers' retries go before first tries also if they have no customer.
    void setReturningFirst() { isReturningFirst_ = true; }
    /// Number of calls that wait or run.
    std::size_t active() const;
    /// To be called a few times a second.
    void sweep();
    /// Sends a health check to the server if it is known and down.
    void probe(const std::string &healthPath);

private:
    friend class InboundCall;

    HopResponse hopResponse(HopResult result, HopReason reason) const;
    void refuse(evhttp_request *request, HopResult result, HopReason reason);
    /// Responds with the outcome of a call that has ended.
    void repeatOutcome(evhttp_request *request, const CallOutcome &outcome);
    /// Refuses or starts a call that has no record.
    void admit(evhttp_request *request, const std::string &id, const HopRequest &hop);
    /// Returns why a new call is refused at once, or `None`.
    HopReason refusalFor(const HopRequest &hop, evhttp_request *request) const;
    /// The part of it that does not depend on the request's content.
    HopReason serverRefusalFor(const HopRequest &hop) const;
    /// Applies the limit that a caller's node has heard from the server.
    void applyKnownLimit(const HopRequest &hop);
    /// Judges an offered call and holds room for it unless it returns a reason to refuse it.
    HopReason holdRoom(evhttp_request *request, const std::string &id, const OfferRequest &offer);
    void expireRooms(TimePoint time);
    void start(evhttp_request *request, const std::string &id, const HopRequest &hop, bool wasHeld);
    void scheduleWaitingCalls();
    void startWaitingCalls();
    void refuseAll(const std::vector<GateTicket> &tickets, HopReason reason);
    void onCallEnd(InboundCall &call);
    /// Records a call that the server has run, and returns how it counted.
    CallSample recordEnd(const InboundCall &call, CallEnd end);
    void recordBrokenCall(const InboundCall &call);
    /// Records that the server survived the call.
    void recordResponse(const InboundCall &call);
    /// Logs and counts a response that is not valid HTTP.
    void recordInvalidHead(const InboundCall &call, HeadFault fault);
    /// Logs and counts a response that is longer than a call may receive.
    void recordLongResponse(const InboundCall &call, ReceiveFault fault);
    /// Copies the response of a call that must not run twice, for its resumes.  Returns null if the
    /// buffered bytes leave no room; the outcome of a resume is unknown then.
    std::shared_ptr<const StoredResponse> keepResponse(const InboundCall &call,
                                                       evhttp_request *response);
    /// Applies what the server reported about itself in the headers of a response.
    void observeNotice(std::string_view limit, std::string_view leaving);
    void onNoticeChanged();
    void logLimitedCalls();
    void countServerCall();
    void onConnectFailed();
    void onHealthResponse(const HttpResponse &response);
    Milliseconds maxReuseAge() const { return maxReuseAge_; }

    EventLoop &loop_;
    const Dialect &dialect_;
    const NodeId run_;
    const Address server_;
    LocalServer &local_;
    PoisonTracker &poison_;
    EventLog &log_;
    InboundHandlers handlers_;
    Counter &refusals_;
    std::array<Counter *, headFaultCount> invalidHeads_{};
    std::array<Counter *, receiveFaultCount> longResponses_{};
    Counter &serverCalls_;
    // Callers' retries that could still be in time, and those of them that were refused.
    Counter &returningCalls_;
    Counter &refusedReturns_;
    Gauge &serverLimit_;
    Counter &roomsHeld_;
    Counter &roomsExpired_;
    Gauge &inboundBytes_;
    UpstreamPool pool_;
    HttpClient healthClient_;
    ServerGate gate_;
    RoomReservations rooms_{gate_};
    WorkEstimate work_;
    std::map<GateTicket, std::shared_ptr<InboundCall>> calls_;
    CallRecords records_;
    PauseDetector pauses_;
    GateTicket lastTicket_;
    // Connections that were idle for longer are not reused, as the server may close them at any
    // moment.
    Milliseconds maxReuseAge_;
    ServerSamples samples_;
    // Calls sent to a server that is warming up do not count as samples of its speed.
    WarmUp warmUp_;
    // Calls whose connection broke within `deathWindow`, in case the server turns out to have
    // crashed, with the time of the break.
    std::vector<std::pair<SuspectedDeath, TimePoint>> brokenCalls_;
    Timer startTimer_;
    // Runs when the server's limit allows the next waiting call.
    Timer paceTimer_;
    // Calls sent to the server since `limitedSince_`, which is set while the server names a limit.
    std::uint64_t limitedCalls_ = 0;
    std::optional<TimePoint> limitedSince_;
    bool isStartScheduled_ = false;
    bool isReturningFirst_ = false;
    bool isProbing_ = false;
    bool isStopping_ = false;
};

} // namespace cornelhead::detail
