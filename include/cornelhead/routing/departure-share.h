// Decides which share of a service's calls leaves this data centre, and for which other one.
//
// Load pattern: a data centre has fewer servers than its callers need, while others have room.  A
// comparison of three hosts, with loads that are seconds old, sends too few calls away: most
// reports come from the busy hosts at home, and unknown hosts elsewhere are taken for as busy.  So
// each node compares the smoothed cost of a call at home with that elsewhere, and moves a share of
// its calls in small steps, as all nodes of the data centre do the same on the same old reports.
// The share is kept by size of call, so that small responses leave before large bodies do.
#pragma once

#include <array>
#include <cstddef>
#include <map>
#include <optional>

#include "cornelhead/base/clock.h"
#include "cornelhead/base/ids.h"
#include "cornelhead/base/random.h"
#include "cornelhead/routing/data-centre-reach.h"

namespace cornelhead {

/// The load of servers.  Costs are fractions of the value of a call.
struct LoadSample
{
    /// Calls at the servers, for each of their slots.
    double load = 0.0;
    /// The cost of one more call's time and failures.
    double cost = 0.0;
    /// The same if the servers were idle.
    double idleCost = 0.0;
};

/// The share of one service's calls that leaves the data centre, as one node sees it.
class DepartureShare
{
public:
    /// Shares change by at most this much in each step, except when they fall as the others have no
    /// room.
    static constexpr double maxStep = 0.02;
    static constexpr Milliseconds stepInterval{100};

    /// What is known of the servers in one data centre, summed over its hosts.
    struct Known
    {
        /// All slots, whether or not there is a report.
        double slots = 0.0;
        /// The slots of the hosts, each weighted by the freshness of its report.
        double weight = 0.0;
        /// Weighted by `weight`.
        LoadSample sum;

        void add(const LoadSample &sample, double hostSlots, double freshness);
    };

    /// Returns whether `observe` is to be called.
    bool isDue(TimePoint now) const { return now - observedAt_ >= stepInterval; }
    void observe(const std::map<DataCentreId, Known> &known, TimePoint now);
    /// Returns the share of calls of `bytes` that leave `home`.  `departureCost` is the cost of
    /// distance and bytes; data centres that cannot be reached get none.
    double share(const DataCentreId &home, double bytes, double departureCost,
                 const DataCentreReach &reach, TimePoint now);
    /// Returns the largest share of all sizes, without a step.
    double largest() const;
    /// Draws a data centre other than `home` in proportion to its room.
    std::optional<DataCentreId> draw(const DataCentreId &home, const DataCentreReach &reach,
                                     TimePoint now, Random &random) const;

private:
    static constexpr std::size_t sizeClasses = 6;

    /// Smoothed over time; that of a data centre without reports is that of an idle one.
    struct Estimate
    {
        double slots = 0.0;
        double load = 0.0;
        double cost = 0.0;
    };
    /// The share of the calls of one size.
    struct Share
    {
        double value = 0.0;
        TimePoint steppedAt{};
        /// When the costs began to call for a larger share.
        std::optional<TimePoint> paysSince;
    };

    static std::size_t sizeClassOf(double bytes);
    static void step(Share &share, const Estimate &home, const Estimate &away, double departureCost,
                     TimePoint now);
    /// Returns the slots that are free, or a little if none is.
    static double roomOf(const Estimate &estimate);
    /// Returns the mean of the other data centres that can be reached, by their room.
    std::optional<Estimate> away(const DataCentreId &home, const DataCentreReach &reach,
                                 TimePoint now) const;

    std::map<DataCentreId, Estimate> estimates_;
    TimePoint observedAt_{};
    std::array<Share, sizeClasses> shares_;
};

} // namespace cornelhead
