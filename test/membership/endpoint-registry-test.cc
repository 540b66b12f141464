// Tests when nodes are marked as gone, and which record supersedes another.
#include <boost/test/unit_test.hpp>

#include "cornelhead/membership/endpoint-registry.h"

namespace cornelhead {
namespace {

const NodeId relay("relay");
const NodeId otherRelay("other-relay");
const DataCentreId localDataCentre("akl-a");
const DataCentreId remoteDataCentre("hlz-a");

NodeRecord recordOf(int number, std::uint64_t sequence,
                    const DataCentreId &dataCentre = localDataCentre)
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
    ManualClock clock;
    EndpointRegistry registry{relay, localDataCentre, clock, {}};

    void addNodes(int count)
    {
        for (int i = 0; i < count; ++i)
            registry.merge(recordOf(i, 1));
    }
    std::size_t liveNodes() const { return registry.table()->nodes.size(); }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(endpointRegistry, Fixture)

BOOST_AUTO_TEST_CASE(expiresAFewTimedOutNodesAtTheHeartbeatTimeout)
{
    addNodes(10);
    clock.advance(Milliseconds(1500));
    for (int i = 2; i < 10; ++i)
        registry.recordHeartbeat(NodeId("node-" + std::to_string(i)));
    BOOST_TEST(registry.expire({relay}).size() == 2);
    BOOST_TEST(liveNodes() == 8);
    BOOST_TEST(registry.table()->servers.at(ServiceId("bookings")).size() == 8);
}

BOOST_AUTO_TEST_CASE(delaysExpiryWhenMostNodesTimeOutAtOnce)
{
    addNodes(10);
    clock.advance(Milliseconds(5000));
    BOOST_TEST(registry.expire({relay}).empty());
    clock.advance(Milliseconds(30000));
    BOOST_TEST(registry.expire({relay}).size() == 10);
}

BOOST_AUTO_TEST_CASE(nodesOfALostCaretakerHaveAGracePeriodToAttachElsewhere)
{
    NodeRecord orphan = recordOf(1, 1);
    orphan.caretaker = otherRelay;
    registry.merge(orphan);
    BOOST_TEST(registry.expire({relay}).empty());
    clock.advance(Milliseconds(5900));
    BOOST_TEST(registry.expire({relay}).empty());
    registry.merge(recordOf(1, 2));
    clock.advance(Milliseconds(200));
    BOOST_TEST(registry.expire({relay}).empty());
    BOOST_TEST(liveNodes() == 1);
}

BOOST_AUTO_TEST_CASE(retainsServersOfAnUnreachableDataCentre)
{
    registry.merge(recordOf(1, 1, remoteDataCentre));
    BOOST_TEST(registry.setReachable(remoteDataCentre, false));
    clock.advance(Milliseconds(299000));
    BOOST_TEST(!registry.collectGarbage());
    BOOST_TEST(registry.table()->unreachable.contains(remoteDataCentre));
    BOOST_TEST(liveNodes() == 1);
    clock.advance(Milliseconds(1000));
    BOOST_TEST(registry.collectGarbage());
    BOOST_TEST(liveNodes() == 0);
}

BOOST_AUTO_TEST_CASE(goneRecordIsSupersededByALaterSequenceOnly)
{
    NodeRecord gone = recordOf(1, 2);
    gone.gone = true;
    registry.merge(recordOf(1, 1));
    BOOST_TEST(registry.merge(gone));
    BOOST_TEST(!registry.merge(recordOf(1, 1)));
    BOOST_TEST(!registry.merge(recordOf(1, 2)));
    BOOST_TEST(liveNodes() == 0);
    BOOST_TEST(registry.merge(recordOf(1, 3)));
    BOOST_TEST(liveNodes() == 1);
}

BOOST_AUTO_TEST_CASE(marksAnEarlierRunAtTheSameAddressAsGone)
{
    NodeRecord later = recordOf(1, 1);
    later.info.id = NodeId("node-1-again");
    later.info.startedAtMs = 5;
    registry.merge(later);
    // The record of the earlier run arrives after the one of the run that replaced it.
    registry.merge(recordOf(1, 9));
    BOOST_TEST(liveNodes() == 1);
    BOOST_TEST(registry.table()->nodes.contains(NodeId("node-1-again")));
}

BOOST_AUTO_TEST_CASE(equalRecordsHaveEqualHashes)
{
    EndpointRegistry other(otherRelay, localDataCentre, clock, {});
    registry.merge(recordOf(1, 1));
    registry.merge(recordOf(2, 1));
    other.merge(recordOf(2, 1));
    BOOST_TEST(registry.hash(localDataCentre) != other.hash(localDataCentre));
    BOOST_TEST(other.recordsNewerThan(localDataCentre, registry.recordVersions(localDataCentre))
                       .empty());
    for (const NodeRecord &record :
         registry.recordsNewerThan(localDataCentre, other.recordVersions(localDataCentre)))
        other.merge(record);
    BOOST_TEST(registry.hash(localDataCentre) == other.hash(localDataCentre));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace cornelhead
