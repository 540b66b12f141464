// Counters of one server's calls, by which versions of a service are compared.
#pragma once

#include <cstdint>

namespace cornelhead {

/// Totals since the start of the node beside the server, which reports them.
struct ServerCounters
{
    std::uint64_t answers = 0;
    std::uint64_t failures = 0;
    /// Calls sent to a warm server that were answered, or that ended in another way after their
    /// objective had passed.
    std::uint64_t timed = 0;
    /// Timed calls that took the server longer than the objective of their route.
    std::uint64_t late = 0;
    /// Time spent on timed calls and on those cut off, each divided by the objective of its route.
    double relativeWork = 0.0;
    /// Answers left out of `timed`, as the server was warming up.
    std::uint64_t cold = 0;
    /// Calls that ran and ended without an answer, at their deadline or because the caller left.
    std::uint64_t cutOff = 0;
    /// Calls refused for lack of room, by the server or by the node beside it.
    std::uint64_t refused = 0;

    /// Returns the number of calls that the server has run.
    std::uint64_t calls() const { return answers + cutOff; }
};

} // namespace cornelhead
