// Tests what a node remembers of calls: single cases, and a model of one call on a virtual clock
// with delayed messages, pauses of both processes and slow servers.
#include <algorithm>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "cornelhead/sidecar/call-records.h"
#include "support/property.h"

namespace cornelhead {

struct RecordsFixture
{
    CallRecords records;
    TimePoint time = TimePoint() + Milliseconds(60'000);

    ArrivalDecision arrive(bool isResumed, bool isForThisRun = true, bool isIdempotent = false)
    {
        return records.decide(CallArrival{"one", isResumed, isForThisRun, isIdempotent}, time);
    }
    /// Advances the time with a sweep every period, as a running process does.
    void run(Milliseconds duration)
    {
        for (Milliseconds passed{}; passed < duration; passed += CallRecords::sweepPeriod) {
            time += CallRecords::sweepPeriod;
            records.sweep(time);
        }
    }
    void finish(HopResult result, HopReason reason = HopReason::None)
    {
        records.finish("one", CallOutcome{result, reason, nullptr});
    }
    void start(Milliseconds timeLeft) { records.start("one", GateTicket(7), time + timeLeft); }
};

HopReason repeatedReason(const ArrivalDecision &decision)
{
    const auto *known = std::get_if<RepeatOutcome>(&decision);
    BOOST_REQUIRE(known);
    return known->outcome.reason;
}

BOOST_FIXTURE_TEST_SUITE(call_records, RecordsFixture)

BOOST_AUTO_TEST_CASE(newCallStartsAndIsAttachedToWhileItRuns)
{
    BOOST_TEST(std::holds_alternative<StartCall>(arrive(false)));
    start(Milliseconds(1000));
    const ArrivalDecision resumed = arrive(true);
    BOOST_REQUIRE(std::holds_alternative<AttachToCall>(resumed));
    BOOST_TEST((std::get<AttachToCall>(resumed).ticket == GateTicket(7)));
}

BOOST_AUTO_TEST_CASE(unknownResumedCallNeverRuns)
{
    BOOST_TEST((repeatedReason(arrive(true)) == HopReason::NeverArrived));
    run(Milliseconds(20'000));
    const ArrivalDecision late = arrive(false);
    BOOST_REQUIRE(std::holds_alternative<RepeatOutcome>(late));
    BOOST_TEST((std::get<RepeatOutcome>(late).outcome.result == HopResult::NotRun));
}

BOOST_AUTO_TEST_CASE(resumedCallOfAnEarlierRunIsUnknown)
{
    BOOST_TEST((repeatedReason(arrive(true, false)) == HopReason::NodeRestarted));
}

BOOST_AUTO_TEST_CASE(outcomeIsRepeatedAfterAPauseLongerThanTheDeadline)
{
    start(Milliseconds(1500));
    finish(HopResult::Unknown, HopReason::Timeout);
    time += Milliseconds(20'000);
    records.sweep(time);
    BOOST_TEST((repeatedReason(arrive(true)) == HopReason::Timeout));
}

BOOST_AUTO_TEST_CASE(retryOfAnEndedIdempotentCallStarts)
{
    start(Milliseconds(1000));
    finish(HopResult::Answered);
    BOOST_TEST(std::holds_alternative<StartCall>(arrive(false, true, true)));
    BOOST_TEST(std::holds_alternative<RepeatOutcome>(arrive(true, true, true)));
    BOOST_TEST(std::holds_alternative<RepeatOutcome>(arrive(false)));
}

BOOST_AUTO_TEST_CASE(recordsAreRemoved)
{
    start(Milliseconds(1000));
    run(Milliseconds(10'000));
    BOOST_TEST(records.size() == 1U); // The call still runs.
    finish(HopResult::Answered);
    run(Milliseconds(5000));
    BOOST_TEST(records.size() == 0U);
    arrive(true);
    run(Milliseconds(40'000));
    BOOST_TEST(records.size() == 0U);
}

BOOST_AUTO_TEST_CASE(pauseIsDetectedAndForgotten)
{
    PauseDetector pauses;
    pauses.observe(time);
    pauses.observe(time + Milliseconds(300));
    BOOST_TEST(pauses.maxInputAge(time + Milliseconds(300)).count() == 0);
    time += Milliseconds(4300);
    pauses.observe(time);
    pauses.observe(time);
    BOOST_TEST((pauses.maxInputAge(time) == Milliseconds(4000)));
    BOOST_TEST((pauses.maxInputAge(time + Milliseconds(1000)) == Milliseconds(0)));
}

// Otherwise all calls that are in flight when their node is frozen look slow.
BOOST_AUTO_TEST_CASE(pauseIsNoPartOfADuration)
{
    PauseDetector pauses;
    BOOST_TEST(pauses.pausedSince(time).count() == 0);
    pauses.observe(time);
    const TimePoint resumed = time + Milliseconds(4000);
    pauses.observe(resumed);
    BOOST_TEST((pauses.pausedSince(time - Milliseconds(300)) == Milliseconds(4000)));
    BOOST_TEST((pauses.pausedSince(time + Milliseconds(1000)) == Milliseconds(3000)));
    BOOST_TEST((pauses.pausedSince(resumed) == Milliseconds(0)));
    BOOST_TEST((pauses.pausedSince(resumed + Milliseconds(5)) == Milliseconds(0)));
}

BOOST_AUTO_TEST_SUITE_END()

/// A period in which a process stands still.
struct Pause
{
    int from = 0;
    int until = 0;
};

/// Returns when a process that is to act at `time` does so.
int wakeTime(int time, const std::vector<Pause> &pauses)
{
    for (const Pause &pause : pauses)
        time = time >= pause.from && time < pause.until ? pause.until : time;
    return time;
}

/// Models one call that must not run twice, in steps of 10 ms.  The caller's node sends it, asks
/// again while it has no response, and sends it to another host only on a refusal that it may act
/// on: one that arrives before its deadline.
struct CallModel
{
    static constexpr int step = 10;
    static constexpr int end = 40'000;

    struct Message
    {
        int arrivesAt = 0;
        int timeLeft = 0;
        bool isResumed = false;
        bool isRead = false;
    };

    int deadline = 1500;
    int work = 200;
    int resumeDelay = 300;
    std::vector<Pause> hostPauses;
    std::vector<Pause> entryPauses;
    std::vector<int> messageDelays;
    std::vector<int> responseDelays;

    CallRecords records;
    PauseDetector detector;
    std::vector<Message> messages;
    std::vector<std::pair<int, HopResult>> responses;
    std::optional<int> runEndsAt;
    int runDeadline = 0;
    int lastSweepAt = 0;
    int nextSendAt = 0;
    int runsHere = 0;
    int runsElsewhere = 0;
    bool isEntryDone = false;

    static TimePoint at(int time) { return TimePoint() + Milliseconds(100'000 + time); }

    void respond(int now, HopResult result)
    {
        const int delay = responseDelays[responses.size() % responseDelays.size()];
        responses.emplace_back(now + delay, result);
    }

    void read(int now, Message &message)
    {
        message.isRead = true;
        detector.observe(at(now));
        const ArrivalDecision decision
                = records.decide(CallArrival{"one", message.isResumed, true, false}, at(now));
        if (const auto *known = std::get_if<RepeatOutcome>(&decision))
            respond(now, known->outcome.result);
        if (!std::holds_alternative<StartCall>(decision))
            return;
        const auto age = std::chrono::duration_cast<Milliseconds>(detector.maxInputAge(at(now)));
        const int timeLeft = message.timeLeft - static_cast<int>(age.count());
        if (timeLeft <= 0) {
            respond(now, HopResult::NotRun);
            return;
        }
        ++runsHere;
        records.start("one", GateTicket(1), at(now + message.timeLeft));
        runDeadline = now + timeLeft;
        runEndsAt = std::min(now + work, runDeadline);
    }

    void hostStep(int now)
    {
        if (wakeTime(now, hostPauses) != now)
            return;
        if (runEndsAt && now >= *runEndsAt) {
            const bool isAnswered = *runEndsAt < runDeadline;
            const HopResult result = isAnswered ? HopResult::Answered : HopResult::Unknown;
            records.finish("one", CallOutcome{result, HopReason::Timeout, nullptr});
            respond(now, result);
            runEndsAt.reset();
        }
        // At most one sweep is due after a pause, however long it was; it runs before the reads.
        if (now - lastSweepAt >= CallRecords::sweepPeriod.count()) {
            lastSweepAt = now;
            detector.observe(at(now));
            records.sweep(at(now));
        }
        for (Message &message : messages) {
            if (!message.isRead && message.arrivesAt <= now)
                read(now, message);
        }
    }

    void entryStep(int now)
    {
        if (isEntryDone || wakeTime(now, entryPauses) != now)
            return;
        for (const auto &[arrivesAt, result] : responses) {
            if (arrivesAt > now || isEntryDone)
                continue;
            isEntryDone = true;
            const bool isCurrent = now < deadline || messages.size() == 1;
            runsElsewhere += result == HopResult::NotRun && isCurrent ? 1 : 0;
        }
        if (now >= deadline)
            isEntryDone = true;
        if (isEntryDone || now < nextSendAt || messages.size() >= messageDelays.size())
            return;
        nextSendAt = now + resumeDelay;
        messages.push_back(Message{now + messageDelays[messages.size()], deadline - now,
                                   !messages.empty(), false});
    }

    void run()
    {
        for (int now = 0; now < end; now += step) {
            entryStep(now);
            hostStep(now);
        }
    }
};

std::vector<Pause> generatePauses()
{
    std::vector<Pause> pauses;
    const int count = *rc::gen::inRange(0, 3);
    int from = 0;
    for (int i = 0; i < count; ++i) {
        from += *rc::gen::inRange(0, 200) * CallModel::step;
        const int until = from + *rc::gen::inRange(1, 900) * CallModel::step;
        pauses.push_back(Pause{from, until});
        from = until;
    }
    return pauses;
}

int generateDelay()
{
    // Mostly within the network, at times held up by a partition.
    return *rc::gen::inRange(0, 4) == 0 ? *rc::gen::inRange(0, 1200) * CallModel::step : 0;
}

BOOST_AUTO_TEST_SUITE(call_model)

BOOST_AUTO_TEST_CASE(callRunsAtMostOnce)
{
    checkProperty(20261204, 400, [] {
        CallModel model;
        model.deadline = *rc::gen::inRange(20, 1000) * CallModel::step;
        model.work = *rc::gen::inRange(1, 600) * CallModel::step;
        model.resumeDelay = *rc::gen::inRange(2, 200) * CallModel::step;
        model.hostPauses = generatePauses();
        model.entryPauses = generatePauses();
        for (int i = 0; i < 5; ++i) {
            model.messageDelays.push_back(generateDelay());
            model.responseDelays.push_back(generateDelay());
        }
        model.run();
        RC_ASSERT(model.runsHere + model.runsElsewhere <= 1);
    });
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace cornelhead
