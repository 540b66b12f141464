// The event loop of a thread, and mailboxes that pass messages between loops.
#pragma once

#include <functional>
#include <memory>
#include <mutex>
#include <vector>

#include "cornelhead/base/clock.h"
#include "cornelhead/net/buffer-budget.h"

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

/// Owns a scheduled callback; destroying the timer cancels it.  Must not outlive the loop.
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

/// Runs callbacks of sockets, timers and `post`, one at a time, in the thread that calls `run`.
/// Only `post` and `stop` may be called from other threads.
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

    /// Runs until `stop` is called.
    void run();
    /// Runs for about `duration`; for tests and tools.
    void runFor(Milliseconds duration);
    /// Makes `run` return once the callbacks posted so far have run; thread-safe.
    void stop();
    /// Queues `work` to be run by the loop; thread-safe.
    void post(std::function<void()> work);

    /// Runs `work` once after `delay`, unless the timer is destroyed first.
    Timer after(Milliseconds delay, std::function<void()> work);
    /// Runs `work` every `period` until the timer is destroyed.
    Timer every(Milliseconds period, std::function<void()> work);
    /// Runs `work` when the process receives `signal`.
    void onSignal(int signal, std::function<void()> work);

    event_base *base() const { return base_.get(); }
    /// What the connections of this loop hold; used only on the loop's thread.
    BufferBudget &buffers() { return buffers_; }

private:
    struct Signal;

    void runPosted();

    std::unique_ptr<event_base, detail::EventBaseDeleter> base_;
    BufferBudget buffers_;
    std::unique_ptr<event, detail::EventDeleter> wake_;
    std::vector<std::unique_ptr<Signal>> signals_;
    std::mutex mutex_;
    // Guarded by mutex_.  The loop swaps out the whole vector and runs it without the lock.
    std::vector<std::function<void()>> posted_;
};

/// Delivers messages to a handler on the receiver's loop; `send` is thread-safe.
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
