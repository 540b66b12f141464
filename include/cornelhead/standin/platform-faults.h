// Fault injection for the simulated platform, with an injected clock and seed.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <variant>

#include "cornelhead/base/clock.h"
#include "cornelhead/base/ids.h"
#include "cornelhead/base/random.h"

namespace cornelhead {

/// How calls fail during an outage.
enum class OutageMode {
    Refuse, ///< Connections are refused or closed.
    Hang, ///< Connections are accepted but no response is sent.
};

/// Run the call after `delay`, then send the response unless it is to be lost.
struct ServeCall
{
    Milliseconds delay{};
    bool losesResponse = false;
};
/// Close the connection without running the call.
struct DropCall
{ };
/// Keep the connection open without running the call.
struct HangCall
{ };

using FaultDecision = std::variant<ServeCall, DropCall, HangCall>;

/// Decides for each call whether to serve, drop or hang it.
class PlatformFaults
{
public:
    PlatformFaults(Clock clock, std::uint64_t seed) : clock_(std::move(clock)), random_(seed) { }

    /// Lasts for `duration`, or without a value until `endOutage`.
    void startOutage(OutageMode mode, std::optional<Milliseconds> duration);
    void endOutage() { outage_.reset(); }
    void setDelay(Milliseconds delay) { delay_ = delay; }
    /// Loses the responses of the next `count` writes.
    void loseNextResponses(std::uint64_t count) { responsesToLose_ = count; }
    /// Loses the response of each write with `probability`, drawn from `seed`.
    void setResponseLoss(double probability, std::uint64_t seed);
    /// Partitions exactly these data centres from the platform; an empty set ends the partition.
    void setPartition(std::set<DataCentreId> dataCentres, OutageMode mode);

    FaultDecision decide(const DataCentreId &caller, bool isWrite);
    /// Returns the mode of the current outage, if any.
    std::optional<OutageMode> outage() const;

private:
    struct Outage
    {
        OutageMode mode = OutageMode::Refuse;
        // Without a value the outage lasts until endOutage.
        std::optional<TimePoint> end;
    };

    Clock clock_;
    Random random_;
    std::optional<Outage> outage_;
    Milliseconds delay_{};
    std::uint64_t responsesToLose_ = 0;
    double lossProbability_ = 0;
    std::set<DataCentreId> partitioned_;
    OutageMode partitionMode_ = OutageMode::Refuse;
};

} // namespace cornelhead
