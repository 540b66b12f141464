// Tests that a delta gives its target on its base, and nothing on any other.
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

BOOST_AUTO_TEST_CASE(holdsOnlyWhatDiffers)
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

BOOST_AUTO_TEST_CASE(leadsFromItsBaseToItsTargetOnly)
{
    checkProperty(101, 300, [] {
        const auto base = snapshotOf(generateDeclarations(), 1);
        const auto target = snapshotOf(generateDeclarations(), 2);
        const auto other = snapshotOf(generateDeclarations(), 3);
        const Delta delta = decodeDelta(encodeDelta(deltaBetween(*base, *target))).value();
        const auto reached = applyDelta(*base, delta, Revision(2));
        RC_ASSERT(reached.has_value());
        RC_ASSERT((*reached)->declarations() == target->declarations());
        RC_ASSERT((*reached)->digest() == target->digest());
        if (other->digest() != base->digest())
            RC_ASSERT(applyDelta(*other, delta, Revision(2)).error().kind == ErrorKind::Stale);
    });
}

BOOST_AUTO_TEST_CASE(aDamagedDeltaGivesNothing)
{
    checkProperty(102, 300, [] {
        const auto base = snapshotOf(generateDeclarations(), 1);
        const auto target = snapshotOf(generateDeclarations(), 2);
        const Delta whole = deltaBetween(*base, *target);
        for (std::size_t i = 0; i < whole.changed.size(); ++i) {
            Delta cut = whole;
            cut.changed.erase(cut.changed.begin() + static_cast<std::ptrdiff_t>(i));
            RC_ASSERT(!applyDelta(*base, cut, Revision(2)).has_value());
        }
        for (std::size_t i = 0; i < whole.removed.size(); ++i) {
            Delta cut = whole;
            cut.removed.erase(cut.removed.begin() + static_cast<std::ptrdiff_t>(i));
            RC_ASSERT(!applyDelta(*base, cut, Revision(2)).has_value());
        }
    });
}

BOOST_AUTO_TEST_CASE(refusesRecordsOutOfOrder)
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
