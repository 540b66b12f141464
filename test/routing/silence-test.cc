// Tests what placement learns from calls that their hosts do not answer.
#include <boost/test/unit_test.hpp>

#include "cornelhead/routing/placement.h"
#include "routing/fleet-load.h"
#include "support/property.h"

namespace cornelhead {

struct SilenceFixture
{
    HostDirectory directory;
    Placement placement{DataCentreId("home")};
    Random random{7};
    TimePoint time{Milliseconds(10'000)};
    PlacementRequest request;

    SilenceFixture()
    {
        request.service = ServiceId("scans");
        request.objective = Milliseconds(400);
        for (std::uint16_t i = 0; i < 16; ++i) {
            HostEntry entry;
            entry.node = nodeOf(i);
            entry.run = NodeId("run" + std::to_string(i));
            entry.dataCentre = DataCentreId(i < 8 ? "home" : "away");
            entry.server = HostedServer{ServerId("s" + std::to_string(i)), ServiceId("scans"),
                                        VersionId("v1"), 4, ServerState::Serving};
            directory.put(entry);
        }
        placement.update(directory.hosts(), time);
    }
    static Address nodeOf(std::uint16_t index)
    {
        return Address{"10.0.0.1", static_cast<std::uint16_t>(1000 + index)};
    }
    HostState &host(std::uint16_t index) { return *placement.find(nodeOf(index)); }
    void answer(std::uint16_t index) { placement.applyReport(host(index), HostReport(), time); }
    bool isBackedOff(std::uint16_t index) { return time < host(index).backoffUntil; }
};

BOOST_FIXTURE_TEST_SUITE(silence, SilenceFixture)

// The calls of a silent host are no longer in flight, so it looked idle.
BOOST_AUTO_TEST_CASE(silentHostIsAvoidedUntilItsShareHasDecayed)
{
    HostState &silent = host(0);
    for (int i = 0; i < 5; ++i)
        placement.recordUnanswered(silent, UnansweredEnd::Deadline, request.objective,
                                   request.objective, time);
    request.busy = {placement.find(nodeOf(0))};
    for (std::uint16_t i = 2; i < 16; ++i)
        request.tried.insert(nodeOf(i));
    for (int i = 0; i < 50; ++i)
        BOOST_TEST((placement.choose(request, time, random)->entry.node == nodeOf(1)));
    BOOST_TEST(silent.unanswered.at(time) > 0.8);
    BOOST_TEST(silent.unanswered.at(time + Milliseconds(4000)) < 0.06);
    for (int i = 0; i < 8; ++i)
        answer(0);
    BOOST_TEST(silent.unanswered.at(time) < 0.06);
}

BOOST_AUTO_TEST_CASE(callersThatLeaveEarlyProveNothing)
{
    const Milliseconds objective(1000);
    BOOST_TEST(!isSilence(UnansweredEnd::CallerGone, Milliseconds(249), objective));
    BOOST_TEST(isSilence(UnansweredEnd::CallerGone, Milliseconds(250), objective));
    BOOST_TEST(!isSilence(UnansweredEnd::CallerGone, Milliseconds(99), Milliseconds(100)));
    BOOST_TEST(!isSilence(UnansweredEnd::Deadline, Milliseconds(5), objective));
    BOOST_TEST(isSilence(UnansweredEnd::Deadline, Milliseconds(100), objective));
}

// A full link of the node's own made it back off from hosts of all services.
BOOST_AUTO_TEST_CASE(ownLinkIsSuspectedInsteadOfManyHosts)
{
    int suspicions = 0;
    for (std::uint16_t i = 0; i < 12; ++i)
        suspicions += placement.recordUnreachable(host(i), ConnectFailure::TimedOut, time) ? 1 : 0;
    BOOST_TEST(suspicions == 1);
    for (std::uint16_t i = 0; i < 12; ++i)
        BOOST_TEST(!isBackedOff(i));
    time += Milliseconds(1001);
    placement.recordUnreachable(host(0), ConnectFailure::TimedOut, time);
    BOOST_TEST(isBackedOff(0));
}

BOOST_AUTO_TEST_CASE(hostsThatAreDownAreBackedOffFrom)
{
    for (std::uint16_t i = 0; i < 12; ++i) {
        BOOST_TEST(!placement.recordUnreachable(host(i), ConnectFailure::Refused, time));
        BOOST_TEST(isBackedOff(i));
    }
}

// A cut between data centres leaves the own link as it was.
// Hosts that lost power would have renewed the suspicion for as long as they were listed.
BOOST_AUTO_TEST_CASE(suspicionEndsThoughHostsStayAway)
{
    const DataCentreId home("akl-a");
    OwnLink link(home);
    TimePoint time = TimePoint() + Milliseconds(100'000);
    Milliseconds suspected(0);
    constexpr Milliseconds step(20);
    for (Milliseconds at(0); at < Milliseconds(8000); at += step, time += step) {
        const auto number = static_cast<std::uint16_t>(1 + at.count() / step.count() % 12);
        link.recordFailure(Address{"10.0.0.1", number}, home, time);
        suspected += link.isSuspected(time) ? step : Milliseconds(0);
    }
    BOOST_TEST(suspected.count() > 500);
    BOOST_TEST(suspected.count() <= 2000);
}

BOOST_AUTO_TEST_CASE(cutDataCentreIsNotTakenForTheOwnLink)
{
    for (std::uint16_t i = 0; i < 3; ++i)
        answer(i);
    for (std::uint16_t i = 8; i < 16; ++i) {
        BOOST_TEST(!placement.recordUnreachable(host(i), ConnectFailure::TimedOut, time));
        BOOST_TEST(isBackedOff(i));
    }
}

BOOST_AUTO_TEST_CASE(fewFailuresAmongManyAnswersAreTheHostsOwn)
{
    for (int round = 0; round < 3; ++round) {
        for (std::uint16_t i = 7; i < 16; ++i)
            answer(i);
    }
    for (std::uint16_t i = 0; i < 7; ++i) {
        BOOST_TEST(!placement.recordUnreachable(host(i), ConnectFailure::TimedOut, time));
        BOOST_TEST(isBackedOff(i));
    }
}

// Each node is told nothing by a silent server, and calls it only to find out.
BOOST_AUTO_TEST_CASE(silentServersGetAThirdOfTheirCallsAtMost)
{
    FleetLoadSettings settings;
    settings.nodes = 13;
    settings.servers = 20;
    settings.silentServers = 2;
    settings.load = 0.5;
    settings.seed = testSeed(51);
    const FleetLoadResult result = FleetLoad(settings).run();
    BOOST_TEST(result.toSilentServers < result.calls * 0.1 / 3.0);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace cornelhead
