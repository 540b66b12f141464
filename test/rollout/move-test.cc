// Tests the encoding of moves and the sums of outcomes.
#include "cornelhead/rollout/move.h"

#include <boost/test/unit_test.hpp>

#include "cornelhead/rollout/outcome.h"

namespace cornelhead {
namespace {

Move sampleMove()
{
    Move move;
    move.service = ServiceId("bookings");
    move.oldVersion = VersionId("v1");
    move.newVersion = VersionId("v2");
    move.state = MoveState::Watching;
    move.share = PerMille(1000);
    move.startedAtMs = 1000;
    move.deadlineMs = 16000;
    move.edit = EditId("edit-1");
    move.verdict = "line \"quoted\"\n\xff";
    move.refusedVersions = {VersionId("v0")};
    move.baseline[{move.service, move.oldVersion, RouteId("/book"), DataCentreId("akl-a")}]
            = OutcomeSums{.calls = 9, .failures = 1, .shed = 0, .cold = 2};
    addMoveEvent(move, 1000, "started", EditId("edit-1"));
    move.events.back().newer = {7, 1, Microseconds(8000)};
    return move;
}

} // namespace

BOOST_AUTO_TEST_SUITE(move)

BOOST_AUTO_TEST_CASE(decodesWhatItEncoded)
{
    const Move move = sampleMove();
    const Result<Move> decoded = decodeMove(encodeMove(move));
    BOOST_REQUIRE(decoded.has_value());
    const Move read = *decoded;
    BOOST_TEST(encodeMove(read) == encodeMove(move));
    BOOST_TEST((read.state == MoveState::Watching));
    BOOST_TEST(read.deadlineMs == 16000);
    BOOST_TEST(read.events.front().newer.latencyP95.count() == 8000);
    BOOST_TEST(read.baseline.begin()->second.cold == 2);
    BOOST_TEST(containsEdit(read, EditId("edit-1")));
    BOOST_TEST(read.refusedVersions.contains(VersionId("v0")));
}

BOOST_AUTO_TEST_CASE(rejectsMalformedBytes)
{
    const std::string good = encodeMove(sampleMove());
    for (std::size_t length = 0; length < good.size(); ++length)
        BOOST_TEST(!decodeMove(good.substr(0, length)).has_value());
    for (const std::string bytes : {"[]", "null", "{\"service\":7}", "\xff\xfe"})
        BOOST_TEST((decodeMove(bytes).error().kind == ErrorKind::InvalidMessage));
    std::string tooMuch = good;
    tooMuch.replace(tooMuch.rfind("\"share\":1000"), 12, "\"share\":1001");
    BOOST_TEST(!decodeMove(tooMuch).has_value());
}

BOOST_AUTO_TEST_CASE(limitsEventsAndKeepsTheFirst)
{
    Move move = sampleMove();
    for (int i = 0; i < 1000; ++i)
        addMoveEvent(move, i, "step");
    BOOST_TEST(move.events.size() == maxMoveEvents);
    BOOST_TEST(move.events.front().text == "started");
    BOOST_TEST(move.events.back().atMs == 999);
}

BOOST_AUTO_TEST_CASE(putsLatenciesInDoublingBuckets)
{
    BOOST_TEST(latencyBucket(Microseconds(0)) == 0);
    BOOST_TEST(latencyBucket(Microseconds(250)) == 0);
    BOOST_TEST(latencyBucket(Microseconds(251)) == 1);
    BOOST_TEST(latencyBucket(Microseconds(500)) == 1);
    BOOST_TEST(latencyBucket(Microseconds(4'096'001)) == 15);
    BOOST_TEST(latencyBucket(Microseconds(std::int64_t(1) << 50)) == 15);
}

BOOST_AUTO_TEST_CASE(addsOutcomesByKey)
{
    const OutcomeKey key{ServiceId("s"), VersionId("v"), RouteId("r"), DataCentreId("d")};
    OutcomeSums sums{.calls = 3, .failures = 1, .shed = 1, .cold = 1};
    sums.latencies[2] = 2;
    OutcomeBatch batch{{key, sums}};
    mergeOutcomes(batch, {{key, sums}});
    BOOST_TEST(batch[key].calls == 6);
    BOOST_TEST(batch[key].latencies[2] == 4);
    BOOST_TEST(batch[key].cold == 2);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace cornelhead
