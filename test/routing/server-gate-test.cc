// Tests the admission queue of a backend server under the load patterns that it is designed for.
#include <boost/test/unit_test.hpp>

#include "cornelhead/base/random.h"
#include "cornelhead/routing/server-gate.h"
#include "support/property.h"

namespace cornelhead {

struct GateFixture
{
    ServerGate gate;
    TimePoint time{Milliseconds(1000)};
    std::vector<GateTicket> expired;
    std::uint64_t lastTicket = 0;

    GateFixture() { gate.setSlots(2); }

    GateRequest makeRequest(std::uint32_t rank, Milliseconds work, Milliseconds timeout)
    {
        return GateRequest{GateTicket(++lastTicket), rank, work, time + timeout};
    }
    ServerGate::Verdict add(std::uint32_t rank, Milliseconds work = Milliseconds(100),
                            Milliseconds timeout = Milliseconds(1000))
    {
        return gate.offer(makeRequest(rank, work, timeout), time, expired);
    }
    // Fills all slots and the spare place.
    void fill()
    {
        for (std::uint32_t i = 0; i < 2 + ServerGate::spareInFlight; ++i)
            add(1);
    }
};

BOOST_FIXTURE_TEST_SUITE(server_gate, GateFixture)

BOOST_AUTO_TEST_CASE(callsStartUntilSlotsAndSparePlaceAreFull)
{
    for (std::uint32_t i = 0; i < 2 + ServerGate::spareInFlight; ++i)
        BOOST_TEST((add(1) == ServerGate::Verdict::Start));
    BOOST_TEST((add(1) == ServerGate::Verdict::Wait));
    BOOST_TEST(gate.load(time).running == 2 + ServerGate::spareInFlight);
    BOOST_TEST(gate.load(time).waiting == 1U);
}

// A burst of low-priority calls fills the queue; then a server that runs a booking makes a nested
// call.
BOOST_AUTO_TEST_CASE(nestedCallStartsBeforeEarlierCalls)
{
    fill();
    add(3);
    add(2);
    const std::uint64_t urgent = lastTicket + 1;
    add(0);
    gate.remove(GateTicket(1));
    BOOST_TEST(gate.startNext(time, expired)->value() == urgent);
    gate.remove(GateTicket(2));
    BOOST_TEST(gate.startNext(time, expired)->value() == urgent - 1);
    BOOST_TEST(expired.empty());
}

BOOST_AUTO_TEST_CASE(callsOfEqualRankStartInOrderOfArrival)
{
    fill();
    add(2);
    add(2);
    gate.remove(GateTicket(1));
    BOOST_TEST(gate.startNext(time, expired)->value() == lastTicket - 1);
}

// A service is over capacity: calls that cannot finish in time are refused on arrival.
BOOST_AUTO_TEST_CASE(callThatCannotFinishInTimeIsRefusedAtOnce)
{
    fill();
    for (int i = 0; i < 20; ++i)
        add(1, Milliseconds(100), Milliseconds(10'000));
    BOOST_TEST((add(1, Milliseconds(100), Milliseconds(500)) == ServerGate::Verdict::Refuse));
    BOOST_TEST((add(1, Milliseconds(100), Milliseconds(10'000)) == ServerGate::Verdict::Wait));
}

// Urgent calls delay others so much that they would only waste a slot.
BOOST_AUTO_TEST_CASE(callsThatExpireBehindUrgentCallsAreRemoved)
{
    fill();
    BOOST_TEST((add(3, Milliseconds(100), Milliseconds(220)) == ServerGate::Verdict::Wait));
    const std::uint64_t late = lastTicket;
    for (int i = 0; i < 3; ++i)
        add(0, Milliseconds(100), Milliseconds(5000));
    BOOST_REQUIRE(expired.size() == 1U);
    BOOST_TEST(expired.front().value() == late);
    BOOST_TEST(!gate.isWaiting(GateTicket(late)));
}

BOOST_AUTO_TEST_CASE(expiredCallIsNotStarted)
{
    fill();
    add(1, Milliseconds(100), Milliseconds(300));
    time += Milliseconds(250);
    gate.remove(GateTicket(1));
    BOOST_TEST(!gate.startNext(time, expired));
    BOOST_TEST(expired.size() == 1U);
}

BOOST_AUTO_TEST_CASE(removedCallFreesItsPlace)
{
    fill();
    add(1);
    gate.remove(GateTicket(lastTicket));
    BOOST_TEST(gate.load(time).waiting == 0U);
    gate.remove(GateTicket(1));
    BOOST_TEST((add(1) == ServerGate::Verdict::Start));
}

// The load is one and a half times the capacity of the slots, and a response counts only within its
// objective.  The baseline serves calls in order of arrival.
BOOST_AUTO_TEST_CASE(overloadServesMoreInTimeThanFirstComeFirstServed)
{
    struct Result
    {
        int inTime = 0;
        int missed = 0;
    };
    const auto simulate = [](bool refusesLateCalls) {
        ServerGate server;
        server.setSlots(9);
        Random random(testSeed(11));
        TimePoint now{Milliseconds(0)};
        std::map<GateTicket, TimePoint> ends;
        std::map<GateTicket, TimePoint> deadlines;
        std::vector<GateTicket> expiredCalls;
        Result result;
        const Milliseconds work(60);
        const auto start = [&](GateTicket ticket) {
            // Nine slots work in parallel; the spare call waits at the server.
            ends[ticket] = now + work + Microseconds(random.below(20'000));
        };
        std::uint64_t next = 0;
        for (int ms = 0; ms < 10'000; ++ms) {
            now = TimePoint(Milliseconds(ms));
            for (auto end = ends.begin(); end != ends.end();) {
                if (end->second > now) {
                    ++end;
                    continue;
                }
                (now <= deadlines[end->first] ? result.inTime : result.missed) += 1;
                server.remove(end->first);
                end = ends.erase(end);
            }
            expiredCalls.clear();
            while (const auto ticket = server.startNext(now, expiredCalls))
                start(*ticket);
            result.missed += static_cast<int>(expiredCalls.size());
            // 225 calls a second, where nine slots of 70 ms and the spare place finish about 143.
            if (!random.chance(0.225))
                continue;
            const GateTicket ticket(++next);
            deadlines[ticket] = now + Milliseconds(200);
            const TimePoint finishBy
                    = refusesLateCalls ? deadlines[ticket] : now + Milliseconds(60'000);
            expiredCalls.clear();
            const auto verdict
                    = server.offer(GateRequest{ticket, 1, work, finishBy}, now, expiredCalls);
            result.missed += static_cast<int>(expiredCalls.size());
            if (verdict == ServerGate::Verdict::Start)
                start(ticket);
            else if (verdict == ServerGate::Verdict::Refuse)
                ++result.missed;
        }
        return result;
    };
    const Result refusing = simulate(true);
    const Result fifo = simulate(false);
    BOOST_TEST(refusing.inTime > 2 * fifo.inTime);
    BOOST_TEST(refusing.inTime > 1200);
}

BOOST_AUTO_TEST_CASE(gateNeverRunsMoreThanItsSlotsAndTheSparePlace)
{
    checkProperty(31, 200, [](const std::vector<std::uint8_t> &steps) {
        ServerGate server;
        server.setSlots(3);
        TimePoint now{Milliseconds(0)};
        std::vector<GateTicket> running;
        std::vector<GateTicket> expiredCalls;
        std::uint64_t next = 0;
        for (const std::uint8_t step : steps) {
            now += Milliseconds(step % 16);
            if (step % 3 == 0 && !running.empty()) {
                server.remove(running.back());
                running.pop_back();
                while (const auto ticket = server.startNext(now, expiredCalls))
                    running.push_back(*ticket);
            } else {
                const GateTicket ticket(++next);
                if (server.offer(GateRequest{ticket, step % 4U, Milliseconds(20),
                                             now + Milliseconds(step)},
                                 now, expiredCalls)
                    == ServerGate::Verdict::Start)
                    running.push_back(ticket);
            }
            RC_ASSERT(running.size() <= 3 + ServerGate::spareInFlight);
            RC_ASSERT(server.load(now).running == running.size());
        }
    });
}

// A server that names a limit got all calls that found a slot.
BOOST_AUTO_TEST_CASE(limitedServerStartsNoMoreCallsThanItsLimit)
{
    checkProperty(32, 200, [](const std::vector<std::uint8_t> &steps) {
        ServerGate server;
        server.setSlots(20);
        const CallRate limit(10.0);
        TimePoint now{Milliseconds(5000)};
        server.setLimit(limit, now);
        std::vector<TimePoint> starts;
        std::vector<GateTicket> expiredCalls;
        std::uint64_t next = 0;
        for (const std::uint8_t step : steps) {
            now += Milliseconds(step % 32);
            const GateTicket offered(++next);
            if (server.offer(
                        GateRequest{offered, step % 4U, Milliseconds(20), now + Milliseconds(step)},
                        now, expiredCalls)
                == ServerGate::Verdict::Start) {
                starts.push_back(now);
                server.remove(offered);
            }
            while (const auto ticket = server.startNext(now, expiredCalls)) {
                starts.push_back(now);
                server.remove(*ticket);
            }
        }
        for (std::size_t first = 0; first < starts.size(); ++first) {
            for (std::size_t last = first; last < starts.size(); ++last) {
                const double seconds
                        = std::chrono::duration<double>(starts[last] - starts[first]).count();
                RC_ASSERT(static_cast<double>(last - first + 1)
                          <= limit.perSecond() * (seconds + 0.2) + 1.0);
            }
        }
    });
}

BOOST_AUTO_TEST_CASE(callThatTheLimitDelaysBeyondItsTimeIsRefusedAtOnce)
{
    gate.setLimit(CallRate(2.0), time);
    BOOST_TEST((add(1) == ServerGate::Verdict::Start));
    BOOST_TEST((add(1, Milliseconds(20), Milliseconds(100)) == ServerGate::Verdict::Refuse));
    BOOST_TEST((add(1, Milliseconds(20), Milliseconds(1000)) == ServerGate::Verdict::Wait));
    BOOST_TEST((*gate.limitWait(time) > Microseconds(0)));
    BOOST_TEST(!gate.startNext(time, expired));
    time += *gate.limitWait(time);
    BOOST_TEST(gate.startNext(time, expired).has_value());
}

BOOST_AUTO_TEST_CASE(limitThatEndsReleasesTheWaitingCalls)
{
    gate.setLimit(CallRate(1.0), time);
    add(1);
    BOOST_TEST((add(1, Milliseconds(20), Milliseconds(5000)) == ServerGate::Verdict::Wait));
    gate.setLimit(std::nullopt, time);
    BOOST_TEST(gate.startNext(time, expired).has_value());
    BOOST_TEST(gate.isOpen(time));
}

// It could not report otherwise that its limit has ended.
BOOST_AUTO_TEST_CASE(serverWithALimitOfZeroIsTriedNowAndThen)
{
    gate.setLimit(CallRate(0.0), time);
    BOOST_TEST((add(1) == ServerGate::Verdict::Start));
    gate.remove(GateTicket(lastTicket));
    BOOST_TEST(!gate.isOpen(time + Milliseconds(1000)));
    BOOST_TEST(gate.isOpen(time + Milliseconds(3000)));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace cornelhead
