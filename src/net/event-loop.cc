// Implements the event loop with libevent.
#include "cornelhead/net/event-loop.h"

#include <csignal>

#include <event2/event.h>
#include <event2/thread.h>

namespace cornelhead {
namespace detail {

void EventBaseDeleter::operator()(event_base *base) const
{
    event_base_free(base);
}

void EventDeleter::operator()(event *handle) const
{
    event_free(handle);
}

using EventHandle = std::unique_ptr<event, EventDeleter>;

struct TimerState
{
    EventHandle handle;
    std::function<void()> work;
};

timeval toTimeval(Milliseconds duration)
{
    const auto ms = duration.count();
    return timeval{static_cast<time_t>(ms / 1000), static_cast<suseconds_t>((ms % 1000) * 1000)};
}

event_base *newBase()
{
    static const int threads = evthread_use_pthreads();
    static const auto pipe = std::signal(SIGPIPE, SIG_IGN);
    (void)threads;
    (void)pipe;
    return event_base_new();
}

void startTimer(event_base *base, Milliseconds delay, short flags, TimerState &state)
{
    const auto fire = [](evutil_socket_t, short, void *arg) {
        // The callback may destroy the timer that owns it, so a copy is run.
        const auto work = static_cast<TimerState *>(arg)->work;
        work();
    };
    state.handle.reset(event_new(base, -1, flags, fire, &state));
    const timeval wait = toTimeval(delay);
    event_add(state.handle.get(), &wait);
}

} // namespace detail

Timer::Timer() = default;
Timer::~Timer() = default;
Timer::Timer(Timer &&) noexcept = default;
Timer &Timer::operator=(Timer &&) noexcept = default;
Timer::Timer(std::unique_ptr<detail::TimerState> state) : state_(std::move(state)) { }

struct EventLoop::Signal
{
    detail::EventHandle handle;
    std::function<void()> work;
};

EventLoop::EventLoop() : base_(detail::newBase())
{
    const auto wake
            = [](evutil_socket_t, short, void *arg) { static_cast<EventLoop *>(arg)->runPosted(); };
    wake_.reset(event_new(base_.get(), -1, EV_PERSIST, wake, this));
    event_add(wake_.get(), nullptr);
}

EventLoop::~EventLoop() = default;

void EventLoop::run()
{
    event_base_loop(base_.get(), EVLOOP_NO_EXIT_ON_EMPTY);
}

void EventLoop::runFor(Milliseconds duration)
{
    const timeval wait = detail::toTimeval(duration);
    event_base_loopexit(base_.get(), &wait);
    run();
}

void EventLoop::stop()
{
    post([this] { event_base_loopbreak(base_.get()); });
}

void EventLoop::post(std::function<void()> work)
{
    bool wasEmpty = false;
    {
        const std::lock_guard lock(mutex_);
        wasEmpty = posted_.empty();
        posted_.push_back(std::move(work));
    }
    if (wasEmpty)
        event_active(wake_.get(), EV_TIMEOUT, 0);
}

void EventLoop::runPosted()
{
    std::vector<std::function<void()>> batch;
    {
        const std::lock_guard lock(mutex_);
        batch.swap(posted_);
    }
    for (const auto &work : batch)
        work();
}

Timer EventLoop::after(Milliseconds delay, std::function<void()> work)
{
    auto state = std::make_unique<detail::TimerState>();
    state->work = std::move(work);
    detail::startTimer(base_.get(), delay, 0, *state);
    return Timer(std::move(state));
}

Timer EventLoop::every(Milliseconds period, std::function<void()> work)
{
    auto state = std::make_unique<detail::TimerState>();
    state->work = std::move(work);
    detail::startTimer(base_.get(), period, EV_PERSIST, *state);
    return Timer(std::move(state));
}

void EventLoop::onSignal(int signal, std::function<void()> work)
{
    auto registration = std::make_unique<Signal>();
    registration->work = std::move(work);
    const auto fire = [](evutil_socket_t, short, void *arg) { static_cast<Signal *>(arg)->work(); };
    registration->handle.reset(
            event_new(base_.get(), signal, EV_SIGNAL | EV_PERSIST, fire, registration.get()));
    event_add(registration->handle.get(), nullptr);
    signals_.push_back(std::move(registration));
}

} // namespace cornelhead
