// The side of a node that stands before the host's backend server: the only way to it.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "cornelhead/base/event-log.h"
#include "cornelhead/membership/local-server.h"
#include "cornelhead/net/event-loop.h"
#include "cornelhead/proxy/upstream-pool.h"
#include "cornelhead/routing/key-memory.h"
#include "cornelhead/routing/poison.h"
#include "cornelhead/routing/server-gate.h"
#include "cornelhead/routing/work-estimate.h"
#include "cornelhead/sidecar/dialect.h"
#include "cornelhead/sidecar/hop.h"

struct evhttp_request;

namespace cornelhead::detail {

class InboundCall;

/// What the serving side tells and asks its node.
struct InboundHandlers
{
    /// The server went down, came back or was replaced.
    std::function<void()> onServerChanged;
    /// The server died while it ran these requests.
    std::function<void(const std::vector<SuspectedDeath> &)> onDeaths;
    std::function<Revision()> configurationRevision;
};

/// Runs calls of all nodes at the host's server.
///
/// Remembers each call by its request id until its deadline has passed, so that a caller's node
/// whose connection broke can ask again without a second run.
class InboundProxy
{
public:
    InboundProxy(EventLoop &loop, const Dialect &dialect, const NodeId &run, const Address &server,
                 LocalServer &local, PoisonBook &poison, Metrics &metrics, EventLog &log,
                 InboundHandlers handlers);
    ~InboundProxy();
    InboundProxy(const InboundProxy &) = delete;
    InboundProxy &operator=(const InboundProxy &) = delete;

    /// Takes a request that carries `hopRequestHeader`.
    void serve(evhttp_request *request);
    /// The server's state or slots have changed.
    void refresh();
    /// Answers that begin before `coldUntil` say nothing of the speed of the server's version.
    void setColdUntil(TimePoint coldUntil) { coldUntil_ = coldUntil; }
    /// What other nodes may know of the server, as with each answer.
    HopResponse report() const { return hopResponse(HopResult::Answered, HopReason::None); }
    /// Refuses further calls; those that run end in their time.
    void stop();
    /// Tells whether the server runs the call with that id now.
    bool runs(const std::string &id) const;
    /// Calls that wait or run.
    std::size_t active() const;
    /// To be called a few times a second.
    void sweep();
    /// Asks the server for its health, if it is not known to be up.
    void probe(const std::string &healthPath);

private:
    friend class InboundCall;

    /// A call as its id is remembered.
    struct CallRecord
    {
        // Null once the call has ended.
        std::shared_ptr<InboundCall> call;
        HopResult result = HopResult::Unknown;
        HopReason reason = HopReason::None;
        /// The answer, for calls that must not run twice.
        std::shared_ptr<const RememberedAnswer> answer;
        TimePoint forgetAt{};
    };

    HopResponse hopResponse(HopResult result, HopReason reason) const;
    void refuse(evhttp_request *request, HopResult result, HopReason reason);
    /// Answers from what is remembered of the id; false when the call is to be treated as new.
    bool resume(evhttp_request *request, const std::string &id, const HopRequest &hop);
    HopReason refusalFor(const HopRequest &hop, evhttp_request *request) const;
    void start(evhttp_request *request, const std::string &id, const HopRequest &hop);
    void scheduleWaitingCalls();
    void startWaitingCalls();
    void refuseAll(const std::vector<GateTicket> &tickets, HopReason reason);
    void end(InboundCall &call);
    void noteAnswer(const InboundCall &call, bool isFailure, Microseconds duration);
    void recordBrokenCall(const InboundCall &call);
    void onConnectFailed();
    void onHealthResponse(const HttpResponse &answer);
    Milliseconds maxReuseAge() const { return maxReuseAge_; }

    EventLoop &loop_;
    const Dialect &dialect_;
    const NodeId run_;
    const Address server_;
    LocalServer &local_;
    PoisonBook &poison_;
    EventLog &log_;
    InboundHandlers handlers_;
    Counter &refusals_;
    UpstreamPool pool_;
    HttpClient health_;
    ServerGate gate_;
    WorkEstimate work_;
    std::map<GateTicket, std::shared_ptr<InboundCall>> calls_;
    std::map<std::string, CallRecord> callsById_;
    GateTicket lastTicket_;
    // Idle connections older than this may be closed by the server at any moment.
    Milliseconds maxReuseAge_;
    std::uint64_t answers_ = 0;
    std::uint64_t failures_ = 0;
    std::uint64_t timedAnswers_ = 0;
    std::uint64_t lateAnswers_ = 0;
    double relativeWorkSum_ = 0.0;
    TimePoint coldUntil_{};
    // Calls whose connection broke lately, in case the server turns out to be dead.
    std::vector<std::pair<SuspectedDeath, TimePoint>> brokenCalls_;
    Timer startTimer_;
    bool isProbing_ = false;
    bool isStopping_ = false;
};

} // namespace cornelhead::detail
