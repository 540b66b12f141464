// The bounded queue of calls that wait for a server, by priority and deadline.
#pragma once

#include <array>
#include <cstddef>
#include <list>
#include <optional>
#include <vector>

#include "cornelhead/base/clock.h"
#include "cornelhead/config/declarations.h"

namespace cornelhead {

/// Orders waiting calls: higher classes first, and the oldest of a class first.
///
/// When it is full, the newest call of the lowest class leaves; calls that can no longer start in
/// time leave as well.  `T` names a call.
template <typename T>
class CallQueue
{
public:
    struct WaitingCall
    {
        T call;
        CallPriority priority = CallPriority::Normal;
        /// The call is hopeless after it.
        TimePoint startBy{};
    };

    explicit CallQueue(std::size_t capacity) : capacity_(capacity) { }

    /// Adds a call; returns the one that has to leave for it, which may be the call itself.
    std::optional<T> push(WaitingCall waiting)
    {
        classOf(waiting.priority).push_back(std::move(waiting));
        if (++size_ <= capacity_)
            return std::nullopt;
        return takeNewestOfLowest();
    }

    /// Takes the call to start next; hopeless ones on the way are added to `hopeless`.
    std::optional<WaitingCall> pop(TimePoint now, std::vector<T> &hopeless)
    {
        for (std::list<WaitingCall> &waiting : classes_) {
            while (!waiting.empty()) {
                WaitingCall first = std::move(waiting.front());
                waiting.pop_front();
                --size_;
                if (first.startBy >= now)
                    return first;
                hopeless.push_back(std::move(first.call));
            }
        }
        return std::nullopt;
    }

    /// Puts back what `pop` gave, at the head of its class.
    void pushFront(WaitingCall waiting)
    {
        classOf(waiting.priority).push_front(std::move(waiting));
        ++size_;
    }

    /// Removes a call that ended while it waited.
    void remove(const T &call)
    {
        for (std::list<WaitingCall> &waiting : classes_) {
            size_ -= std::erase_if(waiting,
                                   [&](const WaitingCall &entry) { return entry.call == call; });
        }
    }

    /// Removes and returns the calls that can no longer start in time.
    std::vector<T> takeHopeless(TimePoint now)
    {
        std::vector<T> hopeless;
        for (std::list<WaitingCall> &waiting : classes_) {
            size_ -= std::erase_if(waiting, [&](const WaitingCall &entry) {
                if (entry.startBy >= now)
                    return false;
                hopeless.push_back(entry.call);
                return true;
            });
        }
        return hopeless;
    }

    std::size_t size() const { return size_; }
    bool empty() const { return size_ == 0; }

private:
    static constexpr std::size_t classCount = static_cast<std::size_t>(CallPriority::Low) + 1;

    std::list<WaitingCall> &classOf(CallPriority priority)
    {
        return classes_[static_cast<std::size_t>(priority)];
    }

    T takeNewestOfLowest()
    {
        for (auto waiting = classes_.rbegin(); waiting != classes_.rend(); ++waiting) {
            if (waiting->empty())
                continue;
            T call = std::move(waiting->back().call);
            waiting->pop_back();
            --size_;
            return call;
        }
        return T{};
    }

    const std::size_t capacity_;
    // Invariant: size_ is the sum of the sizes of all classes and at most capacity_.
    std::size_t size_ = 0;
    std::array<std::list<WaitingCall>, classCount> classes_;
};

} // namespace cornelhead
