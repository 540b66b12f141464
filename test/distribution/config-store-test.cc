// Tests that a configuration is replaced atomically and never by an older one.
#include <boost/test/unit_test.hpp>

#include "config/sample.h"
#include "cornelhead/base/digest.h"
#include "cornelhead/config/delta.h"
#include "cornelhead/config/manifest.h"
#include "cornelhead/distribution/config-store.h"

namespace cornelhead {
namespace {

std::shared_ptr<const Snapshot> snapshotAt(std::uint64_t revision, std::uint32_t rate)
{
    Declarations declarations = sampleDeclarations();
    declarations.plans[0].ratePerSecond = rate;
    return Snapshot::build(Revision(revision), declarations).value();
}

EncodedConfig encodedAt(std::uint64_t revision, std::uint32_t rate)
{
    const auto snapshot = snapshotAt(revision, rate);
    return {snapshot->revision(), snapshot->digest(),
            std::make_shared<const std::string>(encodeDeclarations(snapshot->declarations()))};
}

std::string deltaOf(std::uint32_t fromRate, std::uint32_t toRate)
{
    return encodeDelta(makeDelta(snapshotAt(1, fromRate)->declarations(),
                                 snapshotAt(1, toRate)->declarations()));
}

} // namespace

BOOST_AUTO_TEST_SUITE(configStore)

BOOST_AUTO_TEST_CASE(refusesOlderRevisionsAndThoseBelowTheFloor)
{
    Metrics metrics;
    ConfigStore store(metrics);
    BOOST_TEST(store.offer(encodedAt(3, 30)).value());
    BOOST_TEST(!store.offer(encodedAt(3, 30)).value());
    BOOST_TEST((store.offer(encodedAt(2, 20)).error().kind == ErrorKind::Stale));
    BOOST_TEST((store.offer(encodedAt(3, 31)).error().kind == ErrorKind::Stale));
    store.raiseFloor(Revision(6));
    store.raiseFloor(Revision(4));
    BOOST_TEST((store.offer(encodedAt(5, 50)).error().kind == ErrorKind::Stale));
    BOOST_TEST(store.offer(encodedAt(6, 60)).value());
    BOOST_TEST(metrics.counter("cornelhead_reverts_refused_total").value() == 3);
}

BOOST_AUTO_TEST_CASE(refusesBytesThatDoNotHaveTheDigest)
{
    Metrics metrics;
    ConfigStore store(metrics);
    EncodedConfig mixed = encodedAt(1, 10);
    mixed.bytes = encodedAt(1, 11).bytes;
    const Result<bool> offered = store.offer(mixed);
    BOOST_REQUIRE(!offered.has_value());
    BOOST_TEST((offered.error().kind == ErrorKind::InvalidMessage));
    BOOST_TEST(store.snapshot() == nullptr);
    BOOST_TEST(metrics.counter("cornelhead_partial_refused_total").value() == 1);
}

BOOST_AUTO_TEST_CASE(appliesADeltaOnlyOnItsBase)
{
    Metrics metrics;
    ConfigStore store(metrics);
    const Digest target = snapshotAt(2, 20)->digest();
    BOOST_TEST((store.offerDelta(Revision(2), target, deltaOf(10, 20)).error().kind
                == ErrorKind::NotFound));
    BOOST_TEST(store.offer(encodedAt(1, 11)).value());
    BOOST_TEST((store.offerDelta(Revision(2), target, deltaOf(10, 20)).error().kind
                == ErrorKind::NotFound));
    BOOST_TEST(store.revision().value() == 1);
    BOOST_TEST(store.offerDelta(Revision(2), target, deltaOf(11, 20)).value());
    BOOST_TEST((digestOf(*store.current().bytes) == target));
    BOOST_TEST(store.delta().has_value());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace cornelhead
