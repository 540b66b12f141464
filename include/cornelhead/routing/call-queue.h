// A bounded priority queue of calls that wait for a backend server.
#pragma once

#include <array>
#include <cstddef>
#include <list>
#include <optional>
#include <vector>

#include "cornelhead/base/clock.h"
#include "cornelhead/config/declarations.h"

namespace cornelhead {

/// Orders calls by priority, then by arrival.
///
/// A full queue drops the newest call of the lowest priority.  A call expires when `startBy` has
/// passed.  `T` identifies a call.
template <typename T>
class CallQueue
{
public:
    struct QueuedCall
    {
        T call;
        CallPriority priority = CallPriority::Normal;
        /// The latest useful start.
        TimePoint startBy{};
    };

    explicit CallQueue(std::size_t capacity) : capacity_(capacity) { }

    /// Adds a call.  Returns the call that a full queue drops, which may be the new one.
    std::optional<T> push(QueuedCall waiting)
    {
        callsOf(waiting.priority).push_back(std::move(waiting));
        if (++size_ <= capacity_)
            return std::nullopt;
        return removeNewestOfLowest();
    }

    /// Removes and returns the next call that has not expired.  Expired calls before it are removed
    /// and appended to `expired`.
    std::optional<QueuedCall> pop(TimePoint now, std::vector<T> &expired)
    {
        for (std::list<QueuedCall> &waiting : callsByPriority_) {
            while (!waiting.empty()) {
                QueuedCall first = std::move(waiting.front());
                waiting.pop_front();
                --size_;
                if (first.startBy >= now)
                    return first;
                expired.push_back(std::move(first.call));
            }
        }
        return std::nullopt;
    }

    /// Returns a call from `pop` to the front of its priority.
    void pushFront(QueuedCall waiting)
    {
        callsOf(waiting.priority).push_front(std::move(waiting));
        ++size_;
    }

    /// Removes a call that ended while it was waiting.
    void remove(const T &call)
    {
        for (std::list<QueuedCall> &waiting : callsByPriority_) {
            size_ -= std::erase_if(waiting,
                                   [&](const QueuedCall &entry) { return entry.call == call; });
        }
    }

    /// Removes and returns all expired calls.
    std::vector<T> removeExpired(TimePoint now)
    {
        std::vector<T> expired;
        for (std::list<QueuedCall> &waiting : callsByPriority_) {
            size_ -= std::erase_if(waiting, [&](const QueuedCall &entry) {
                if (entry.startBy >= now)
                    return false;
                expired.push_back(entry.call);
                return true;
            });
        }
        return expired;
    }

    std::size_t size() const { return size_; }
    bool empty() const { return size_ == 0; }

private:
    static constexpr std::size_t priorityCount = static_cast<std::size_t>(CallPriority::Low) + 1;

    std::list<QueuedCall> &callsOf(CallPriority priority)
    {
        return callsByPriority_[static_cast<std::size_t>(priority)];
    }

    T removeNewestOfLowest()
    {
        for (auto waiting = callsByPriority_.rbegin(); waiting != callsByPriority_.rend();
             ++waiting) {
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
    // Invariant: the number of calls of all priorities, at most capacity_.
    std::size_t size_ = 0;
    std::array<std::list<QueuedCall>, priorityCount> callsByPriority_;
};

} // namespace cornelhead
