// Tests that a delta produces its target from its base, and fails on any other configuration.
#include <boost/test/unit_test.hpp>

#include "config/generators.h"
#include "config/sample.h"
#include "cornelhead/config/delta.h"
#include "support/property.h"

namespace cornelhead {
namespace {

std::shared_ptr<const Snapshot> snapshotOf(const Declarations &declarations, std::uint64_t revision)
{
    return Snapshot::build(Revision(revision), declarations).value();
}

Delta deltaBetween(const Snapshot &base, const Snapshot &target)
{
    return makeDelta(base.declarations(), target.declarations());
}

} // namespace

BOOST_AUTO_TEST_SUITE(delta)

BOOST_AUTO_TEST_CASE(containsOnlyDifferences)
{
    Declarations next = sampleDeclarations();
    next.plans[0].burst++;
    next.customers.erase(next.customers.begin());
    next.customers.push_back({CustomerId("new"), PlanId("attendee")});
    const Delta delta = deltaBetween(*snapshotOf(sampleDeclarations(), 1), *snapshotOf(next, 2));
    BOOST_TEST(delta.changed.size() == 2u);
    BOOST_REQUIRE(delta.removed.size() == 1u);
    BOOST_TEST((delta.removed[0] == RecordKey{RecordKind::Customer, "wellington"}));
}

BOOST_AUTO_TEST_CASE(producesItsTargetFromItsBaseOnly)
{
    checkProperty(101, 300, [] {
        const auto base = snapshotOf(generateDeclarations(), 1);
        const auto target = snapshotOf(generateDeclarations(), 2);
        const auto other = snapshotOf(generateDeclarations(), 3);
        const Delta delta = decodeDelta(encodeDelta(deltaBetween(*base, *target))).value();
        const auto applied = applyDelta(*base, delta, Revision(2));
        RC_ASSERT(applied.has_value());
        RC_ASSERT((*applied)->declarations() == target->declarations());
        RC_ASSERT((*applied)->digest() == target->digest());
        if (other->digest() != base->digest())
            RC_ASSERT(applyDelta(*other, delta, Revision(2)).error().kind == ErrorKind::Stale);
    });
}

BOOST_AUTO_TEST_CASE(incompleteDeltaIsRejected)
{
    checkProperty(102, 300, [] {
        const auto base = snapshotOf(generateDeclarations(), 1);
        const auto target = snapshotOf(generateDeclarations(), 2);
        const Delta complete = deltaBetween(*base, *target);
        for (std::size_t i = 0; i < complete.changed.size(); ++i) {
            Delta incomplete = complete;
            incomplete.changed.erase(incomplete.changed.begin() + static_cast<std::ptrdiff_t>(i));
            RC_ASSERT(!applyDelta(*base, incomplete, Revision(2)).has_value());
        }
        for (std::size_t i = 0; i < complete.removed.size(); ++i) {
            Delta incomplete = complete;
            incomplete.removed.erase(incomplete.removed.begin() + static_cast<std::ptrdiff_t>(i));
            RC_ASSERT(!applyDelta(*base, incomplete, Revision(2)).has_value());
        }
    });
}

BOOST_AUTO_TEST_CASE(rejectsRecordsOutOfOrder)
{
    const auto base = snapshotOf(sampleDeclarations(), 1);
    Delta delta = deltaBetween(*snapshotOf({}, 1), *base);
    delta.baseDigest = base->digest();
    BOOST_TEST(applyDelta(*base, delta, Revision(2)).has_value());
    std::swap(delta.changed.front(), delta.changed.back());
    BOOST_TEST(!applyDelta(*base, delta, Revision(2)).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace cornelhead
