// Tests what large bodies cost on links, their queue at the caller's node and the rooms held for
// them at the server's node.
#include <algorithm>

#include <boost/test/unit_test.hpp>

#include "cornelhead/base/random.h"
#include "cornelhead/routing/room-reservations.h"
#include "cornelhead/routing/upload-queue.h"

namespace cornelhead {

const LinkSpeed narrow = LinkSpeed::fromMbps(10.0);
constexpr std::uint64_t body = 125'000; // 100 ms of the narrow link.

struct UploadFixture
{
    UploadQueue queue{narrow};
    TimePoint time{Milliseconds(1000)};
    std::vector<UploadTicket> expired;
    std::uint64_t lastTicket = 0;

    UploadQueue::Verdict add(Milliseconds useful, Milliseconds deadline = Milliseconds(2000))
    {
        return queue.add(Upload{UploadTicket(++lastTicket), body, time + useful, time + deadline},
                         time);
    }
    std::uint64_t next()
    {
        const auto ticket = queue.startNext(time, expired);
        return ticket ? ticket->value() : 0;
    }
};

BOOST_FIXTURE_TEST_SUITE(uploads, UploadFixture)

BOOST_AUTO_TEST_CASE(onlyBodiesThatTakeLongOnALinkAreLarge)
{
    const LinkSpeed wide = LinkSpeed::fromMbps(1000.0);
    BOOST_TEST(!isLargeBody({16 * 1024, narrow}, narrow));
    BOOST_TEST(isLargeBody({20'000, narrow}, LinkSpeed()));
    BOOST_TEST(isLargeBody({20'000, wide}, narrow));
    BOOST_TEST(!isLargeBody({360'000, wide}, wide));
    BOOST_TEST(!isLargeBody({360'000, LinkSpeed()}, LinkSpeed()));
}

BOOST_AUTO_TEST_CASE(bytesOnTheWayToAHostDelayABody)
{
    const OutgoingBody upload{body, narrow};
    BOOST_TEST((arrivalTime(upload, {}, Microseconds(0)) == Milliseconds(100)));
    const InboundLoad host{2 * body, narrow};
    BOOST_TEST((arrivalTime(upload, host, Microseconds(0)) == Milliseconds(300)));
    BOOST_TEST((arrivalTime(upload, host, Milliseconds(150)) == Milliseconds(150)));
    BOOST_TEST((arrivalTime(upload, host, Milliseconds(900)) == Milliseconds(100)));
    BOOST_TEST((arrivalTime({1000, narrow}, host, Microseconds(0)) == Microseconds(0)));
}

BOOST_AUTO_TEST_CASE(twoBodiesAreSentAndTheMostUrgentIsNext)
{
    BOOST_TEST((add(Milliseconds(800)) == UploadQueue::Verdict::Start));
    BOOST_TEST((add(Milliseconds(800)) == UploadQueue::Verdict::Start));
    BOOST_TEST((add(Milliseconds(900)) == UploadQueue::Verdict::Wait));
    BOOST_TEST((add(Milliseconds(600)) == UploadQueue::Verdict::Wait));
    BOOST_TEST(queue.waitingBytes() == 2 * body);
    BOOST_TEST((queue.backlog(time) == Milliseconds(400)));
    BOOST_TEST(next() == 0U);
    time += Milliseconds(100);
    queue.remove(UploadTicket(1));
    BOOST_TEST(next() == 4U);
}

BOOST_AUTO_TEST_CASE(bodiesThatTakeLongAreSentAlone)
{
    const auto addBytes = [&](std::uint64_t bytes) {
        return queue.add(Upload{UploadTicket(++lastTicket), bytes, time + Milliseconds(800),
                                TimePoint::max()},
                         time);
    };
    BOOST_TEST((addBytes(3 * body) == UploadQueue::Verdict::Start));
    BOOST_TEST((addBytes(body / 2) == UploadQueue::Verdict::Wait));
    time += Milliseconds(100);
    BOOST_TEST(next() == 2U);
}

BOOST_AUTO_TEST_CASE(bodyThatCannotBeSentInTimeIsRefusedAtOnce)
{
    for (int i = 0; i < 7; ++i)
        add(Milliseconds(700));
    // 700 ms wait before it: it will be late, and must not be later than its deadline.
    BOOST_TEST((add(Milliseconds(700), Milliseconds(790)) == UploadQueue::Verdict::Refuse));
    BOOST_TEST((add(Milliseconds(700), Milliseconds(900)) == UploadQueue::Verdict::Wait));
    // It goes behind one that is not late.
    BOOST_TEST((add(Milliseconds(850)) == UploadQueue::Verdict::Wait));
    std::vector<std::uint64_t> order;
    for (std::uint64_t sent : {1, 2, 3, 4, 5, 6, 7}) {
        time += Milliseconds(100);
        queue.remove(UploadTicket(sent));
        order.push_back(next());
    }
    BOOST_TEST((order == std::vector<std::uint64_t>{3, 4, 5, 6, 7, 10, 9}));
    BOOST_TEST(expired.empty());
}

BOOST_AUTO_TEST_CASE(waitingBodyThatMissesItsDeadlineIsRemoved)
{
    add(Milliseconds(800));
    add(Milliseconds(800));
    add(Milliseconds(400), Milliseconds(400));
    time += Milliseconds(350);
    queue.remove(UploadTicket(1));
    BOOST_TEST(next() == 0U);
    BOOST_TEST((expired == std::vector{UploadTicket(3)}));
}

BOOST_AUTO_TEST_CASE(bodyThatItsHostDoesNotReadFreesItsPlace)
{
    add(Milliseconds(800));
    add(Milliseconds(800));
    add(Milliseconds(1800));
    time += Milliseconds(600);
    queue.sweep(time);
    BOOST_TEST(next() == 0U);
    time += Milliseconds(200);
    queue.sweep(time);
    BOOST_TEST(next() == 3U);
}

BOOST_AUTO_TEST_SUITE_END()

struct RoomFixture
{
    ServerGate gate;
    RoomReservations rooms{gate};
    TimePoint time{Milliseconds(1000)};
    std::vector<GateTicket> expired;
    std::uint64_t lastTicket = 0;

    RoomFixture()
    {
        gate.setSlots(2);
        rooms.setLink(narrow);
    }
    GateRequest makeRequest(Milliseconds timeout)
    {
        return GateRequest{GateTicket(++lastTicket), 1, Milliseconds(100), time + timeout};
    }
    ServerGate::Verdict offer(const std::string &id, Milliseconds timeout = Milliseconds(800))
    {
        const GateRequest place = makeRequest(timeout);
        const auto verdict = gate.judgeRoom(place, rooms.arrivalTime(body), time);
        if (verdict != ServerGate::Verdict::Refuse)
            rooms.hold(id, place, body, time);
        return verdict;
    }
    ServerGate::Verdict call() { return gate.offer(makeRequest(Milliseconds(800)), time, expired); }
};

BOOST_FIXTURE_TEST_SUITE(rooms, RoomFixture)

BOOST_AUTO_TEST_CASE(heldRoomCountsAsWaitingButHoldsUpNoCall)
{
    for (const char *id : {"a", "b", "c"})
        BOOST_TEST((offer(id) == ServerGate::Verdict::Start));
    BOOST_TEST((offer("d") == ServerGate::Verdict::Wait));
    BOOST_TEST(gate.load(time).waiting == 4U);
    BOOST_TEST((gate.load(time).wait > Microseconds(0)));
    BOOST_TEST((call() == ServerGate::Verdict::Start));
    BOOST_TEST(rooms.load().bytes == 4 * body);
}

BOOST_AUTO_TEST_CASE(roomIsRefusedWhenTheBodyWouldArriveTooLate)
{
    for (const char *id : {"a", "b", "c"})
        offer(id, Milliseconds(2000));
    // Bytes of 400 ms and work of 100 ms.
    BOOST_TEST((offer("d", Milliseconds(490)) == ServerGate::Verdict::Refuse));
    BOOST_TEST(rooms.size() == 3U);
    BOOST_TEST((offer("d", Milliseconds(510)) == ServerGate::Verdict::Wait));
}

BOOST_AUTO_TEST_CASE(linkIsFullWhenSmallCallsWouldWaitLong)
{
    BOOST_TEST(!rooms.isLinkFull(10 * body));
    offer("a");
    BOOST_TEST(!rooms.isLinkFull(body));
    BOOST_TEST(rooms.isLinkFull(2 * body));
}

BOOST_AUTO_TEST_CASE(callThatComesStartsBeforeCallsThatCameMeanwhile)
{
    offer("a");
    for (int i = 0; i < 4; ++i)
        call();
    BOOST_TEST(rooms.take("a"));
    BOOST_TEST(!rooms.take("a"));
    const GateRequest late = makeRequest(Milliseconds(800));
    BOOST_TEST((gate.admitHeld(late, time, expired) == ServerGate::Verdict::Wait));
    BOOST_TEST(gate.load(time).waiting == 2U);
    gate.remove(GateTicket(2));
    BOOST_TEST((gate.startNext(time, expired) == late.ticket));
}

BOOST_AUTO_TEST_CASE(roomExpiresWhenTheCallDoesNotCome)
{
    offer("a");
    time += Milliseconds(600);
    BOOST_TEST(rooms.removeExpired(time) == 0U);
    time += Milliseconds(200);
    BOOST_TEST(rooms.removeExpired(time) == 1U);
    BOOST_TEST(!rooms.take("a"));
    BOOST_TEST(rooms.load().bytes == 0U);
    BOOST_TEST(gate.load(time).waiting == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace cornelhead
