// Tests the queue in front of a backend server by the load patterns that it is for.
#include <boost/test/unit_test.hpp>

#include "cornelhead/base/random.h"
#include "cornelhead/routing/server-gate.h"
#include "support/property.h"

namespace cornelhead {

struct GateFixture
{
    ServerGate gate;
    TimePoint time{Milliseconds(1000)};
    std::vector<GateTicket> hopeless;
    std::uint64_t last = 0;

    GateFixture() { gate.setSlots(2); }

    GateRequest offerOf(std::uint32_t rank, Milliseconds work, Milliseconds useful)
    {
        return GateRequest{GateTicket(++last), rank, work, time + useful};
    }
    ServerGate::Verdict add(std::uint32_t rank, Milliseconds work = Milliseconds(100),
                            Milliseconds useful = Milliseconds(1000))
    {
        return gate.offer(offerOf(rank, work, useful), time, hopeless);
    }
    // Takes every slot, and the spare place behind them.
    void fill()
    {
        for (std::uint32_t i = 0; i < 2 + ServerGate::spareInFlight; ++i)
            add(1);
    }
};

BOOST_FIXTURE_TEST_SUITE(server_gate, GateFixture)

BOOST_AUTO_TEST_CASE(callsStartUntilSlotsAndSpareAreTaken)
{
    for (std::uint32_t i = 0; i < 2 + ServerGate::spareInFlight; ++i)
        BOOST_TEST((add(1) == ServerGate::Verdict::Start));
    BOOST_TEST((add(1) == ServerGate::Verdict::Wait));
    BOOST_TEST(gate.load(time).running == 2 + ServerGate::spareInFlight);
    BOOST_TEST(gate.load(time).waiting == 1U);
}

// A burst of browsing fills the queue; then a server in the middle of a booking makes a call.
BOOST_AUTO_TEST_CASE(callOfAServerStartsBeforeCallsThatCameFirst)
{
    fill();
    add(3);
    add(2);
    const std::uint64_t urgent = last + 1;
    add(0);
    gate.remove(GateTicket(1));
    BOOST_TEST(gate.startNext(time, hopeless)->value() == urgent);
    gate.remove(GateTicket(2));
    BOOST_TEST(gate.startNext(time, hopeless)->value() == urgent - 1);
    BOOST_TEST(hopeless.empty());
}

BOOST_AUTO_TEST_CASE(equalRanksStartInTheirOrder)
{
    fill();
    add(2);
    add(2);
    gate.remove(GateTicket(1));
    BOOST_TEST(gate.startNext(time, hopeless)->value() == last - 1);
}

// One service over capacity: what cannot be finished in time is refused on arrival.
BOOST_AUTO_TEST_CASE(callThatCannotBeFinishedInTimeIsRefusedAtOnce)
{
    fill();
    for (int i = 0; i < 20; ++i)
        add(1, Milliseconds(100), Milliseconds(10'000));
    BOOST_TEST((add(1, Milliseconds(100), Milliseconds(500)) == ServerGate::Verdict::Refuse));
    BOOST_TEST((add(1, Milliseconds(100), Milliseconds(10'000)) == ServerGate::Verdict::Wait));
}

// Urgent calls push others so far back that these would only waste a slot.
BOOST_AUTO_TEST_CASE(callsMadeHopelessByMoreUrgentOnesAreGivenUp)
{
    fill();
    BOOST_TEST((add(3, Milliseconds(100), Milliseconds(220)) == ServerGate::Verdict::Wait));
    const std::uint64_t late = last;
    for (int i = 0; i < 3; ++i)
        add(0, Milliseconds(100), Milliseconds(5000));
    BOOST_REQUIRE(hopeless.size() == 1U);
    BOOST_TEST(hopeless.front().value() == late);
    BOOST_TEST(!gate.isWaiting(GateTicket(late)));
}

BOOST_AUTO_TEST_CASE(callWhoseTimeHasPassedIsNotStarted)
{
    fill();
    add(1, Milliseconds(100), Milliseconds(300));
    time += Milliseconds(250);
    gate.remove(GateTicket(1));
    BOOST_TEST(!gate.startNext(time, hopeless));
    BOOST_TEST(hopeless.size() == 1U);
}

BOOST_AUTO_TEST_CASE(withdrawnCallFreesItsPlace)
{
    fill();
    add(1);
    gate.remove(GateTicket(last));
    BOOST_TEST(gate.load(time).waiting == 0U);
    gate.remove(GateTicket(1));
    BOOST_TEST((add(1) == ServerGate::Verdict::Start));
}

// The baseline is first come, first served: the load is one and a half times what the slots can
// do, and every call is worth something only within its objective.
BOOST_AUTO_TEST_CASE(overloadServesMoreInTimeThanFirstComeFirstServed)
{
    struct Result
    {
        int inTime = 0;
        int lateOrRefused = 0;
    };
    const auto play = [](bool refuses) {
        ServerGate server;
        server.setSlots(9);
        Random random(testSeed(11));
        TimePoint now{Milliseconds(0)};
        std::map<GateTicket, TimePoint> ends;
        std::map<GateTicket, TimePoint> due;
        std::vector<GateTicket> given;
        Result result;
        const Milliseconds work(60);
        const auto start = [&](GateTicket ticket) {
            // Nine slots share the work; the spare call waits at the server.
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
                (now <= due[end->first] ? result.inTime : result.lateOrRefused) += 1;
                server.remove(end->first);
                end = ends.erase(end);
            }
            given.clear();
            while (const auto ticket = server.startNext(now, given))
                start(*ticket);
            result.lateOrRefused += static_cast<int>(given.size());
            // 225 calls a second, where nine slots of 70 ms finish about 143 with the spare one.
            if (!random.chance(0.225))
                continue;
            const GateTicket ticket(++next);
            due[ticket] = now + Milliseconds(200);
            const TimePoint useful = refuses ? due[ticket] : now + Milliseconds(60'000);
            given.clear();
            const auto verdict = server.offer(GateRequest{ticket, 1, work, useful}, now, given);
            result.lateOrRefused += static_cast<int>(given.size());
            if (verdict == ServerGate::Verdict::Start)
                start(ticket);
            else if (verdict == ServerGate::Verdict::Refuse)
                ++result.lateOrRefused;
        }
        return result;
    };
    const Result refusing = play(true);
    const Result queueing = play(false);
    BOOST_TEST(refusing.inTime > 2 * queueing.inTime);
    BOOST_TEST(refusing.inTime > 1200);
}

BOOST_AUTO_TEST_CASE(gateNeverRunsMoreThanItsSlotsAndTheSpare)
{
    checkProperty(31, 200, [](const std::vector<std::uint8_t> &steps) {
        ServerGate server;
        server.setSlots(3);
        TimePoint now{Milliseconds(0)};
        std::vector<GateTicket> running;
        std::vector<GateTicket> given;
        std::uint64_t next = 0;
        for (const std::uint8_t step : steps) {
            now += Milliseconds(step % 16);
            if (step % 3 == 0 && !running.empty()) {
                server.remove(running.back());
                running.pop_back();
                while (const auto ticket = server.startNext(now, given))
                    running.push_back(*ticket);
            } else {
                const GateTicket ticket(++next);
                if (server.offer(GateRequest{ticket, step % 4U, Milliseconds(20),
                                             now + Milliseconds(step)},
                                 now, given)
                    == ServerGate::Verdict::Start)
                    running.push_back(ticket);
            }
            RC_ASSERT(running.size() <= 3 + ServerGate::spareInFlight);
            RC_ASSERT(server.load(now).running == running.size());
        }
    });
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace cornelhead
