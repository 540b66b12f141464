// Implements the suspicion of the own link.
#include "cornelhead/routing/own-link.h"

#include <algorithm>
#include <cmath>

namespace cornelhead {
namespace detail {

constexpr Milliseconds ownLinkWindow(1000);
constexpr double countHalfLifeUs = 500'000.0;
// Where the hosts themselves are gone, the suspicion ends after this time and does not return for a
// while, so that the node backs off from them.
constexpr Milliseconds maxSuspicion(2000);
constexpr Milliseconds suspicionPause(8000);
// Fewer hosts may well have failed for reasons of their own.
constexpr std::size_t minFailedHosts = 6;

} // namespace detail

void OwnLink::record(const Address &node, const DataCentreId &dataCentre, bool hasFailed,
                     TimePoint now)
{
    const auto age = static_cast<double>((now - countedAt_).count());
    const double decay = std::exp2(-age / detail::countHalfLifeUs);
    failures_ = failures_ * decay + (hasFailed ? 1.0 : 0.0);
    answers_ = answers_ * decay + (hasFailed ? 0.0 : 1.0);
    countedAt_ = now;
    tried_[node] = Tried{dataCentre == localDataCentre_, hasFailed, now};
    if (now - sweptAt_ > detail::ownLinkWindow)
        sweep(now);
}

void OwnLink::sweep(TimePoint now)
{
    sweptAt_ = now;
    std::erase_if(tried_, [now](const auto &tried) {
        return now - tried.second.at > detail::ownLinkWindow;
    });
}

void OwnLink::recordAnswer(const Address &node, const DataCentreId &dataCentre, TimePoint now)
{
    record(node, dataCentre, false, now);
}

bool OwnLink::recordFailure(const Address &node, const DataCentreId &dataCentre, TimePoint now)
{
    record(node, dataCentre, true, now);
    sweep(now);
    const bool isNew = !isSuspected(now);
    if (!isLikely() || (isNew && now < mayBeginAt_))
        return false;
    if (isNew) {
        latestEnd_ = now + detail::maxSuspicion;
        mayBeginAt_ = latestEnd_ + detail::suspicionPause;
    }
    suspectedUntil_ = std::min(now + detail::ownLinkWindow, latestEnd_);
    return isNew;
}

bool OwnLink::isLikely() const
{
    std::size_t failed = 0;
    std::size_t localTried = 0;
    std::size_t localFailed = 0;
    for (const auto &[node, tried] : tried_) {
        failed += tried.hasFailed ? 1 : 0;
        localTried += tried.isLocal ? 1 : 0;
        localFailed += tried.isLocal && tried.hasFailed ? 1 : 0;
    }
    return failed >= detail::minFailedHosts && failed * 2 > tried_.size()
            && localFailed * 2 > localTried && failures_ > answers_;
}

std::vector<Address> OwnLink::failedHosts() const
{
    std::vector<Address> failed;
    for (const auto &[node, tried] : tried_) {
        if (tried.hasFailed)
            failed.push_back(node);
    }
    return failed;
}

} // namespace cornelhead
