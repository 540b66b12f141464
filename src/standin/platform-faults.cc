// Decides which calls to the simulated platform fail, and how.
#include "cornelhead/standin/platform-faults.h"

namespace cornelhead {
namespace detail {

FaultDecision decisionFor(OutageMode mode)
{
    if (mode == OutageMode::Hang)
        return HangCall();
    return DropCall();
}

} // namespace detail

void PlatformFaults::startOutage(OutageMode mode, std::optional<Milliseconds> duration)
{
    outage_ = Outage{mode, std::nullopt};
    if (duration)
        outage_->end = now(clock_) + *duration;
}

void PlatformFaults::setResponseLoss(double probability, std::uint64_t seed)
{
    lossProbability_ = probability;
    random_ = Random(seed);
}

void PlatformFaults::setPartition(std::set<DataCentreId> dataCentres, OutageMode mode)
{
    partitioned_ = std::move(dataCentres);
    partitionMode_ = mode;
}

std::optional<OutageMode> PlatformFaults::outage() const
{
    if (!outage_ || (outage_->end && *outage_->end <= now(clock_)))
        return std::nullopt;
    return outage_->mode;
}

FaultDecision PlatformFaults::decide(const DataCentreId &caller, bool isWrite)
{
    if (const auto mode = outage())
        return detail::decisionFor(*mode);
    if (partitioned_.contains(caller))
        return detail::decisionFor(partitionMode_);
    ServeCall serve{delay_, false};
    if (isWrite && responsesToLose_ > 0) {
        --responsesToLose_;
        serve.losesResponse = true;
    } else if (isWrite && lossProbability_ > 0) {
        serve.losesResponse = random_.chance(lossProbability_);
    }
    return serve;
}

} // namespace cornelhead
