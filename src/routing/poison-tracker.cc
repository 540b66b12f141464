// Implements the tracking of poison requests.
#include "cornelhead/routing/poison-tracker.h"

#include <string>

#include "cornelhead/base/digest.h"

namespace cornelhead {
namespace detail {
namespace {

constexpr std::size_t maxSuspects = 4096;
constexpr Milliseconds suspectRetention = Milliseconds(60'000);
constexpr Milliseconds refusalRetention = Milliseconds(600'000);

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
    const bool isSuspect = suspects_.contains(death.request);
    if (!isSuspect && suspects_.size() >= detail::maxSuspects)
        return false;
    Suspect &suspect = suspects_[death.request];
    const TimePoint started = now - death.startedAgo;
    const TimePoint broke = now - death.brokeAgo;
    // Other nodes may report deaths out of order.
    const bool isInSequence = started > suspect.lastDeathAt || suspect.lastStartedAt > broke;
    if (isSuspect && (!isInSequence || suspect.lastServer == death.server))
        return suspect.deaths >= deathsToRefuse;
    ++suspect.deaths;
    suspect.lastServer = death.server;
    suspect.lastStartedAt = started;
    suspect.lastDeathAt = broke;
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
            && now - found->second.lastDeathAt < detail::refusalRetention;
}

void PoisonTracker::expire(TimePoint now)
{
    std::erase_if(suspects_, [now](const auto &entry) {
        const bool isRefused = entry.second.deaths >= deathsToRefuse;
        const Milliseconds retention
                = isRefused ? detail::refusalRetention : detail::suspectRetention;
        return now - entry.second.lastDeathAt >= retention;
    });
}

} // namespace cornelhead
