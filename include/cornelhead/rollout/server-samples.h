// Sums up the calls of one server as samples of its speed and of its failures.
//
// Versions of a service are compared by these sums.  A sample whose chance of being counted depends
// on what it measures hides a bad version: slow calls are the ones that reach their deadline, that
// callers leave and that are in flight when anything changes.
#pragma once

#include <string_view>

#include "cornelhead/base/clock.h"
#include "cornelhead/rollout/server-counters.h"

namespace cornelhead {

/// How a call that was sent to a server ended.
enum class CallEnd {
    Answered,
    Failed, ///< The server answered with a failure, or broke off.
    CutOff, ///< Ended without an answer, at its deadline or because the caller left.
};

/// A call that a server has run.
struct EndedCall
{
    CallEnd end = CallEnd::Answered;
    /// Whether the server was warm when the call was sent to it.
    bool wasServerWarm = false;
    /// Time since the call was sent; the server's own time may be longer unless it answered.
    Microseconds duration{};
    /// The latency objective of the call's route.
    Microseconds objective{};
};

/// How a call counted.
enum class CallSample {
    None, ///< The server did not receive it, or refused it.
    Timed, ///< Its duration counts, or that it is longer than the objective.
    Cold, ///< Answered, but the server was warming up.
    Failed, ///< Failed within its objective.
    CutOff, ///< Cut off within its objective, so that its duration is not known.
};

std::string_view callSampleName(CallSample sample);

/// Sums up the calls of one server.
///
/// Invariant: a call of a warm server that took longer than its objective counts as late, however
/// it ended.
class ServerSamples
{
public:
    CallSample record(const EndedCall &call);
    /// Records a call that was refused for lack of room.
    void recordRefusal() { ++counters_.refused; }
    const ServerCounters &counters() const { return counters_; }

private:
    ServerCounters counters_;
};

} // namespace cornelhead
