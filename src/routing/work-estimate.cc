// Implements the service time and failure estimates.
#include "cornelhead/routing/work-estimate.h"

#include <cmath>

namespace cornelhead {
namespace detail {

// The weight of the latest response: a change of speed shows within about ten responses.
constexpr double workWeight = 0.1;
constexpr double failureWeight = 0.08;
constexpr double failureHalfLifeUs = 3'000'000.0;

} // namespace detail

void WorkEstimate::record(const RouteId &route, Microseconds work, Microseconds objective,
                          bool isFailure)
{
    failureShare_ += detail::failureWeight * ((isFailure ? 1.0 : 0.0) - failureShare_);
    if (isFailure || objective <= Microseconds(0))
        return;
    const double relative
            = static_cast<double>(work.count()) / static_cast<double>(objective.count());
    const auto [entry, isNew] = relativeByRoute_.try_emplace(route, relativeWork_);
    entry->second += detail::workWeight * (relative - entry->second);
    relativeWork_ += detail::workWeight * (relative - relativeWork_);
}

Microseconds WorkEstimate::expected(const RouteId &route, Microseconds objective) const
{
    const auto entry = relativeByRoute_.find(route);
    const double relative = entry == relativeByRoute_.end() ? relativeWork_ : entry->second;
    return Microseconds(
            static_cast<std::int64_t>(relative * static_cast<double>(objective.count())));
}

void WorkEstimate::decay(Microseconds elapsed)
{
    failureShare_ *= std::exp2(-static_cast<double>(elapsed.count()) / detail::failureHalfLifeUs);
}

} // namespace cornelhead
