// Tests that a call counts as a sample of its server's speed whatever its duration does to it.
#include <boost/test/unit_test.hpp>

#include "cornelhead/base/random.h"
#include "cornelhead/rollout/server-samples.h"
#include "support/property.h"

namespace cornelhead {

constexpr Milliseconds objective(500);

/// A version whose calls take 150 ms, but `slowShare` of them eight times as long.
struct SimulatedVersion
{
    SimulatedVersion(double slow, double leaving) : slowShare(slow), leavingShare(leaving) { }

    double slowShare;
    /// Share of the callers that leave after `patience`.
    double leavingShare;
    Milliseconds patience{};
    Milliseconds deadline{4000};
    /// Calls that reach the deadline are answered with a failure, or cut off.
    CallEnd endAtDeadline = CallEnd::CutOff;
    Random random{testSeed(5)};
    ServerSamples samples;

    void run(int calls)
    {
        for (int i = 0; i < calls; ++i) {
            const double factor = (random.chance(slowShare) ? 8.0 : 1.0) * (0.5 + random.unit());
            const Microseconds work(static_cast<std::int64_t>(150'000.0 * factor));
            const Microseconds limit = random.chance(leavingShare) ? patience : deadline;
            const CallEnd atLimit = limit == deadline ? endAtDeadline : CallEnd::CutOff;
            samples.record(EndedCall{work > limit ? atLimit : CallEnd::Answered, true,
                                     std::min(work, limit), objective});
        }
    }
    double lateShare() const
    {
        const ServerCounters &sums = samples.counters();
        return static_cast<double>(sums.late) / static_cast<double>(sums.timed);
    }
    double meanWork() const
    {
        const ServerCounters &sums = samples.counters();
        return sums.relativeWork / static_cast<double>(sums.timed);
    }
};

BOOST_AUTO_TEST_SUITE(server_samples)

BOOST_AUTO_TEST_CASE(slowCallsShowWhateverEndsThem)
{
    for (const CallEnd end : {CallEnd::CutOff, CallEnd::Failed}) {
        for (const int deadlineMs : {600, 900, 1300, 4000}) {
            SimulatedVersion version(0.4, 0.0);
            version.deadline = Milliseconds(deadlineMs);
            version.endAtDeadline = end;
            version.run(4000);
            BOOST_TEST_CONTEXT("deadline " << deadlineMs << " ms")
            {
                // All calls eight times as long take longer than the objective.
                BOOST_TEST(std::abs(version.lateShare() - 0.4) < 0.03);
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(slowCallsShowThoughHalfOfTheCallersLeave)
{
    for (const int patienceMs : {250, 400, 700}) {
        SimulatedVersion slow(0.4, 0.5);
        slow.patience = Milliseconds(patienceMs);
        slow.run(4000);
        SimulatedVersion good(0.0, 0.5);
        good.patience = Milliseconds(patienceMs);
        good.run(4000);
        BOOST_TEST_CONTEXT("callers leave after " << patienceMs << " ms")
        {
            BOOST_TEST(slow.lateShare() > 0.2);
            BOOST_TEST(good.lateShare() == 0.0);
            BOOST_TEST(slow.meanWork() > 2.0 * good.meanWork());
        }
    }
}

BOOST_AUTO_TEST_CASE(durationsAtAColdServerDoNotCount)
{
    ServerSamples samples;
    for (const CallEnd end : {CallEnd::Answered, CallEnd::Failed, CallEnd::CutOff})
        samples.record(EndedCall{end, false, objective * 2, objective});
    const ServerCounters &sums = samples.counters();
    BOOST_TEST(sums.answers == 2U);
    BOOST_TEST(sums.failures == 1U);
    BOOST_TEST(sums.cutOff == 1U);
    BOOST_TEST(sums.cold == 1U);
    BOOST_TEST(sums.timed == 0U);
    BOOST_TEST(sums.relativeWork == 0.0);
}

BOOST_AUTO_TEST_CASE(endsWithinTheObjectiveSayNothingOfTheDuration)
{
    ServerSamples samples;
    BOOST_TEST(callSampleName(samples.record({CallEnd::Failed, true, objective, objective}))
               == "failed");
    BOOST_TEST(callSampleName(samples.record({CallEnd::CutOff, true, objective, objective}))
               == "cut-off");
    BOOST_TEST(samples.counters().timed == 0U);
    BOOST_TEST(samples.counters().late == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace cornelhead
