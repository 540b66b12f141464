// Decides which requests of one connection may run at the same time.
//
// Load pattern: callers that send requests ahead on few connections, each of which would otherwise
// wait for the slowest one before it.
#pragma once

#include <cstddef>

namespace cornelhead::detail {

/// How a request may run beside others of its connection, by its method.
enum class RequestKind {
    Safe, ///< GET or HEAD: beside other safe ones.
    Exclusive, ///< Any other method: after those before it, and before those behind it.
};

/// Counts the requests of one connection that are running.  Requests start in the order in which
/// they were received.
///
/// Invariant: a request of kind `Exclusive` runs alone.
class RequestOrder
{
public:
    /// Returns whether the next request, of this kind, may start.
    bool mayStart(RequestKind kind) const
    {
        return running_ == 0 || (kind == RequestKind::Safe && !isExclusive_);
    }
    /// Returns whether a request that starts now runs beside others.
    bool isRunning() const { return running_ > 0; }
    void start(RequestKind kind)
    {
        ++running_;
        isExclusive_ = kind == RequestKind::Exclusive;
    }
    void end() { --running_; }

private:
    std::size_t running_ = 0;
    // The kind of all that are running, as they agree.
    bool isExclusive_ = false;
};

} // namespace cornelhead::detail
