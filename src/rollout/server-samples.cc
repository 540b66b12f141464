// Sums up the calls of one server.
#include "cornelhead/rollout/server-samples.h"

#include <algorithm>
#include <array>

namespace cornelhead {
namespace detail {

constexpr std::array<std::string_view, 5> sampleNames
        = {"none", "timed", "cold", "failed", "cut-off"};

CallSample sampleOf(const EndedCall &call)
{
    if (call.wasServerWarm && (call.end == CallEnd::Answered || call.duration > call.objective))
        return CallSample::Timed;
    switch (call.end) {
    case CallEnd::Answered:
        return CallSample::Cold;
    case CallEnd::Failed:
        return CallSample::Failed;
    case CallEnd::CutOff:
        return CallSample::CutOff;
    }
    return CallSample::None;
}

} // namespace detail

std::string_view callSampleName(CallSample sample)
{
    return detail::sampleNames[static_cast<std::size_t>(sample)];
}

CallSample ServerSamples::record(const EndedCall &call)
{
    counters_.answers += call.end == CallEnd::CutOff ? 0 : 1;
    counters_.failures += call.end == CallEnd::Failed ? 1 : 0;
    counters_.cutOff += call.end == CallEnd::CutOff ? 1 : 0;
    const CallSample sample = detail::sampleOf(call);
    counters_.cold += sample == CallSample::Cold ? 1 : 0;
    const bool isTimed = sample == CallSample::Timed;
    counters_.timed += isTimed ? 1 : 0;
    counters_.late += isTimed && call.duration > call.objective ? 1 : 0;
    // The time spent on calls that were cut off belongs to the mean per answer: otherwise the mean
    // of a version falls as more of its slow calls are cut off.
    if (isTimed || (sample == CallSample::CutOff && call.wasServerWarm))
        counters_.relativeWork += static_cast<double>(call.duration.count())
                / static_cast<double>(std::max<std::int64_t>(1, call.objective.count()));
    return sample;
}

} // namespace cornelhead
