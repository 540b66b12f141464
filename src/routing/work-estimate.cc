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
                          CallEnd end)
{
    if (end != CallEnd::CutOff)
        failureShare_
                += detail::failureWeight * ((end == CallEnd::Failed ? 1.0 : 0.0) - failureShare_);
    if (objective <= Microseconds(0))
        return;
    const double relative
            = static_cast<double>(work.count()) / static_cast<double>(objective.count());
    const bool isLowerBound = end != CallEnd::Answered;
    const auto [entry, isNew] = relativeByRoute_.try_emplace(route, relativeWork_);
    for (double *estimate : {&entry->second, &relativeWork_}) {
        if (!isLowerBound || relative > *estimate)
            *estimate += detail::workWeight * (relative - *estimate);
    }
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
