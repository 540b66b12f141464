// Faults that the platform stand-in shows on demand, decided over an injected clock and seed.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <variant>

#include "cornelhead/base/clock.h"
#include "cornelhead/base/ids.h"
#include "cornelhead/base/random.h"

namespace cornelhead {

/// How calls fail while the platform is away.
enum class OutageMode {
    Refuse, ///< Connections are refused or closed.
    Hang, ///< Connections are accepted and nothing is answered.
};

/// Run the call after `delay`; then answer it, unless its answer is lost.
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

/// Decides the fate of each call.
class PlatformFaults
{
public:
    PlatformFaults(Clock clock, std::uint64_t seed) : clock_(std::move(clock)), random_(seed) { }

    /// Takes the platform away for `duration`, or until `endOutage` when there is none.
    void startOutage(OutageMode mode, std::optional<Milliseconds> duration);
    void endOutage() { outage_.reset(); }
    void setDelay(Milliseconds delay) { delay_ = delay; }
    /// Loses the answers of the next `count` writes.
    void loseNextResponses(std::uint64_t count) { responsesToLose_ = count; }
    /// Loses the answer of each write with `probability`, drawn from `seed`.
    void setResponseLoss(double probability, std::uint64_t seed);
    /// Cuts these data centres off and no others.
    void setPartition(std::set<DataCentreId> dataCentres, OutageMode mode);

    FaultDecision decide(const DataCentreId &caller, bool isWrite);
    /// Returns the outage in force.
    std::optional<OutageMode> outage() const;

private:
    struct Outage
    {
        OutageMode mode = OutageMode::Refuse;
        // None lasts until told otherwise.
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
