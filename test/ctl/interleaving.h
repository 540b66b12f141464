// Runs two threads, one platform operation at a time, in a pseudo-random order given by a seed.
#pragma once

#include <array>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

#include "cornelhead/base/random.h"

namespace cornelhead {

/// Lets one of two threads run at a time; each calls `scheduleNext` before every operation.
class Interleaving
{
public:
    explicit Interleaving(std::uint64_t seed) : random_(seed) { }

    void run(const std::function<void()> &first, const std::function<void()> &second)
    {
        const auto body = [this](std::size_t self, const std::function<void()> &work) {
            currentThread = self;
            waitForTurn();
            work();
            const std::lock_guard lock(mutex_);
            isDone_[self] = true;
            turn_ = 1 - self;
            turnChanged_.notify_all();
        };
        std::thread other(body, 1, second);
        body(0, first);
        other.join();
    }

    void scheduleNext()
    {
        {
            const std::lock_guard lock(mutex_);
            // Runs of one thread reach deep interleavings that an even choice misses.
            if (random_.chance(0.1))
                firstProbability_ = random_.unit();
            const std::size_t next = random_.chance(firstProbability_) ? 0 : 1;
            turn_ = isDone_[next] ? 1 - next : next;
            turnChanged_.notify_all();
        }
        waitForTurn();
    }

private:
    void waitForTurn()
    {
        std::unique_lock lock(mutex_);
        turnChanged_.wait(lock, [this] { return turn_ == currentThread; });
    }

    inline static thread_local std::size_t currentThread = 0;
    Random random_;
    // The probability that the first thread runs next.
    double firstProbability_ = random_.unit();
    std::mutex mutex_;
    std::condition_variable turnChanged_;
    std::array<bool, 2> isDone_{};
    std::size_t turn_ = 0;
};

} // namespace cornelhead
