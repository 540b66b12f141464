// Tests when refused callers are asked to return, against a server that they find full.
#include <algorithm>

#include <boost/test/unit_test.hpp>

#include "cornelhead/routing/return-schedule.h"
#include "cornelhead/routing/server-gate.h"
#include "support/property.h"

namespace cornelhead {

struct ScheduleFixture
{
    ReturnSchedule schedule;
    Random random{testSeed(47)};
    TimePoint time{Milliseconds(10'000)};
    const ServiceId service{"bookings"};

    /// Answers calls at a constant rate for some seconds.
    void answer(int perSecond)
    {
        for (int i = 0; i < 10 * perSecond; ++i) {
            schedule.recordAnswer(service, time);
            time += Microseconds(1'000'000 / perSecond);
        }
    }
    ReturnTime refuse(Milliseconds lastUseful, Milliseconds timeLeft,
                      Milliseconds wait = Milliseconds(100))
    {
        return schedule.book(RefusedCall{service, wait, lastUseful, timeLeft}, time, random);
    }
    /// Returns the most of these times within any 100 ms.
    static std::size_t mostAtOnce(std::vector<Microseconds> times)
    {
        std::sort(times.begin(), times.end());
        std::size_t most = 0;
        for (std::size_t first = 0, last = 0; last < times.size(); ++last) {
            while (times[last] - times[first] > Milliseconds(100))
                ++first;
            most = std::max(most, last - first + 1);
        }
        return most;
    }
};

BOOST_FIXTURE_TEST_SUITE(return_schedule, ScheduleFixture)

BOOST_AUTO_TEST_CASE(fewRefusedCallersReturnOnceTheQueueHasMovedOn)
{
    answer(10);
    for (int i = 0; i < 3; ++i) {
        const ReturnTime place = refuse(Milliseconds(1000), Milliseconds(3000));
        BOOST_TEST(place.isBooked);
        BOOST_TEST((place.after >= Milliseconds(50)));
        BOOST_TEST((place.after <= Milliseconds(150)));
    }
}

BOOST_AUTO_TEST_CASE(refusedCrowdDoesNotReturnAsOne)
{
    answer(50);
    std::vector<Microseconds> returns;
    std::size_t booked = 0;
    for (int i = 0; i < 100; ++i) {
        const ReturnTime place = refuse(Milliseconds(1000), Milliseconds(6000));
        booked += place.isBooked ? 1 : 0;
        // A place that is kept is in time; others stay out of its way.
        BOOST_TEST(((place.after <= Milliseconds(1000)) == place.isBooked));
        BOOST_TEST((place.after <= Milliseconds(2000)));
        returns.push_back(place.after);
    }
    BOOST_TEST(booked >= 40U);
    BOOST_TEST(mostAtOnce(returns) <= 15U);
}

BOOST_AUTO_TEST_CASE(callersAreAskedToReturnWithinTheTimeThatTheyWait)
{
    checkProperty(48, 200, [](const std::vector<std::uint16_t> &times) {
        ReturnSchedule schedule;
        Random random(3);
        TimePoint now{Milliseconds(1000)};
        for (std::size_t i = 0; i + 2 < times.size(); i += 3) {
            now += Milliseconds(times[i] % 50);
            if (times[i] % 2 == 0)
                schedule.recordAnswer(ServiceId("s"), now);
            const Milliseconds left(times[i + 1]);
            const ReturnTime place = schedule.book(
                    RefusedCall{ServiceId("s"), Milliseconds(times[i]),
                                Milliseconds(times[i + 2]) - Milliseconds(1000), left},
                    now, random);
            RC_ASSERT(place.after >= ReturnSchedule::minReturnTime);
            RC_ASSERT(place.after <= std::max(ReturnSchedule::minReturnTime,
                                              std::chrono::ceil<Microseconds>(left) / 3));
        }
    });
}

// A crowd of 100 callers finds a server full that gets as many first tries as it can finish.
BOOST_AUTO_TEST_CASE(callersThatReturnToABookedPlaceAreNotRefusedAgain)
{
    constexpr Milliseconds work(90);
    constexpr Milliseconds objective(1000);
    answer(100);
    ServerGate gate;
    gate.setSlots(9);
    struct Return
    {
        TimePoint refusedAt{};
        bool isBooked = false;
    };
    std::multimap<TimePoint, Return> returns;
    std::multimap<TimePoint, GateTicket> ends;
    std::map<GateTicket, Return> waitingReturns;
    GateTicket last;
    int booked = 0;
    int refusedAgain = 0;
    const TimePoint begin = time;
    const auto offer = [&](TimePoint usefulBy, bool isReturning) {
        last = last.next();
        std::vector<GateTicket> expired;
        const auto verdict = gate.offer(
                GateRequest{last, 1, work, usefulBy, CustomerId(), isReturning}, time, expired);
        if (verdict == ServerGate::Verdict::Start)
            ends.emplace(time + work, last);
        for (const GateTicket ticket : expired)
            refusedAgain += waitingReturns.contains(ticket) ? 1 : 0;
        return verdict;
    };
    for (; time < begin + Milliseconds(6000); time += Milliseconds(1)) {
        std::vector<GateTicket> expired;
        while (!ends.empty() && ends.begin()->first <= time) {
            gate.remove(ends.begin()->second);
            ends.erase(ends.begin());
            schedule.recordAnswer(service, time);
        }
        while (const auto ticket = gate.startNext(time, expired))
            ends.emplace(time + work, *ticket);
        const auto elapsed = std::chrono::duration_cast<Milliseconds>(time - begin);
        const int firstTries = (elapsed == Milliseconds(500) ? 100 : 0)
                + (elapsed.count() % 10 == 0 && elapsed < Milliseconds(4000) ? 1 : 0);
        for (int i = 0; i < firstTries; ++i) {
            if (offer(time + objective * 85 / 100, false) != ServerGate::Verdict::Refuse)
                continue;
            const Microseconds wait = gate.load(time).wait;
            const ReturnTime place = schedule.book(
                    RefusedCall{service, wait, objective - work * 3 / 2, Milliseconds(3000)}, time,
                    random);
            returns.emplace(time + place.after, Return{time, place.isBooked});
        }
        while (!returns.empty() && returns.begin()->first <= time) {
            const Return back = returns.begin()->second;
            returns.erase(returns.begin());
            if (!back.isBooked)
                continue;
            ++booked;
            const Microseconds left = back.refusedAt + Microseconds(objective) - time;
            if (offer(time + left * 85 / 100, true) == ServerGate::Verdict::Refuse)
                ++refusedAgain;
            else
                waitingReturns[last] = back;
        }
    }
    BOOST_TEST(booked >= 20);
    BOOST_TEST(refusedAgain * 50 <= booked);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace cornelhead
