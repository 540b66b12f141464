// Implements the share of calls that leaves a data centre.
#include "cornelhead/routing/departure-share.h"

#include <algorithm>
#include <cmath>

namespace cornelhead {
namespace detail {

// Loads are smoothed over about this time.
constexpr double smoothingHalfLifeUs = 500'000.0;
// What is assumed of a data centre counts as much as reports on this part of its slots, so that one
// without reports is tried again.
constexpr double assumedWeight = 0.1;
constexpr double assumedLoad = 0.5;
constexpr double maxCost = 2.0;
// Below this load the servers at home have room.
constexpr double shortLoad = 0.85;
// Above this load the servers elsewhere have no room.
constexpr double fullLoad = 1.0;
// A data centre that is hardly fuller than the others gains nothing: they would leave as well.
constexpr double minLoadDifference = 0.05;
// The share rises only while leaving saves more than this, and falls while it saves less than
// nothing.
constexpr double minGain = 0.05;
constexpr Milliseconds minPayingTime(500);
constexpr double stepPerGain = 0.1;
// The share is multiplied by this in each step while the others have no room.
constexpr double fallWithoutRoom = 0.7;
constexpr double minShare = 0.005;
constexpr double maxShare = 0.9;
// Without calls for so long, nothing is known.
constexpr Milliseconds maxPause(5000);
constexpr double minRoom = 0.02;
constexpr double smallestClassBytes = 1024.0;

} // namespace detail

void DepartureShare::Known::add(const LoadSample &sample, double hostSlots, double freshness)
{
    const double hostWeight = hostSlots * freshness;
    slots += hostSlots;
    weight += hostWeight;
    sum.load += hostWeight * sample.load;
    sum.cost += hostWeight * std::min(sample.cost, detail::maxCost);
    sum.idleCost += hostWeight * sample.idleCost;
}

void DepartureShare::observe(const std::map<DataCentreId, Known> &known, TimePoint now)
{
    double weight = 0.0;
    double idleCost = 0.0;
    for (const auto &[dataCentre, servers] : known) {
        weight += servers.weight;
        idleCost += servers.sum.idleCost;
    }
    idleCost = weight > 0.0 ? idleCost / weight : 0.0;
    const auto age = static_cast<double>((now - observedAt_).count());
    const double latestWeight = 1.0 - std::exp2(-age / detail::smoothingHalfLifeUs);
    observedAt_ = now;
    std::erase_if(estimates_,
                  [&known](const auto &estimate) { return !known.contains(estimate.first); });
    for (const auto &[dataCentre, servers] : known) {
        const double assumed = detail::assumedWeight * servers.slots;
        const double all = servers.weight + assumed;
        const double load = (servers.sum.load + assumed * detail::assumedLoad) / all;
        const double cost = (servers.sum.cost + assumed * idleCost) / all;
        const auto [found, isNew] = estimates_.try_emplace(dataCentre);
        Estimate &estimate = found->second;
        const double part = isNew ? 1.0 : latestWeight;
        estimate.slots = servers.slots;
        estimate.load += part * (load - estimate.load);
        estimate.cost += part * (cost - estimate.cost);
    }
}

std::size_t DepartureShare::sizeClassOf(double bytes)
{
    std::size_t sizeClass = 0;
    for (double limit = detail::smallestClassBytes; bytes >= limit && sizeClass + 1 < sizeClasses;
         limit *= 4.0)
        ++sizeClass;
    return sizeClass;
}

double DepartureShare::roomOf(const Estimate &estimate)
{
    return estimate.slots * std::max(detail::minRoom, 1.0 - estimate.load);
}

std::optional<DepartureShare::Estimate>
DepartureShare::away(const DataCentreId &home, const DataCentreReach &reach, TimePoint now) const
{
    Estimate mean;
    double room = 0.0;
    for (const auto &[dataCentre, estimate] : estimates_) {
        if (dataCentre == home || !reach.isOpen(dataCentre, now))
            continue;
        mean.cost += roomOf(estimate) * estimate.cost;
        mean.load += roomOf(estimate) * estimate.load;
        mean.slots += estimate.slots;
        room += roomOf(estimate);
    }
    if (room <= 0.0)
        return std::nullopt;
    mean.cost /= room;
    mean.load /= room;
    return mean;
}

void DepartureShare::step(Share &share, const Estimate &home, const Estimate &away,
                          double departureCost, TimePoint now)
{
    const double gain = home.cost - away.cost - departureCost;
    const bool pays = gain > detail::minGain && home.load >= detail::shortLoad
            && home.load >= away.load + detail::minLoadDifference;
    if (!pays)
        share.paysSince.reset();
    else if (!share.paysSince)
        share.paysSince = now;
    if (pays) {
        if (now - *share.paysSince >= detail::minPayingTime)
            share.value += std::min(maxStep, detail::stepPerGain * gain);
    } else if (away.cost >= home.cost || away.load >= std::min(home.load, detail::fullLoad)) {
        share.value *= detail::fallWithoutRoom;
    } else if (gain < 0.0 || home.load < detail::shortLoad) {
        share.value -= std::min(maxStep, detail::stepPerGain * std::max(-gain, detail::minGain));
    }
    share.value = share.value < detail::minShare ? 0.0 : std::min(share.value, detail::maxShare);
}

double DepartureShare::share(const DataCentreId &home, double bytes, double departureCost,
                             const DataCentreReach &reach, TimePoint now)
{
    Share &share = shares_[sizeClassOf(bytes)];
    if (now - share.steppedAt < stepInterval)
        return share.value;
    const std::optional<Estimate> others = away(home, reach, now);
    const auto atHome = estimates_.find(home);
    if (!others || atHome == estimates_.end() || now - share.steppedAt > detail::maxPause)
        share = Share();
    else
        step(share, atHome->second, *others, departureCost, now);
    share.steppedAt = now;
    return share.value;
}

double DepartureShare::largest() const
{
    double largest = 0.0;
    for (const Share &share : shares_)
        largest = std::max(largest, share.value);
    return largest;
}

std::optional<DataCentreId> DepartureShare::draw(const DataCentreId &home,
                                                 const DataCentreReach &reach, TimePoint now,
                                                 Random &random) const
{
    double total = 0.0;
    std::optional<DataCentreId> drawn;
    for (const auto &[dataCentre, estimate] : estimates_) {
        if (dataCentre == home || !reach.isOpen(dataCentre, now))
            continue;
        const double room = roomOf(estimate);
        total += room;
        // Keeps each one with the probability of its part of the rooms so far.
        if (random.chance(room / total))
            drawn = dataCentre;
    }
    return drawn;
}

} // namespace cornelhead
