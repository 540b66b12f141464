// Implements the fleet-wide retry budget.
#include "cornelhead/routing/shared-retry-budget.h"

namespace cornelhead {

SharedRetryBudget::Bucket &SharedRetryBudget::currentBucket(const ServiceId &service, TimePoint now)
{
    std::deque<Bucket> &buckets = services_[service].buckets;
    while (!buckets.empty() && now - buckets.front().startedAt > window_)
        buckets.pop_front();
    if (buckets.empty() || now - buckets.back().startedAt > window_ / bucketsPerWindow)
        buckets.push_back(Bucket{now, 0, 0});
    return buckets.back();
}

void SharedRetryBudget::addFirstSend(const ServiceId &service, TimePoint now)
{
    ++currentBucket(service, now).firstSends;
}

bool SharedRetryBudget::take(const ServiceId &service, TimePoint now)
{
    Bucket &current = currentBucket(service, now);
    std::uint32_t firstSends = 0;
    std::uint32_t repeatedSends = 0;
    for (const Bucket &bucket : services_[service].buckets) {
        firstSends += bucket.firstSends;
        repeatedSends += bucket.repeatedSends;
    }
    const double allowed = margin * ratio_ * static_cast<double>(firstSends);
    if (repeatedSends >= freeRepeats && static_cast<double>(repeatedSends) + 1.0 > allowed)
        return false;
    ++current.repeatedSends;
    return true;
}

} // namespace cornelhead
