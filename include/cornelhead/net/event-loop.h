// The event loop that each task runs on, and the mailbox by which tasks talk.
#pragma once

#include <functional>
#include <memory>
#include <mutex>
#include <vector>

#include "cornelhead/base/clock.h"

struct event;
struct event_base;

namespace cornelhead {

namespace detail {
struct EventBaseDeleter
{
    void operator()(event_base *base) const;
};
struct EventDeleter
{
    void operator()(event *handle) const;
};
struct TimerState;
} // namespace detail

/// Runs a callback on an event loop until it is destroyed.
class [[nodiscard]] Timer
{
public:
    Timer();
    ~Timer();
    Timer(Timer &&) noexcept;
    Timer &operator=(Timer &&) noexcept;

private:
    friend class EventLoop;
    explicit Timer(std::unique_ptr<detail::TimerState> state);

    std::unique_ptr<detail::TimerState> state_;
};

/// Runs callbacks of sockets, timers and other threads, one at a time, in the thread that calls
/// `run`.  Everything but `post` and `stop` belongs to that thread.
///
///     EventLoop loop;
///     Timer tick = loop.every(Milliseconds(100), [] { report(); });
///     loop.run();
class EventLoop
{
public:
    EventLoop();
    ~EventLoop();
    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;

    /// Serves until `stop` is called.
    void run();
    /// Serves for about `duration`; for tests and tools.
    void runFor(Milliseconds duration);
    /// Ends `run` after the current callback; safe from any thread.
    void stop();
    /// Queues `work` to be run by the loop; safe from any thread.
    void post(std::function<void()> work);

    /// Runs `work` once after `delay`, unless the timer is destroyed first.
    Timer after(Milliseconds delay, std::function<void()> work);
    /// Runs `work` at every `period` until the timer is destroyed.
    Timer every(Milliseconds period, std::function<void()> work);
    /// Runs `work` when the process gets `signal`.
    void onSignal(int signal, std::function<void()> work);

    event_base *base() const { return base_.get(); }

private:
    struct Signal;

    void runPosted();

    std::unique_ptr<event_base, detail::EventBaseDeleter> base_;
    std::unique_ptr<event, detail::EventDeleter> wake_;
    std::vector<std::unique_ptr<Signal>> signals_;
    std::mutex mutex_;
    // Guarded by mutex_; the loop takes all of it at once.
    std::vector<std::function<void()>> posted_;
};

/// Delivers typed messages to a handler on the receiver's loop.
///
///     Mailbox<ProxyMessage> mailbox(loop, [&](ProxyMessage message) { handle(message); });
///     mailbox.send(NewView{view}); // from any thread
template <typename Message>
class Mailbox
{
public:
    Mailbox(EventLoop &loop, std::function<void(Message)> handler)
        : loop_(&loop), handler_(std::make_shared<std::function<void(Message)>>(std::move(handler)))
    { }

    void send(Message message)
    {
        loop_->post([handler = handler_, message = std::move(message)]() mutable {
            (*handler)(std::move(message));
        });
    }

private:
    EventLoop *loop_;
    std::shared_ptr<std::function<void(Message)>> handler_;
};

} // namespace cornelhead
