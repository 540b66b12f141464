// One thread of the load tool: sends calls at its own pace, whatever becomes of earlier ones.
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
    /// Proxies that take calls.
    std::vector<Address> nodes;
    /// Backend servers by service that take calls directly, for comparison; each call goes one of
    /// both ways at random when there are both.
    std::map<ServiceId, std::vector<Address>> direct;
    /// Calls a second of this worker.
    double rate = 100;
    /// Attempts after the first, at another node where there is one.
    std::uint32_t resends = 3;
    /// A naive caller also takes its targets in turn.
    ResendPolicy policy = ResendPolicy::Careful;
    Milliseconds deadline{2000};
    std::uint64_t seed = 1;
};

namespace detail {
class PreciseTimer;
}

/// Belongs to the thread that runs `loop`.
class LoadWorker
{
public:
    LoadWorker(EventLoop &loop, LoadSettings settings);
    ~LoadWorker();
    LoadWorker(const LoadWorker &) = delete;
    LoadWorker &operator=(const LoadWorker &) = delete;

    void start();
    /// Sends no further calls and calls `done` once all have ended.
    void finish(std::function<void()> done);
    const LoadStats &stats() const { return stats_; }

private:
    struct Call;
    using CallHandle = std::list<Call>::iterator;

    void sendNewCall();
    void sendAttempt(CallHandle call);
    void takeResult(CallHandle call, const Result<HttpResponse> &response);
    void end(CallHandle call);
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
