// Tests which nodes are taken as gone, and which record wins.
#include <boost/test/unit_test.hpp>

#include "cornelhead/membership/endpoint-registry.h"

namespace cornelhead {
namespace {

const NodeId relay("relay");
const NodeId otherRelay("other-relay");
const DataCentreId here("akl-a");
const DataCentreId there("hlz-a");

NodeRecord recordOf(int number, std::uint64_t sequence, const DataCentreId &dataCentre = here)
{
    NodeRecord record;
    record.info.id = NodeId("node-" + std::to_string(number));
    record.info.dataCentre = dataCentre;
    record.info.inner = {"127.0.0.1", static_cast<std::uint16_t>(1000 + number)};
    record.sequence = RecordSequence(sequence);
    record.caretaker = relay;
    Endpoint server;
    server.id = ServerId("server-" + std::to_string(number));
    server.service = ServiceId("bookings");
    record.servers = {server};
    return record;
}

struct Fixture
{
    ManualClock hand;
    EndpointRegistry registry{relay, here, hand, {}};

    void addNodes(int count)
    {
        for (int i = 0; i < count; ++i)
            registry.merge(recordOf(i, 1));
    }
    std::size_t living() const { return registry.table()->nodes.size(); }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(endpointRegistry, Fixture)

BOOST_AUTO_TEST_CASE(givesUpAFewSilentNodesSoon)
{
    addNodes(10);
    hand.advance(Milliseconds(1500));
    for (int i = 2; i < 10; ++i)
        registry.heard(NodeId("node-" + std::to_string(i)));
    BOOST_TEST(registry.expire({relay}).size() == 2);
    BOOST_TEST(living() == 8);
    BOOST_TEST(registry.table()->servers.at(ServiceId("bookings")).size() == 8);
}

BOOST_AUTO_TEST_CASE(doubtsASilenceOfMostNodesAtOnce)
{
    addNodes(10);
    hand.advance(Milliseconds(5000));
    BOOST_TEST(registry.expire({relay}).empty());
    hand.advance(Milliseconds(30000));
    BOOST_TEST(registry.expire({relay}).size() == 10);
}

BOOST_AUTO_TEST_CASE(leavesNodesOfALostCaretakerTimeToAttachElsewhere)
{
    NodeRecord orphan = recordOf(1, 1);
    orphan.caretaker = otherRelay;
    registry.merge(orphan);
    BOOST_TEST(registry.expire({relay}).empty());
    hand.advance(Milliseconds(5900));
    BOOST_TEST(registry.expire({relay}).empty());
    registry.merge(recordOf(1, 2));
    hand.advance(Milliseconds(200));
    BOOST_TEST(registry.expire({relay}).empty());
    BOOST_TEST(living() == 1);
}

BOOST_AUTO_TEST_CASE(keepsServersOfADataCentreThatIsCutOff)
{
    registry.merge(recordOf(1, 1, there));
    BOOST_TEST(registry.setReachable(there, false));
    hand.advance(Milliseconds(299000));
    BOOST_TEST(!registry.collectGarbage());
    BOOST_TEST(registry.table()->unreachable.contains(there));
    BOOST_TEST(living() == 1);
    hand.advance(Milliseconds(1000));
    BOOST_TEST(registry.collectGarbage());
    BOOST_TEST(living() == 0);
}

BOOST_AUTO_TEST_CASE(doesNotReviveWhatIsGone)
{
    NodeRecord gone = recordOf(1, 2);
    gone.gone = true;
    registry.merge(recordOf(1, 1));
    BOOST_TEST(registry.merge(gone));
    BOOST_TEST(!registry.merge(recordOf(1, 1)));
    BOOST_TEST(!registry.merge(recordOf(1, 2)));
    BOOST_TEST(living() == 0);
    BOOST_TEST(registry.merge(recordOf(1, 3)));
    BOOST_TEST(living() == 1);
}

BOOST_AUTO_TEST_CASE(buriesAnEarlierRunAtTheSameAddress)
{
    NodeRecord later = recordOf(1, 1);
    later.info.id = NodeId("node-1-again");
    later.info.startedAtMs = 5;
    registry.merge(later);
    // Comes late, after the run that replaced it.
    registry.merge(recordOf(1, 9));
    BOOST_TEST(living() == 1);
    BOOST_TEST(registry.table()->nodes.contains(NodeId("node-1-again")));
}

BOOST_AUTO_TEST_CASE(equalRecordsHaveEqualHashes)
{
    EndpointRegistry other(otherRelay, here, hand, {});
    registry.merge(recordOf(1, 1));
    registry.merge(recordOf(2, 1));
    other.merge(recordOf(2, 1));
    BOOST_TEST(registry.hash(here) != other.hash(here));
    BOOST_TEST(other.recordsNewerThan(here, registry.known(here)).empty());
    for (const NodeRecord &record : registry.recordsNewerThan(here, other.known(here)))
        other.merge(record);
    BOOST_TEST(registry.hash(here) == other.hash(here));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace cornelhead
