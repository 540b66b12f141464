// Tests the state that a node keeps of its own host's server, and the directory of other hosts.
#include <boost/test/unit_test.hpp>

#include "cornelhead/membership/host-entry.h"
#include "cornelhead/membership/local-server.h"

namespace cornelhead {

ServerAnnouncement announcementOf(const std::string &id, std::int64_t startedAtMs,
                                  std::uint64_t sequence, ServerState state = ServerState::Serving)
{
    ServerAnnouncement announcement;
    announcement.server
            = HostedServer{ServerId(id), ServiceId("bookings"), VersionId("v1"), 9, state};
    announcement.startedAtMs = startedAtMs;
    announcement.sequence = sequence;
    return announcement;
}

using UpdateResult = LocalServer::UpdateResult;

BOOST_AUTO_TEST_SUITE(local_server)

BOOST_AUTO_TEST_CASE(lateHeartbeatOfAnEarlierRunIsStale)
{
    LocalServer server;
    BOOST_TEST((server.apply(announcementOf("old", 100, 1)) == UpdateResult::Changed));
    BOOST_TEST((server.apply(announcementOf("new", 200, 1)) == UpdateResult::Changed));
    BOOST_TEST((server.apply(announcementOf("old", 100, 9)) == UpdateResult::Stale));
    BOOST_TEST(server.usable()->id.value() == "new");
}

BOOST_AUTO_TEST_CASE(drainingServerDoesNotReturnToServingInTheSameRun)
{
    LocalServer server;
    server.apply(announcementOf("s", 100, 1));
    server.apply(announcementOf("s", 100, 3, ServerState::Draining));
    BOOST_TEST((server.apply(announcementOf("s", 100, 2)) == UpdateResult::Stale));
    BOOST_TEST((server.apply(announcementOf("s", 100, 4)) == UpdateResult::Unchanged));
    BOOST_TEST(!server.usable());
}

BOOST_AUTO_TEST_CASE(noticeHoldsForOneRunOfTheServer)
{
    LocalServer server;
    server.apply(announcementOf("s", 100, 1));
    BOOST_TEST((server.apply(ServerNotice{CallRate(12.5), false}) == UpdateResult::Changed));
    BOOST_TEST((server.apply(ServerNotice{CallRate(12.5), false}) == UpdateResult::Unchanged));
    server.apply(announcementOf("s", 100, 2));
    BOOST_TEST((server.notice().limit == CallRate(12.5)));
    server.apply(announcementOf("s", 200, 1));
    BOOST_TEST(!server.notice().limit);
}

BOOST_AUTO_TEST_CASE(serverThatLeavesIsDrainingForTheRestOfItsRun)
{
    LocalServer server;
    server.apply(announcementOf("s", 100, 1));
    server.apply(ServerNotice{std::nullopt, true});
    BOOST_TEST(!server.usable());
    BOOST_TEST((server.published()->state == ServerState::Draining));
    server.apply(announcementOf("s", 100, 2));
    server.apply(ServerNotice());
    BOOST_TEST(!server.usable());
    server.apply(announcementOf("s", 200, 1));
    BOOST_TEST(server.usable());
}

BOOST_AUTO_TEST_CASE(restartUnderTheSameIdIsANewRun)
{
    LocalServer server;
    server.apply(announcementOf("s", 100, 50, ServerState::Draining));
    BOOST_TEST((server.apply(announcementOf("s", 200, 1)) == UpdateResult::Changed));
    BOOST_TEST(server.usable());
}

// The node restarts, the server leaves before its first heartbeat to the new run, and a heartbeat
// from before arrives late.
BOOST_AUTO_TEST_CASE(departedServerThatWasAdoptedDoesNotReturn)
{
    LocalServer earlier;
    earlier.apply(announcementOf("s", 100, 7));
    LocalServer server;
    BOOST_TEST(server.adopt(*earlier.published()));
    BOOST_TEST(server.markHealthy(ServerId("s")));
    BOOST_TEST((server.apply(ServerDeparture{ServerId("s")}) == UpdateResult::Changed));
    BOOST_TEST((server.apply(announcementOf("s", 100, 6)) == UpdateResult::Stale));
    BOOST_TEST(!server.usable());
    BOOST_TEST(server.hasLeft());
}

// The earlier run may have acknowledged that the server leaves, without having published it.
BOOST_AUTO_TEST_CASE(adoptedServerIsNotUsedBeforeAHealthCheck)
{
    LocalServer earlier;
    earlier.apply(announcementOf("s", 100, 7));
    LocalServer server;
    BOOST_TEST(server.adopt(*earlier.published()));
    server.apply(announcementOf("s", 100, 8));
    BOOST_TEST(!server.usable());
    BOOST_TEST(server.markHealthy(ServerId("s")));
    BOOST_TEST(server.usable());
}

BOOST_AUTO_TEST_CASE(newRunOfAnAdoptedServerIsUsedAtOnce)
{
    LocalServer earlier;
    earlier.apply(announcementOf("s", 100, 7));
    LocalServer server;
    BOOST_TEST(server.adopt(*earlier.published()));
    BOOST_TEST((server.apply(announcementOf("s", 200, 1)) == UpdateResult::Changed));
    BOOST_TEST(server.usable());
}

BOOST_AUTO_TEST_CASE(lateHeartbeatOfADepartedServerIsIgnored)
{
    LocalServer server;
    server.apply(announcementOf("s", 100, 1));
    BOOST_TEST((server.apply(ServerDeparture{ServerId("s")}) == UpdateResult::Changed));
    BOOST_TEST(!server.usable());
    server.apply(announcementOf("s", 100, 2));
    BOOST_TEST(!server.usable());
    BOOST_TEST((server.apply(ServerDeparture{ServerId("other")}) == UpdateResult::Stale));
}

// DRAIN: the node had just restarted when its server left, and used it after a late heartbeat.
BOOST_AUTO_TEST_CASE(departureOfAnUnknownServerIsRemembered)
{
    const ServerDeparture departure{ServerId("s"), 500};
    LocalServer server;
    BOOST_TEST((server.apply(departure) == UpdateResult::Unchanged));
    BOOST_TEST((server.apply(announcementOf("s", 100, 9)) == UpdateResult::Stale));
    BOOST_TEST(!server.adopt(announcementOf("s", 100, 9).server));
    BOOST_TEST(!server.usable());
    BOOST_TEST(server.hasLeft());
    // The server started again under the same id.
    BOOST_TEST((server.apply(announcementOf("s", 600, 1)) == UpdateResult::Changed));
    BOOST_TEST(server.usable());
}

BOOST_AUTO_TEST_CASE(departureOfAnUnknownServerConcernsNoOther)
{
    LocalServer server;
    server.apply(ServerDeparture{ServerId("former"), 500});
    BOOST_TEST(server.adopt(announcementOf("s", 100, 1).server));
    BOOST_TEST((server.apply(announcementOf("s", 100, 2)) != UpdateResult::Stale));
}

BOOST_AUTO_TEST_CASE(serversWithoutStartTimeAreDistinguishedById)
{
    LocalServer server;
    server.apply(announcementOf("one", 0, 7));
    BOOST_TEST((server.apply(announcementOf("two", 0, 1)) == UpdateResult::Changed));
    BOOST_TEST(server.usable()->id.value() == "two");
}

BOOST_AUTO_TEST_CASE(downServerIsNotPublishedUntilAHealthCheckSucceeds)
{
    LocalServer server;
    server.apply(announcementOf("s", 100, 1));
    BOOST_TEST(server.markDown());
    BOOST_TEST(!server.published());
    BOOST_TEST(!server.markHealthy(ServerId("other")));
    BOOST_TEST(server.markHealthy(ServerId("s")));
    BOOST_TEST(server.published().has_value());
}

BOOST_AUTO_TEST_CASE(adoptedServerIsUsableOnlyAfterAHealthCheck)
{
    LocalServer server;
    const HostedServer published = announcementOf("s", 0, 0).server;
    BOOST_TEST(server.adopt(published));
    BOOST_TEST(!server.usable());
    BOOST_TEST(server.markHealthy(ServerId("s")));
    BOOST_TEST(server.usable());
    BOOST_TEST(!server.adopt(published));
}

BOOST_AUTO_TEST_SUITE_END()

struct DirectoryFixture
{
    HostDirectory directory;
    TimePoint time{Milliseconds(1000)};
    HostEntry entry;

    DirectoryFixture()
    {
        entry.node = Address{"10.0.0.1", 80};
        entry.run = NodeId("r1");
        entry.dataCentre = DataCentreId("akl-a");
        entry.server = announcementOf("s", 1, 1).server;
    }
    bool removeExpired(bool answers = false)
    {
        return directory.removeExpired(time, [answers](const Address &) { return answers; });
    }
};

BOOST_FIXTURE_TEST_SUITE(host_directory, DirectoryFixture)

BOOST_AUTO_TEST_CASE(hostEntryRoundTrips)
{
    entry.isStopping = true;
    const Result<HostEntry> read = decodeHostEntry(encodeHostEntry(entry));
    BOOST_REQUIRE(read);
    BOOST_TEST((*read == entry));
    for (const char *bad : {"", "[]", "{}", R"({"node":"x","run":"r","dataCentre":"d"})",
                            R"({"node":7,"run":"r","dataCentre":"d"})"})
        BOOST_TEST(!decodeHostEntry(bad));
}

// An entry of another writer became a server with four billion slots.
BOOST_AUTO_TEST_CASE(hostEntryWithOddValuesNamesNoServer)
{
    entry.node = Address{"10.0.0.9", 8080};
    const std::string sound = encodeHostEntry(entry);
    const auto with = [&sound](const std::string &from, const std::string &to) {
        std::string text = sound;
        BOOST_REQUIRE(text.find(from) != std::string::npos);
        return text.replace(text.find(from), from.size(), to);
    };
    const std::string slots = "\"slots\":" + std::to_string(entry.server->slots);
    for (const char *number : {"0", "-1", "1.5", "4294967296", "18446744073709551615", "1e30",
                               "1e400", "\"9\"", "null", "[]"})
        BOOST_TEST(!decodeHostEntry(with(slots, std::string("\"slots\":") + number)), number);
    for (const char *number : {"-1", "1e300", "9223372036854775808"}) {
        BOOST_TEST(
                !decodeHostEntry(with("\"startedAt\":0", std::string("\"startedAt\":") + number)));
        BOOST_TEST(
                !decodeHostEntry(with("\"followers\":0", std::string("\"followers\":") + number)));
    }
    for (const char *port : {":0", ":-1", ":65536", ":4294975376", ":8080x", ""})
        BOOST_TEST(!decodeHostEntry(with(":8080", port)), port);
    BOOST_TEST(!decodeHostEntry(with("\"serving\"", "\"asleep\"")));
    const std::size_t deep = 10'000;
    BOOST_TEST(!decodeHostEntry(
            with(slots, "\"slots\":" + std::string(deep, '[') + std::string(deep, ']'))));
    BOOST_TEST(!decodeHostEntry(std::string(1'000'000, '[')));
    BOOST_TEST(!decodeHostEntry(with("\"serving\"", "\"\xff\"")));
}

BOOST_AUTO_TEST_CASE(hostWithExpiredLeaseIsKeptForTheGracePeriod)
{
    directory.put(entry);
    directory.markAbsent(entry.node, time);
    time += HostDirectory::absenceGracePeriod;
    BOOST_TEST(!removeExpired());
    time += Milliseconds(1);
    BOOST_TEST(removeExpired());
    BOOST_TEST(directory.hosts().empty());
}

BOOST_AUTO_TEST_CASE(unlistedHostIsKeptWhileItsNodeAnswers)
{
    directory.put(entry);
    directory.markAbsent(entry.node, time);
    time += Milliseconds(60'000);
    BOOST_TEST(!removeExpired(true));
    BOOST_TEST(removeExpired(false));
}

BOOST_AUTO_TEST_CASE(stoppingHostIsRemovedAtOnceWhenAbsent)
{
    entry.isStopping = true;
    directory.put(entry);
    BOOST_TEST(directory.markAbsent(entry.node, time));
    BOOST_TEST(directory.hosts().empty());
}

BOOST_AUTO_TEST_CASE(outageOfTheServiceRestartsTheGracePeriod)
{
    directory.put(entry);
    directory.replaceAll({}, time);
    time += Milliseconds(9000);
    directory.restartGracePeriods(time);
    BOOST_TEST(!removeExpired());
    BOOST_TEST(directory.put(entry));
    time += Milliseconds(9000);
    BOOST_TEST(!removeExpired());
}

BOOST_AUTO_TEST_CASE(entryFromAPeerDoesNotReplaceAListedOne)
{
    directory.put(entry);
    HostEntry fromPeer = entry;
    fromPeer.run = NodeId("r0");
    BOOST_TEST(!directory.putFromPeer(fromPeer, time));
    BOOST_TEST(directory.find(entry.node)->entry.run.value() == "r1");
    directory.markAbsent(entry.node, time);
    BOOST_TEST(directory.putFromPeer(fromPeer, time));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace cornelhead
