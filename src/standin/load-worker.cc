// Sends calls open-loop and tracks each to its final outcome.
#include "cornelhead/standin/load-worker.h"

#include <cmath>

#include <sys/timerfd.h>
#include <unistd.h>

#include <event2/event.h>

namespace cornelhead {
namespace detail {

/// Time beyond the deadline after which the client stops waiting for a response.
constexpr Milliseconds responseGracePeriod(1000);
/// Doubles with each resend.
constexpr Milliseconds initialResendDelay(20);

/// A timer with microsecond precision, which the event loop's timers lack.
class PreciseTimer
{
public:
    PreciseTimer(EventLoop &loop, std::function<void()> callback)
        : callback_(std::move(callback)), timer_(::timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK))
    {
        const auto fire = [](evutil_socket_t, short, void *arg) {
            static_cast<PreciseTimer *>(arg)->fire();
        };
        event_.reset(event_new(loop.base(), timer_, EV_READ | EV_PERSIST, fire, this));
        event_add(event_.get(), nullptr);
    }

    ~PreciseTimer()
    {
        event_.reset();
        ::close(timer_);
    }

    PreciseTimer(const PreciseTimer &) = delete;
    PreciseTimer &operator=(const PreciseTimer &) = delete;

    void wakeAt(TimePoint time)
    {
        const auto us = std::max<std::int64_t>(time.time_since_epoch().count(), 1);
        itimerspec spec{};
        spec.it_value = timespec{us / 1'000'000, (us % 1'000'000) * 1000};
        ::timerfd_settime(timer_, TFD_TIMER_ABSTIME, &spec, nullptr);
    }

private:
    void fire()
    {
        std::uint64_t expirations = 0;
        if (::read(timer_, &expirations, sizeof expirations) > 0)
            callback_();
    }

    std::function<void()> callback_;
    int timer_;
    std::unique_ptr<event, EventDeleter> event_;
};

} // namespace detail

struct LoadWorker::Call
{
    const CallKind *kind = nullptr;
    ExpectedResponse expected;
    CallTracker tracker;
    TimePoint sentAt;
    bool isDirect = false;
    std::size_t target = 0;
    std::uint32_t attempts = 0;
    Timer resendTimer;
};

LoadWorker::LoadWorker(EventLoop &loop, LoadSettings settings)
    : loop_(&loop), settings_(std::move(settings)), http_(loop), random_(settings_.seed)
{ }

LoadWorker::~LoadWorker() = default;

void LoadWorker::start()
{
    startedAt_ = nextArrival_ = now(SteadyClock());
    arrivalTimer_ = std::make_unique<detail::PreciseTimer>(*loop_, [this] {
        while (nextArrival_ <= now(SteadyClock())) {
            sendNewCall();
            scheduleNextArrival();
        }
        arrivalTimer_->wakeAt(nextArrival_);
    });
    scheduleNextArrival();
    arrivalTimer_->wakeAt(nextArrival_);
}

void LoadWorker::scheduleNextArrival()
{
    // Exponential intervals produce Poisson arrivals.
    const double intervalSeconds = -std::log(1.0 - random_.unit()) / settings_.rate;
    nextArrival_ += Microseconds(std::llround(intervalSeconds * 1e6));
}

void LoadWorker::finish(std::function<void()> done)
{
    done_ = std::move(done);
    arrivalTimer_.reset();
    if (calls_.empty())
        loop_->post(std::exchange(done_, nullptr));
}

void LoadWorker::sendNewCall()
{
    const CallKind &kind = drawKind(settings_.mix, random_);
    const std::string id = std::to_string(random_.engine()());
    std::string key = kind.isKeyed() ? makeIdempotencyKey(wallClockMs(), random_) : "";
    calls_.push_front(Call{&kind,
                           ExpectedResponse{kind.service.value(), kind.path, kind.customer.value(),
                                            std::move(key), id, kind.responseBytes},
                           CallTracker(kind.isKeyed(), settings_.resends, settings_.policy),
                           now(SteadyClock()), false, 0, 0, Timer()});
    chooseTarget(calls_.front());
    stats_.countSent();
    sendAttempt(calls_.begin());
}

void LoadWorker::chooseTarget(Call &call)
{
    const bool hasDirectTarget = settings_.direct.contains(call.kind->service);
    call.isDirect = settings_.nodes.empty() || (hasDirectTarget && random_.chance(0.5));
    call.target = settings_.policy == ResendPolicy::Naive ? nextTarget_++
                                                          : random_.below(targetsOf(call).size());
}

void LoadWorker::chooseOtherTarget(Call &call)
{
    const std::size_t count = targetsOf(call).size();
    if (count > 1)
        call.target += 1 + random_.below(count - 1);
}

const std::vector<Address> &LoadWorker::targetsOf(const Call &call) const
{
    return call.isDirect ? settings_.direct.at(call.kind->service) : settings_.nodes;
}

void LoadWorker::sendAttempt(CallIterator call)
{
    const CallKind &kind = *call->kind;
    const std::vector<Address> &targets = targetsOf(*call);
    HttpRequest request{kind.method, call->isDirect ? "" : "/", {}, {}, {}};
    if (!call->isDirect)
        request.path += kind.service.value();
    request.path += kind.path;
    request.headers["Cornelhead-Customer"] = kind.customer.value();
    request.headers["Cornelhead-Deadline-Ms"] = std::to_string(settings_.deadline.count());
    request.headers[requestIdHeader] = call->expected.requestId;
    if (kind.isKeyed())
        request.headers["Idempotency-Key"] = call->expected.idempotencyKey;
    if (kind.responseBytes > 0)
        request.headers[responseBytesHeader] = std::to_string(kind.responseBytes);
    if (!kind.chain.empty())
        request.headers[callChainHeader] = kind.chain;
    if (kind.isPoisoned)
        request.headers.emplace(poisonHeader, "1");
    http_.send(targets[call->target % targets.size()], request,
               settings_.deadline + detail::responseGracePeriod,
               [this, call](const Result<HttpResponse> &response) { onResponse(call, response); });
}

void LoadWorker::onResponse(CallIterator call, const Result<HttpResponse> &response)
{
    const AttemptResult result = classifyAttempt(call->expected, response);
    if (result == AttemptResult::NotRun || result == AttemptResult::Unknown) {
        const auto reason = response->headers.find("Cornelhead-Reason");
        stats_.countRefusalReason(reason == response->headers.end() ? "none" : reason->second);
    }
    if (result == AttemptResult::Broken)
        stats_.countBroken();
    if (!call->tracker.recordResult(result)) {
        endCall(call);
        return;
    }
    stats_.countResent();
    if (settings_.policy == ResendPolicy::Naive) {
        ++call->target;
        sendAttempt(call);
        return;
    }
    chooseOtherTarget(*call);
    const Milliseconds delay = detail::initialResendDelay * (1U << std::min(call->attempts++, 6U));
    call->resendTimer
            = loop_->after(delay + random_.jitter(delay), [this, call] { sendAttempt(call); });
}

void LoadWorker::endCall(CallIterator call)
{
    const TimePoint time = now(SteadyClock());
    const auto second = std::chrono::duration_cast<std::chrono::seconds>(time - startedAt_);
    stats_.recordCall(FinishedCall{call->expected.idempotencyKey, call->tracker.outcome(),
                                   call->tracker.isFailed(), call->tracker.earlierMayHaveRun(),
                                   time - call->sentAt, call->isDirect,
                                   static_cast<std::uint32_t>(second.count())});
    calls_.erase(call);
    if (done_ && calls_.empty())
        std::exchange(done_, nullptr)();
}

} // namespace cornelhead
