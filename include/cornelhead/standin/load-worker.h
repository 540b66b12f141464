// One thread of the load tool: an open-loop generator that sends calls at a set rate, whether or
// not earlier calls have ended.
#pragma once

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <vector>

#include "cornelhead/base/address.h"
#include "cornelhead/net/http.h"
#include "cornelhead/standin/load-mix.h"
#include "cornelhead/standin/load-stats.h"

namespace cornelhead {

struct LoadSettings
{
    std::vector<CallKind> mix;
    /// Proxies that receive calls.
    std::vector<Address> nodes;
    /// Backend servers by service that receive calls directly, for comparison; with both nodes and
    /// direct servers, each call takes one of the two ways at random.
    std::map<ServiceId, std::vector<Address>> direct;
    /// Calls per second of this worker.
    double rate = 100;
    /// Maximum attempts after the first.
    std::uint32_t resends = 3;
    /// `Naive` also selects targets round-robin instead of at random.
    ResendPolicy policy = ResendPolicy::Careful;
    /// Of each attempt.
    Milliseconds deadline{2000};
    std::uint64_t seed = 1;
};

namespace detail {
class PreciseTimer;
}

/// Must be used only in the thread that runs `loop`.
class LoadWorker
{
public:
    LoadWorker(EventLoop &loop, LoadSettings settings);
    ~LoadWorker();
    LoadWorker(const LoadWorker &) = delete;
    LoadWorker &operator=(const LoadWorker &) = delete;

    void start();
    /// Stops sending new calls, and calls `done` once all calls have ended.
    void finish(std::function<void()> done);
    const LoadStats &stats() const { return stats_; }

private:
    struct Call;
    using CallIterator = std::list<Call>::iterator;

    void sendNewCall();
    void sendAttempt(CallIterator call);
    void onResponse(CallIterator call, const Result<HttpResponse> &response);
    void endCall(CallIterator call);
    void chooseTarget(Call &call);
    void chooseOtherTarget(Call &call);
    const std::vector<Address> &targetsOf(const Call &call) const;
    void scheduleNextArrival();

    EventLoop *loop_;
    LoadSettings settings_;
    HttpClient http_;
    Random random_;
    std::size_t nextTarget_ = 0;
    TimePoint startedAt_;
    TimePoint nextArrival_;
    std::unique_ptr<detail::PreciseTimer> arrivalTimer_;
    std::list<Call> calls_;
    LoadStats stats_;
    std::function<void()> done_;
};

} // namespace cornelhead
