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

/// A crowd of 100 callers finds a server full that gets as many first tries as it can finish.
class ReturningCrowd : ScheduleFixture
{
public:
    struct Result
    {
        /// Callers that returned to a booked place, or at all without a schedule.
        int returns = 0;
        int refusedAgain = 0;
        int inTime = 0;
    };

    explicit ReturningCrowd(bool isScheduled) : isScheduled_(isScheduled)
    {
        answer(100);
        gate_.setSlots(9);
    }

    Result run()
    {
        const TimePoint begin = time;
        for (; time < begin + Milliseconds(6000); time += Milliseconds(1)) {
            finishCalls();
            const auto elapsed = std::chrono::duration_cast<Milliseconds>(time - begin);
            int firstTries = elapsed == Milliseconds(500) ? 100 : 0;
            if (elapsed.count() % 10 == 0 && elapsed < Milliseconds(4000))
                ++firstTries;
            for (; firstTries > 0; --firstTries)
                offer(Call{time, false});
            while (!returns_.empty() && returns_.begin()->first <= time) {
                offer(returns_.begin()->second);
                returns_.erase(returns_.begin());
            }
        }
        return result_;
    }

private:
    static constexpr Milliseconds work{90};
    static constexpr Milliseconds objective{1000};

    struct Call
    {
        TimePoint firstTryAt{};
        bool isReturning = false;
    };

    void finishCalls()
    {
        while (!ends_.empty() && ends_.begin()->first <= time) {
            const GateTicket ticket = ends_.begin()->second;
            ends_.erase(ends_.begin());
            gate_.remove(ticket);
            schedule.recordAnswer(service, time);
            result_.inTime += time <= calls_.at(ticket).firstTryAt + objective ? 1 : 0;
        }
        std::vector<GateTicket> expired;
        while (const auto ticket = gate_.startNext(time, expired))
            ends_.emplace(time + work, *ticket);
        refuse(expired);
    }
    void offer(const Call &call)
    {
        last_ = last_.next();
        calls_[last_] = call;
        result_.returns += call.isReturning ? 1 : 0;
        const Microseconds left = call.firstTryAt + Microseconds(objective) - time;
        std::vector<GateTicket> expired;
        const auto verdict
                = gate_.offer(GateRequest{last_, 1, work, time + left * 85 / 100, CustomerId(),
                                          call.isReturning && isScheduled_},
                              time, expired);
        if (verdict == ServerGate::Verdict::Start)
            ends_.emplace(time + work, last_);
        else if (verdict == ServerGate::Verdict::Refuse)
            expired.push_back(last_);
        refuse(expired);
    }
    void refuse(const std::vector<GateTicket> &tickets)
    {
        for (const GateTicket ticket : tickets) {
            const Call &call = calls_.at(ticket);
            if (call.isReturning) {
                ++result_.refusedAgain;
                continue;
            }
            const Microseconds wait = gate_.load(time).wait;
            const Microseconds left = call.firstTryAt + Microseconds(objective) - time;
            ReturnTime place{std::max(Microseconds(50'000), wait / 2)
                                     + random.jitter(Milliseconds(100)),
                             true};
            if (isScheduled_)
                place = schedule.book(
                        RefusedCall{service, wait, left - work * 3 / 2, Milliseconds(3000)}, time,
                        random);
            if (place.isBooked)
                returns_.emplace(time + place.after, Call{call.firstTryAt, true});
        }
    }

    const bool isScheduled_;
    ServerGate gate_;
    std::multimap<TimePoint, Call> returns_;
    std::multimap<TimePoint, GateTicket> ends_;
    std::map<GateTicket, Call> calls_;
    GateTicket last_;
    Result result_;
};

BOOST_FIXTURE_TEST_SUITE(return_schedule, ScheduleFixture)

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

BOOST_AUTO_TEST_CASE(callersThatReturnToABookedPlaceAreNotRefusedAgain)
{
    const ReturningCrowd::Result scheduled = ReturningCrowd(true).run();
    BOOST_TEST(scheduled.returns >= 20);
    BOOST_TEST(scheduled.refusedAgain * 50 <= scheduled.returns);
    // With the former times and order of arrival.
    const ReturningCrowd::Result former = ReturningCrowd(false).run();
    BOOST_TEST(former.refusedAgain * 4 >= former.returns);
    BOOST_TEST(scheduled.inTime >= former.inTime);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace cornelhead
