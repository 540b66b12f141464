// Implements the shared retry budget.
#include "cornelhead/routing/shared-retry-budget.h"

namespace cornelhead {

SharedRetryBudget::Bucket &SharedRetryBudget::bucketAt(const ServiceId &service, TimePoint now)
{
    std::deque<Bucket> &buckets = services_[service].buckets;
    while (!buckets.empty() && now - buckets.front().begin > window_)
        buckets.pop_front();
    if (buckets.empty() || now - buckets.back().begin > window_ / bucketsPerWindow)
        buckets.push_back(Bucket{now, 0, 0});
    return buckets.back();
}

void SharedRetryBudget::addFirstSend(const ServiceId &service, TimePoint now)
{
    ++bucketAt(service, now).firsts;
}

bool SharedRetryBudget::take(const ServiceId &service, TimePoint now)
{
    Bucket &current = bucketAt(service, now);
    std::uint32_t firsts = 0;
    std::uint32_t repeats = 0;
    for (const Bucket &bucket : services_[service].buckets) {
        firsts += bucket.firsts;
        repeats += bucket.repeats;
    }
    const double allowed = margin * ratio_ * static_cast<double>(firsts);
    if (repeats >= freeRepeats && static_cast<double>(repeats) + 1.0 > allowed)
        return false;
    ++current.repeats;
    return true;
}

} // namespace cornelhead
