// Implements the memory of requests that servers died under.
#include "cornelhead/routing/poison-tracker.h"

#include <string>

#include "cornelhead/base/digest.h"

namespace cornelhead {
namespace detail {
namespace {

constexpr std::size_t maxSuspects = 4096;
constexpr Milliseconds suspectMemory = Milliseconds(60'000);
constexpr Milliseconds refusalMemory = Milliseconds(600'000);

} // namespace
} // namespace detail

Fingerprint fingerprintOf(std::string_view method, std::string_view target, std::string_view body)
{
    std::string head(method);
    head.append(" ").append(target);
    return Fingerprint(rendezvousWeight(head, body));
}

bool PoisonTracker::recordDeath(const SuspectedDeath &death, TimePoint now)
{
    const bool isKnown = suspects_.contains(death.request);
    if (!isKnown && suspects_.size() >= detail::maxSuspects)
        return false;
    Suspect &suspect = suspects_[death.request];
    const TimePoint started = now - death.startedAgo;
    const TimePoint broke = now - death.brokeAgo;
    // Word of an earlier death may come after that of a later one.
    const bool isInSequence = started > suspect.lastDeath || suspect.lastStart > broke;
    if (isKnown && (!isInSequence || suspect.lastServer == death.server))
        return suspect.deaths >= deathsToRefuse;
    ++suspect.deaths;
    suspect.lastServer = death.server;
    suspect.lastStart = started;
    suspect.lastDeath = broke;
    return suspect.deaths >= deathsToRefuse;
}

void PoisonTracker::recordResponse(Fingerprint request)
{
    suspects_.erase(request);
}

bool PoisonTracker::isRefused(Fingerprint request, TimePoint now) const
{
    const auto found = suspects_.find(request);
    return found != suspects_.end() && found->second.deaths >= deathsToRefuse
            && now - found->second.lastDeath < detail::refusalMemory;
}

void PoisonTracker::expire(TimePoint now)
{
    std::erase_if(suspects_, [now](const auto &entry) {
        const bool isRefused = entry.second.deaths >= deathsToRefuse;
        const Milliseconds memory = isRefused ? detail::refusalMemory : detail::suspectMemory;
        return now - entry.second.lastDeath >= memory;
    });
}

} // namespace cornelhead
