// Tests the operator actions on moves.
#include "cornelhead/rollout/move-actions.h"

#include <boost/test/unit_test.hpp>

namespace cornelhead {
namespace {

const StartRequest request{ServiceId("bookings"), VersionId("v1"), VersionId("v2"), 60000};

OperatorEdit edit(const std::string &id, std::int64_t nowMs = 1000)
{
    return {EditId(id), nowMs};
}

Move startedMove()
{
    return startMove(std::nullopt, request, edit("start")).value();
}

bool isConflict(const Result<Move> &result)
{
    return !result && result.error().kind == ErrorKind::Conflict;
}

} // namespace

BOOST_AUTO_TEST_SUITE(moveActions)

BOOST_AUTO_TEST_CASE(startsWithNoShare)
{
    const Move move = startedMove();
    BOOST_TEST(move.share.value() == 0);
    BOOST_TEST((move.state == MoveState::Running));
    BOOST_TEST(move.events.size() == 1);
}

BOOST_AUTO_TEST_CASE(neverStartsARolledBackVersion)
{
    const Move back = rollBackMove(startedMove(), "wrong prices", edit("back")).value();
    BOOST_TEST(back.share.value() == 0);
    BOOST_TEST(isConflict(startMove(back, request, edit("again"))));
    StartRequest third = request;
    third.newVersion = VersionId("v3");
    Move done = startMove(back, third, edit("third")).value();
    done.state = MoveState::Done;
    const StartRequest again{ServiceId("bookings"), {}, VersionId("v2"), 60000};
    BOOST_TEST(isConflict(startMove(done, again, edit("much later"))));
}

BOOST_AUTO_TEST_CASE(refusesAConcurrentMoveOfTheService)
{
    StartRequest other = request;
    other.newVersion = VersionId("v3");
    Move move = startedMove();
    BOOST_TEST(isConflict(startMove(move, other, edit("other"))));
    move.state = MoveState::Watching;
    BOOST_TEST(isConflict(startMove(move, other, edit("other"))));
}

BOOST_AUTO_TEST_CASE(startsOnlyFromTheVersionInForce)
{
    Move done = startedMove();
    done.state = MoveState::Done;
    const StartRequest stale{ServiceId("bookings"), VersionId("v1"), VersionId("v3"), 60000};
    BOOST_TEST(isConflict(startMove(done, stale, edit("stale"))));
    const StartRequest open{ServiceId("bookings"), {}, VersionId("v3"), 60000};
    BOOST_TEST(startMove(done, open, edit("open")).value().oldVersion.value() == "v2");
}

BOOST_AUTO_TEST_CASE(repeatedEditHasNoEffect)
{
    const Move move = startedMove();
    const Move paused = pauseMove(move, edit("pause")).value();
    const Move resumed = resumeMove(paused, edit("resume")).value();
    // The response to the pause was lost, and the operator repeats the pause after the resume.
    BOOST_TEST((pauseMove(resumed, edit("pause")).value().state == MoveState::Running));
    BOOST_TEST(startMove(resumed, request, edit("start")).value().events.size() == 3);
}

BOOST_AUTO_TEST_CASE(finalMovesRefuseActions)
{
    for (const MoveState state : {MoveState::Done, MoveState::RolledBack}) {
        Move move = startedMove();
        move.state = state;
        BOOST_TEST(isConflict(rollBackMove(move, "", edit("a"))));
        BOOST_TEST(isConflict(pauseMove(move, edit("b"))));
        BOOST_TEST(isConflict(resumeMove(move, edit("c"))));
        BOOST_TEST(isConflict(hastenMove(move, 30000, edit("d"))));
    }
}

BOOST_AUTO_TEST_CASE(rollsBackWhileWatching)
{
    Move move = startedMove();
    move.state = MoveState::Watching;
    move.share = fullShare;
    const Move back = rollBackMove(move, "", edit("back")).value();
    BOOST_TEST((back.state == MoveState::RolledBack));
    BOOST_TEST(versionInForce(back).value() == "v1");
}

BOOST_AUTO_TEST_CASE(deadlineOnlyMovesForward)
{
    const Move move = startedMove();
    BOOST_TEST(hastenMove(move, 30000, edit("sooner")).value().deadlineMs == 30000);
    BOOST_TEST(!hastenMove(move, 70000, edit("later")).has_value());
    BOOST_TEST(!hastenMove(move, 900, edit("past")).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace cornelhead
