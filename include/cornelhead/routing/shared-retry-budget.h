// A fleet-wide retry budget for each service: bounds repeated sends of calls over all nodes
// together.
//
// Load pattern: a server or link fails for a while and all nodes retry at once.  The bound holds
// for the sum over all nodes in any window, so each node may repeat only a fraction of its own
// first sends; a node without calls may repeat only a few.
#pragma once

#include <cstdint>
#include <deque>
#include <map>

#include "cornelhead/base/clock.h"
#include "cornelhead/base/ids.h"

namespace cornelhead {

/// Counts first and repeated sends of this node for each service.
class SharedRetryBudget
{
public:
    /// At most `ratio` repeated sends for each first send in any `window`, over the whole fleet;
    /// the node stays a margin below that.
    SharedRetryBudget(double ratio, Milliseconds window) : ratio_(ratio), window_(window) { }

    /// Records the first send of a call.
    void addFirstSend(const ServiceId &service, TimePoint now);
    /// Records a repeated send; false if the budget is exhausted.
    bool take(const ServiceId &service, TimePoint now);

private:
    struct Bucket
    {
        TimePoint startedAt{};
        std::uint32_t firstSends = 0;
        std::uint32_t repeatedSends = 0;
    };
    struct Window
    {
        // Oldest first; each covers `window_ / bucketsPerWindow`.
        std::deque<Bucket> buckets;
    };

    static constexpr int bucketsPerWindow = 20;
    /// The fraction of the bound that a node uses.  Nested calls of a repeated call also count as
    /// repeated at their servers, where this node does not see them.
    static constexpr double margin = 0.5;
    /// Repeated sends in a window that need no first sends; few enough that hundreds of nodes stay
    /// within the slack of the bound.
    static constexpr std::uint32_t freeRepeats = 1;

    Bucket &currentBucket(const ServiceId &service, TimePoint now);

    double ratio_;
    Milliseconds window_;
    std::map<ServiceId, Window> services_;
};

} // namespace cornelhead
