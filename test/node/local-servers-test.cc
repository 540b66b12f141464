// Tests parsing of announcements and tracking of local backend servers.
#include "cornelhead/node/local-servers.h"

#include <boost/test/unit_test.hpp>

namespace cornelhead {

const std::string announcement
        = R"({"server":"b-1","service":"bookings","version":"v1","address":"127.0.0.1:9000",
              "slots":10,"connections":130,"state":"serving"})";

struct Fixture
{
    ManualClock clock;
    LocalServers servers{clock, Milliseconds(2000),
                         NodeInfo{NodeId("n"), DataCentreId("akl-a"), {}, {}, 1000}};
};

BOOST_FIXTURE_TEST_SUITE(localServers, Fixture)

BOOST_AUTO_TEST_CASE(publishesOnlyChanges)
{
    Endpoint announced = readAnnouncement(announcement).value();
    const Endpoint first = servers.heartbeat(announced).value();
    BOOST_TEST(first.dataCentre.value() == "akl-a");
    BOOST_TEST(!servers.heartbeat(announced).has_value());
    announced.state = ServerState::Draining;
    BOOST_TEST(servers.heartbeat(announced).value().sequence > first.sequence);
}

BOOST_AUTO_TEST_CASE(removesServersWhoseHeartbeatTimedOut)
{
    servers.heartbeat(readAnnouncement(announcement).value());
    clock.advance(Milliseconds(1900));
    BOOST_TEST(servers.removeTimedOut().empty());
    clock.advance(Milliseconds(200));
    BOOST_TEST(servers.removeTimedOut().size() == 1);
    BOOST_TEST(servers.size() == 0);
}

BOOST_AUTO_TEST_CASE(rejectsInvalidAnnouncements)
{
    for (std::size_t size = 0; size < announcement.size(); ++size)
        BOOST_TEST(!readAnnouncement(announcement.substr(0, size)).has_value());
    for (const char *bad : {"[]", "{}", R"({"server":"b","service":"s","version":"v",
            "address":"host:1","slots":1,"connections":1,"state":"serving"})",
                            R"({"server":"b","service":"s","version":"v",
            "address":"127.0.0.1:1","slots":-1,"connections":1,"state":"serving"})"}) {
        const auto result = readAnnouncement(bad);
        BOOST_TEST(!result.has_value());
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace cornelhead
