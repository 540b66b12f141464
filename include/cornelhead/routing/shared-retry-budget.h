// Bounds what a service gets beyond the first arrival of each call, over all nodes together.
//
// Load pattern: a server or link fails for a while and every node wants to send calls again.  The
// bound holds for the sum over all nodes in any window, so each node spends no more than a part of
// what it sent first itself; a node without calls has no claim on more than a few.
#pragma once

#include <cstdint>
#include <deque>
#include <map>

#include "cornelhead/base/clock.h"
#include "cornelhead/base/ids.h"

namespace cornelhead {

/// Counts first and repeated sends of one node, for each service.
class SharedRetryBudget
{
public:
    /// `ratio` and `window` are the fleet's bound; a margin is kept below it.
    SharedRetryBudget(double ratio, Milliseconds window) : ratio_(ratio), window_(window) { }

    void addFirstSend(const ServiceId &service, TimePoint now);
    /// Takes one repeated send; false when the budget is spent.
    bool take(const ServiceId &service, TimePoint now);

private:
    struct Bucket
    {
        TimePoint begin{};
        std::uint32_t firsts = 0;
        std::uint32_t repeats = 0;
    };
    struct Window
    {
        // Oldest first; each covers `window_ / bucketsPerWindow`.
        std::deque<Bucket> buckets;
    };

    static constexpr int bucketsPerWindow = 20;
    /// Kept below the fleet's bound, as the calls that a repeated call makes count as repeats where
    /// they arrive, where this node does not see them.
    static constexpr double margin = 0.5;
    /// Repeats in a window that need no first sends; few enough that hundreds of nodes stay within
    /// the bound's own slack.
    static constexpr std::uint32_t freeRepeats = 1;

    Bucket &bucketAt(const ServiceId &service, TimePoint now);

    double ratio_;
    Milliseconds window_;
    std::map<ServiceId, Window> services_;
};

} // namespace cornelhead
