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
    const TimePoint started = now - death.startedAgo;
    const TimePoint broke = now - death.brokeAgo;
    const auto response = responses_.find(death.request);
    if (response != responses_.end() && response->second >= broke - death.uncertainty)
        return false;
    const bool isSuspect = suspects_.contains(death.request);
    if (!isSuspect && suspects_.size() >= detail::maxSuspects)
        return false;
    Suspect &suspect = suspects_[death.request];
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

bool PoisonTracker::recordResponse(Fingerprint request, TimePoint now)
{
    if (!suspects_.contains(request))
        return false;
    recordResponseNotice(request, now);
    return true;
}

void PoisonTracker::recordResponseNotice(Fingerprint request, TimePoint now)
{
    suspects_.erase(request);
    if (responses_.contains(request) || responses_.size() < detail::maxSuspects)
        responses_[request] = now;
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
    std::erase_if(responses_, [now](const auto &entry) {
        return now - entry.second >= detail::suspectRetention;
    });
}

} // namespace cornelhead
