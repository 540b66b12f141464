// Tests how customers and returning callers share one overloaded server.
#include <algorithm>
#include <array>

#include <boost/test/unit_test.hpp>

#include "cornelhead/base/random.h"
#include "cornelhead/routing/server-gate.h"
#include "support/property.h"

namespace cornelhead {

/// Calls of many customers at one server on a virtual clock, in steps of a millisecond.
struct SharedServer
{
    static constexpr std::size_t customers = 21;
    static constexpr Milliseconds objective{600};
    static constexpr Milliseconds work{60};

    struct Served
    {
        double calls = 0;
        double inTime = 0;
        double share() const { return inTime / calls; }
    };

    /// Calls of each customer in a millisecond, usually and during the burst.
    std::array<double, customers> usual{};
    std::array<double, customers> burst{};
    bool namesCustomers = true;

    /// Returns what became of the calls of the burst, which lasts five seconds.
    std::array<Served, customers> run()
    {
        std::array<Served, customers> served{};
        ServerGate gate;
        gate.setSlots(9);
        Random random(testSeed(45));
        struct Call
        {
            std::size_t customer = 0;
            TimePoint arrivedAt{};
        };
        std::map<GateTicket, Call> calls;
        std::multimap<TimePoint, GateTicket> ends;
        GateTicket last;
        for (int ms = 0; ms < 15'000; ++ms) {
            const TimePoint now{Milliseconds(ms)};
            std::vector<GateTicket> expired;
            const auto start = [&](GateTicket ticket) {
                ends.emplace(now + work / 2 + random.jitter(work), ticket);
            };
            while (!ends.empty() && ends.begin()->first <= now) {
                const GateTicket ticket = ends.begin()->second;
                const Call &call = calls.at(ticket);
                if (call.arrivedAt >= TimePoint(burstBegin) && now - call.arrivedAt <= objective)
                    ++served[call.customer].inTime;
                gate.remove(ticket);
                ends.erase(ends.begin());
            }
            while (const auto ticket = gate.startNext(now, expired))
                start(*ticket);
            for (std::size_t i = 0; i < customers; ++i) {
                if (!random.chance((now < TimePoint(burstBegin) ? usual : burst)[i]))
                    continue;
                last = last.next();
                calls[last] = Call{i, now};
                if (now >= TimePoint(burstBegin))
                    ++served[i].calls;
                const CustomerId customer(namesCustomers ? std::to_string(i) : "");
                if (gate.offer(GateRequest{last, 1, work, now + objective * 85 / 100, customer},
                               now, expired)
                    == ServerGate::Verdict::Start)
                    start(last);
            }
        }
        return served;
    }

    static constexpr Milliseconds burstBegin{10'000};
};

BOOST_AUTO_TEST_SUITE(customer_shares)

// The server finishes about 150 calls a second, and usually gets 120; then a customer that usually
// sends 20 of them sends 160.
BOOST_AUTO_TEST_CASE(hotCustomerTakesNoPlacesOfTheOthers)
{
    SharedServer server;
    server.usual.fill(0.005);
    server.usual[0] = 0.02;
    server.burst.fill(0.005);
    server.burst[0] = 0.16;
    const auto served = server.run();
    double callsOfOthers = 0;
    double inTimeOfOthers = 0;
    for (std::size_t i = 1; i < SharedServer::customers; ++i) {
        BOOST_TEST(served[i].share() > 0.75);
        callsOfOthers += served[i].calls;
        inTimeOfOthers += served[i].inTime;
    }
    BOOST_TEST(inTimeOfOthers / callsOfOthers > 0.9);
    // It gets what the others leave.
    BOOST_TEST(served[0].share() > 0.2);

    server.namesCustomers = false;
    const auto unaware = server.run();
    callsOfOthers = inTimeOfOthers = 0;
    for (std::size_t i = 1; i < SharedServer::customers; ++i) {
        inTimeOfOthers += unaware[i].inTime;
        callsOfOthers += unaware[i].calls;
    }
    BOOST_TEST(inTimeOfOthers / callsOfOthers < 0.7);
}

// All customers send half as much again as usual, and one of them usually sends a third of all.
BOOST_AUTO_TEST_CASE(largeCustomerIsServedWhenAllSendMore)
{
    SharedServer server;
    server.usual.fill(0.004);
    server.usual[0] = 0.04;
    server.burst.fill(0.0085);
    server.burst[0] = 0.085;
    const auto served = server.run();
    double calls = 0;
    double inTime = 0;
    for (const SharedServer::Served &customer : served) {
        calls += customer.calls;
        inTime += customer.inTime;
    }
    BOOST_TEST(inTime / calls < 0.75);
    BOOST_TEST(served[0].share() > 0.5 * inTime / calls);
}

struct SharedGateFixture
{
    ServerGate gate;
    TimePoint time{Milliseconds(1000)};
    std::vector<GateTicket> expired;
    GateTicket last;

    SharedGateFixture()
    {
        for (int i = 0; i < 2; ++i)
            add({}, 1);
    }
    GateTicket add(const std::string &customer, std::uint32_t rank, bool isReturning = false,
                   Milliseconds timeout = Milliseconds(5000))
    {
        last = last.next();
        gate.offer(GateRequest{last, rank, Milliseconds(100), time + timeout, CustomerId(customer),
                               isReturning},
                   time, expired);
        return last;
    }
    std::vector<GateTicket> startAll()
    {
        std::vector<GateTicket> order;
        GateTicket running(1);
        while (gate.load(time).waiting > 0) {
            gate.remove(running);
            running = *gate.startNext(time, expired);
            order.push_back(running);
        }
        return order;
    }
};

BOOST_FIXTURE_TEST_CASE(customersTakeTurnsWithinARank, SharedGateFixture)
{
    const GateTicket hot1 = add("hot", 2);
    const GateTicket hot2 = add("hot", 2);
    const GateTicket hot3 = add("hot", 2);
    const GateTicket other = add("other", 2);
    const GateTicket urgent = add("hot", 1);
    const std::vector<GateTicket> expected{urgent, other, hot1, hot2, hot3};
    BOOST_TEST((startAll() == expected));
}

BOOST_FIXTURE_TEST_CASE(customerWithMostWaitingCallsGivesWay, SharedGateFixture)
{
    for (int i = 0; i < 4; ++i)
        add("hot", 1, false, Milliseconds(550));
    const GateTicket hot = last;
    const GateTicket other = add("other", 1, false, Milliseconds(550));
    BOOST_TEST(gate.isWaiting(other));
    BOOST_TEST(!gate.isWaiting(hot));
    BOOST_TEST(expired.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(returningCallGoesBeforeFirstTriesButNotBeforeMoreUrgentCalls,
                        SharedGateFixture)
{
    const GateTicket less = add("a", 3);
    const GateTicket first = add("a", 2);
    const GateTicket other = add("b", 2);
    const GateTicket urgent = add("c", 1);
    const GateTicket returning = add("a", 2, true);
    const std::vector<GateTicket> expected{urgent, returning, other, first, less};
    BOOST_TEST((startAll() == expected));
}

// A crowd of one customer returns beside first tries of another one.
BOOST_FIXTURE_TEST_CASE(returningCallsOfOneCustomerDoNotTakeAllPlaces, SharedGateFixture)
{
    for (int i = 0; i < 10; ++i)
        add("hot", 1, true);
    const GateTicket other = add("other", 1);
    const std::vector<GateTicket> order = startAll();
    const auto position = std::find(order.begin(), order.end(), other) - order.begin();
    BOOST_TEST(position >= 1);
    BOOST_TEST(position <= 6);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace cornelhead
