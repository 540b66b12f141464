// Tests the controller and the circuit breaker on generated outcomes with a manual clock.
#include "cornelhead/rollout/controller.h"

#include <boost/test/unit_test.hpp>

#include "cornelhead/base/random.h"
#include "cornelhead/rollout/move-actions.h"

namespace cornelhead {
namespace {

const ServiceId service("bookings");
const VersionId oldVersion("v1");
const VersionId newVersion("v2");

/// A record with compare-and-swap, a constant call rate, and one controller.
struct Fixture
{
    Random random{7};
    MoveController controller;
    LocalCircuitBreaker breaker;
    Move record;
    std::int64_t nowMs = 1'000'000;
    double newFailures = 0.002;
    double oldFailures = 0.002;
    double callsPerTick = 10;

    explicit Fixture(std::int64_t moveMs = 15'000)
    {
        record = startMove(std::nullopt, {service, oldVersion, newVersion, nowMs + moveMs},
                           {EditId("start"), nowMs})
                         .value();
        record.modRevision = ModRevision(1);
        observe();
    }

    void observe()
    {
        controller.observe(record);
        breaker.observe(record);
    }

    void write(Move next)
    {
        BOOST_REQUIRE(next.modRevision == record.modRevision);
        next.modRevision = record.modRevision.next();
        record = next;
        observe();
    }

    void tick()
    {
        constexpr std::int64_t tickMs = 100;
        nowMs += tickMs;
        OutcomeBatch batch;
        for (int i = 0; i < callsPerTick; ++i) {
            const bool isNew = random.below(1000) < record.share.value();
            OutcomeSums &sums = batch[{service, isNew ? newVersion : oldVersion, RouteId("/book"),
                                       DataCentreId("akl-a")}];
            sums.calls += 1;
            sums.failures += random.chance(isNew ? newFailures : oldFailures) ? 1 : 0;
            sums.latencies[4 + random.below(3)] += 1;
        }
        breaker.addEvidence(batch, nowMs);
        controller.addEvidence(batch, nowMs);
        if (const auto next = controller.next(service, nowMs))
            write(*next);
    }

    void run(std::int64_t durationMs)
    {
        for (const std::int64_t endMs = nowMs + durationMs; nowMs < endMs;)
            tick();
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(controller)

BOOST_AUTO_TEST_CASE(goodVersionReachesFullShareByTheDeadline)
{
    Fixture fixture;
    fixture.run(15'000);
    BOOST_TEST((fixture.record.state == MoveState::Watching));
    BOOST_TEST(fixture.record.share.value() == 1000);
    fixture.run(9'000);
    BOOST_TEST((fixture.record.state == MoveState::Done));
    BOOST_TEST(!fixture.breaker.isTripped(service));
}

BOOST_AUTO_TEST_CASE(rollsBackAFailingVersion)
{
    Fixture fixture;
    fixture.newFailures = 0.3;
    fixture.run(6'000);
    BOOST_TEST((fixture.record.state == MoveState::RolledBack));
    BOOST_TEST(fixture.record.share.value() == 0);
    BOOST_TEST(fixture.record.refusedVersions.contains(newVersion));
    BOOST_TEST(fixture.record.verdict.find("calls failed") != std::string::npos);
    for (const MoveEvent &event : fixture.record.events)
        BOOST_TEST(event.share.value() <= 50);
}

BOOST_AUTO_TEST_CASE(rollsBackAVersionThatFailsAtFullShare)
{
    Fixture fixture;
    fixture.run(16'000);
    BOOST_REQUIRE((fixture.record.state == MoveState::Watching));
    fixture.newFailures = 0.3;
    fixture.run(3'000);
    BOOST_TEST((fixture.record.state == MoveState::RolledBack));
}

BOOST_AUTO_TEST_CASE(toleratesAFaultOfBothVersions)
{
    Fixture fixture;
    fixture.run(3'000);
    fixture.newFailures = fixture.oldFailures = 0.5;
    fixture.run(2'000);
    fixture.newFailures = fixture.oldFailures = 0.002;
    fixture.run(10'000);
    BOOST_TEST((fixture.record.state == MoveState::Watching));
}

BOOST_AUTO_TEST_CASE(breakerStaysTrippedUntilTheRecordIsFinal)
{
    Fixture fixture;
    fixture.newFailures = 0.9;
    // The controller gets no outcomes from here on, so that only the circuit breaker acts.
    fixture.run(500);
    for (int i = 0; i < 100; ++i) {
        OutcomeBatch batch;
        batch[{service, newVersion, RouteId("/book"), DataCentreId("akl-a")}]
                = OutcomeSums{.calls = 5, .failures = 4};
        batch[{service, oldVersion, RouteId("/book"), DataCentreId("akl-a")}]
                = OutcomeSums{.calls = 95};
        fixture.nowMs += 100;
        fixture.breaker.addEvidence(batch, fixture.nowMs);
    }
    BOOST_TEST(fixture.breaker.isTripped(service));
    Move raised = fixture.record;
    raised.share = PerMille(300);
    raised.modRevision = ModRevision(50);
    fixture.breaker.observe(raised);
    BOOST_TEST(fixture.breaker.isTripped(service));
    Move back = rollBackMove(raised, "", {EditId("back"), fixture.nowMs}).value();
    back.modRevision = ModRevision(51);
    fixture.breaker.observe(back);
    BOOST_TEST(!fixture.breaker.isTripped(service));
}

BOOST_AUTO_TEST_CASE(newControllerCollectsEvidenceBeforeItRaisesTheShare)
{
    Fixture fixture(60'000);
    fixture.callsPerTick = 1;
    fixture.run(30'000);
    const std::uint64_t share = fixture.record.share.value();
    BOOST_REQUIRE(share < 1000);
    fixture.controller = MoveController();
    fixture.nowMs += 25'000;
    fixture.observe();
    fixture.run(1'900);
    BOOST_TEST(fixture.record.share.value() == share);
    fixture.run(1'000);
    BOOST_TEST(fixture.record.share.value() > share);
}

BOOST_AUTO_TEST_CASE(rollsBackAVersionWhoseBreakersTripped)
{
    Fixture fixture(60'000);
    fixture.run(3'000);
    BOOST_REQUIRE(fixture.record.share.value() == 50);
    // The breakers of all nodes have tripped: no calls go to the new version in spite of its share.
    for (int i = 0; i < 300 && !isFinal(fixture.record.state); ++i) {
        fixture.nowMs += 100;
        OutcomeBatch batch;
        batch[{service, oldVersion, RouteId("/book"), DataCentreId("akl-a")}]
                = OutcomeSums{.calls = 10};
        fixture.controller.addEvidence(batch, fixture.nowMs);
        if (const auto next = fixture.controller.next(service, fixture.nowMs))
            fixture.write(*next);
    }
    BOOST_TEST((fixture.record.state == MoveState::RolledBack));
    BOOST_TEST(fixture.record.verdict.find("the nodes stopped") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(rollsBackAPausedMove)
{
    Fixture fixture(60'000);
    fixture.run(2'000);
    fixture.write(pauseMove(fixture.record, {EditId("pause"), fixture.nowMs}).value());
    fixture.run(10'000);
    BOOST_TEST((fixture.record.state == MoveState::Paused));
    BOOST_TEST(fixture.record.share.value() == 50);
    fixture.newFailures = 0.4;
    fixture.run(6'000);
    BOOST_TEST((fixture.record.state == MoveState::RolledBack));
}

BOOST_AUTO_TEST_CASE(ignoresAnOlderRecord)
{
    Fixture fixture;
    Move older = fixture.record;
    fixture.run(2'000);
    BOOST_REQUIRE(fixture.record.modRevision > older.modRevision);
    older.share = PerMille(900);
    fixture.controller.observe(older);
    fixture.nowMs += 20'000;
    const auto next = fixture.controller.next(service, fixture.nowMs);
    BOOST_TEST((!next || next->modRevision == fixture.record.modRevision));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace cornelhead
