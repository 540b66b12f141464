// Tests apply and prune with lost responses, races and an unavailable platform.
#include <boost/test/unit_test.hpp>

#include <array>
#include <set>

#include "config/sample.h"
#include "cornelhead/base/random.h"
#include "cornelhead/config/snapshot.h"
#include "cornelhead/config/validation.h"
#include "cornelhead/ctl/change-rules.h"
#include "cornelhead/ctl/configuration-store.h"
#include "ctl/fake-platform.h"
#include "ctl/interleaving.h"

namespace cornelhead {
namespace {

Declarations withBurst(std::uint32_t burst)
{
    Declarations all = sampleDeclarations();
    all.plans[0].burst = burst;
    return all;
}

ApplyRequest makeRequest(Declarations declarations, const std::string &edit)
{
    return {std::move(declarations), "ana", EditId(edit), 1000, std::nullopt};
}

Manifest manifestInForce(FakePlatform &platform)
{
    return readManifest(platform.operations()).value()->manifest;
}

bool hasInForce(FakePlatform &platform, const Declarations &desired)
{
    const auto read = readDeclarationsOf(platform.operations(), manifestInForce(platform));
    return read && *read == canonicalOrder(desired);
}

// Returns a hook that gives `writeOutcome` to the first write of a key that begins with `prefix`.
auto onFirstWrite(const std::string &prefix, WriteOutcome writeOutcome)
{
    return [=, isDone = false](const std::string &key) mutable {
        if (isDone || !key.starts_with(prefix))
            return WriteOutcome::Normal;
        isDone = true;
        return writeOutcome;
    };
}

} // namespace

BOOST_AUTO_TEST_SUITE(configurationStore)

BOOST_AUTO_TEST_CASE(applyIsIdempotentAndKeepsHistory)
{
    FakePlatform platform;
    const PlatformOperations operations = platform.operations();
    BOOST_TEST(applyDeclarations(operations, makeRequest(withBurst(1), "e1"))->isNew);
    const std::size_t bytes = platform.bytesPut;
    const auto again = applyDeclarations(operations, makeRequest(withBurst(1), "e2"));
    BOOST_TEST(!again->isNew);
    BOOST_TEST(again->manifest.revision.value() == 1u);
    BOOST_TEST(platform.bytesPut == bytes);
    BOOST_TEST(applyDeclarations(operations, makeRequest(withBurst(2), "e3"))->isNew);
    // Applying older declarations again creates a new revision.
    BOOST_TEST(applyDeclarations(operations, makeRequest(withBurst(1), "e4"))->isNew);
    const auto history = readHistory(operations).value();
    BOOST_REQUIRE(history.size() == 3u);
    BOOST_TEST((history[0].edit == EditId("e1") && history[2].edit == EditId("e4")));
    BOOST_TEST((history[0].digest == history[2].digest));
    BOOST_TEST(hasInForce(platform, withBurst(1)));
}

BOOST_AUTO_TEST_CASE(resolvesALostResponseToEachWrite)
{
    for (const WriteOutcome writeOutcome :
         {WriteOutcome::ResponseLost, WriteOutcome::RequestLost}) {
        for (const char *prefix : {chunkPrefix, historyPrefix, manifestKey}) {
            FakePlatform platform;
            const PlatformOperations operations = platform.operations();
            BOOST_REQUIRE(applyDeclarations(operations, makeRequest(withBurst(1), "e1")));
            platform.writeOutcome = onFirstWrite(prefix, writeOutcome);
            const auto outcome = applyDeclarations(operations, makeRequest(withBurst(2), "e2"));
            BOOST_REQUIRE_MESSAGE(outcome.has_value(), prefix);
            BOOST_TEST((outcome->isNew && manifestInForce(platform).edit == EditId("e2")), prefix);
            BOOST_TEST(readHistory(operations)->size() == 2u, prefix);
            BOOST_TEST(hasInForce(platform, withBurst(2)));
        }
    }
}

BOOST_AUTO_TEST_CASE(resolvesALostResponseAfterANewerEdit)
{
    FakePlatform platform;
    const PlatformOperations operations = platform.operations();
    BOOST_REQUIRE(applyDeclarations(operations, makeRequest(withBurst(1), "e1")));
    platform.writeOutcome = onFirstWrite(manifestKey, WriteOutcome::ResponseLost);
    bool isSent = false;
    platform.beforeOperation = [&](const std::string &operation, const std::string &key) {
        if (isSent && operation == "get" && key == manifestKey) {
            platform.beforeOperation = nullptr;
            BOOST_REQUIRE(applyDeclarations(operations, makeRequest(withBurst(3), "e3")));
        }
        isSent = isSent || (operation == "put" && key == manifestKey);
    };
    const auto outcome = applyDeclarations(operations, makeRequest(withBurst(2), "e2"));
    BOOST_REQUIRE(outcome.has_value());
    BOOST_TEST(outcome->manifest.revision.value() == 2u);
    BOOST_TEST(manifestInForce(platform).revision.value() == 3u);
}

BOOST_AUTO_TEST_CASE(reportsUnknownWhenThePlatformFailsAfterALostResponse)
{
    FakePlatform platform;
    const PlatformOperations operations = platform.operations();
    BOOST_REQUIRE(applyDeclarations(operations, makeRequest(withBurst(1), "e1")));
    // The write of the manifest takes effect just before the platform becomes unavailable.
    platform.writeOutcome = [&](const std::string &key) {
        return key == manifestKey ? WriteOutcome::ResponseLost : WriteOutcome::Normal;
    };
    bool isSent = false;
    platform.beforeOperation = [&](const std::string &operation, const std::string &key) {
        platform.isUnavailable = isSent;
        isSent = isSent || (operation == "put" && key == manifestKey);
    };
    const ApplyRequest request = makeRequest(withBurst(2), "e2");
    BOOST_TEST((applyDeclarations(operations, request).error().kind == ErrorKind::Unknown));
    platform.beforeOperation = nullptr;
    platform.writeOutcome = nullptr;
    platform.isUnavailable = false;
    const auto repeated = applyDeclarations(operations, request);
    BOOST_TEST(!repeated->isNew);
    BOOST_TEST(repeated->manifest.revision.value() == 2u);
}

BOOST_AUTO_TEST_CASE(reportsUnavailableIfNothingWasWritten)
{
    FakePlatform platform;
    platform.isUnavailable = true;
    const auto outcome = applyDeclarations(platform.operations(), makeRequest(withBurst(1), "e1"));
    BOOST_TEST((outcome.error().kind == ErrorKind::Unavailable));
}

BOOST_AUTO_TEST_CASE(acceptsOneOfTwoRacingEdits)
{
    FakePlatform platform;
    const PlatformOperations operations = platform.operations();
    for (const std::string point : {chunkPrefix, historyPrefix, manifestKey}) {
        for (const bool isSame : {false, true}) {
            platform = FakePlatform();
            BOOST_REQUIRE(applyDeclarations(operations, makeRequest(withBurst(1), "e1")));
            platform.beforeOperation = [&](const std::string &operation, const std::string &key) {
                if (operation != "put" || !key.starts_with(point))
                    return;
                platform.beforeOperation = nullptr;
                const auto other = applyDeclarations(
                        operations, makeRequest(withBurst(isSame ? 2 : 3), "other"));
                BOOST_TEST(other->isNew);
            };
            const auto outcome = applyDeclarations(operations, makeRequest(withBurst(2), "mine"));
            BOOST_TEST((manifestInForce(platform).edit == EditId("other")));
            BOOST_TEST(hasInForce(platform, withBurst(isSame ? 2 : 3)));
            BOOST_REQUIRE(outcome.has_value() == isSame);
            if (isSame)
                BOOST_TEST(!outcome->isNew);
            else
                BOOST_TEST((outcome.error().kind == ErrorKind::Conflict));
        }
    }
}

BOOST_AUTO_TEST_CASE(refusesAnUnexpectedBaseRevision)
{
    FakePlatform platform;
    const PlatformOperations operations = platform.operations();
    ApplyRequest request = makeRequest(withBurst(1), "e1");
    request.expectedRevision = Revision(0);
    BOOST_REQUIRE(applyDeclarations(operations, request));
    request = makeRequest(withBurst(2), "e2");
    request.expectedRevision = Revision(0);
    BOOST_TEST((applyDeclarations(operations, request).error().kind == ErrorKind::Conflict));
}

BOOST_AUTO_TEST_CASE(repairsCorruptedOrMissingChunks)
{
    for (const std::uint32_t burst : {1u, 2u}) {
        for (const bool isMissing : {true, false}) {
            FakePlatform platform;
            const PlatformOperations operations = platform.operations();
            BOOST_REQUIRE(applyDeclarations(operations, makeRequest(withBurst(1), "e1")));
            const auto chunk = platform.entries.lower_bound(chunkPrefix);
            if (isMissing)
                platform.entries.erase(chunk);
            else
                chunk->second.value += "{}";
            const auto outcome = applyDeclarations(operations, makeRequest(withBurst(burst), "e2"));
            BOOST_TEST(outcome->isNew == (burst != 1));
            BOOST_TEST(hasInForce(platform, withBurst(burst)));
        }
    }
}

BOOST_AUTO_TEST_CASE(onlyAMoveChangesAVersion)
{
    const Declarations before = sampleDeclarations();
    Declarations after = before;
    after.services[0].initialVersion = VersionId("v2");
    MoveTable moves;
    BOOST_TEST((checkChange(before, after, moves).error().kind == ErrorKind::Conflict));
    Move &move = moves.moves[before.services[0].id];
    move.oldVersion = VersionId("v1");
    move.newVersion = VersionId("v2");
    BOOST_TEST(!checkChange(before, after, moves).has_value());
    Declarations without = before;
    without.services.erase(without.services.begin());
    BOOST_TEST(!checkChange(before, without, moves).has_value());
    move.state = MoveState::Done;
    BOOST_TEST(checkChange(before, after, moves).has_value());
    BOOST_TEST(checkChange(before, without, moves).has_value());
    FakePlatform platform;
    BOOST_REQUIRE(applyDeclarations(platform.operations(), makeRequest(before, "e1")));
    const auto refused = applyDeclarations(platform.operations(), makeRequest(after, "e2"));
    BOOST_TEST((refused.error().kind == ErrorKind::Conflict));
    BOOST_TEST(manifestInForce(platform).revision.value() == 1u);
}

BOOST_AUTO_TEST_CASE(neverReusesARevisionAfterLossOfTheManifest)
{
    FakePlatform platform;
    const PlatformOperations operations = platform.operations();
    for (std::uint32_t burst = 1; burst <= 3; ++burst)
        BOOST_REQUIRE(applyDeclarations(
                operations, makeRequest(withBurst(burst), "e" + std::to_string(burst))));
    platform.entries.erase(manifestKey);
    const auto outcome = applyDeclarations(operations, makeRequest(withBurst(9), "e9"));
    BOOST_TEST(outcome->manifest.revision.value() == 4u);
}

BOOST_AUTO_TEST_CASE(storesAndEditsLargeDeclarationsInChunks)
{
    FakePlatform platform;
    const PlatformOperations operations = platform.operations();
    Declarations all = sampleDeclarations();
    for (int i = 0; i < 40'000; ++i)
        all.customers.push_back({CustomerId("customer-" + std::to_string(i)), PlanId("attendee")});
    BOOST_REQUIRE(applyDeclarations(operations, makeRequest(all, "e1")));
    const std::size_t whole = platform.bytesPut;
    BOOST_TEST(whole > 1024u * 1024u);
    all.customers[20'000].plan = PlanId("franchisee");
    const auto outcome = applyDeclarations(operations, makeRequest(all, "e2"));
    BOOST_TEST(outcome->chunksWritten <= 2u);
    BOOST_TEST(platform.bytesPut - whole < whole / 10);
    BOOST_TEST(hasInForce(platform, all));
}

BOOST_AUTO_TEST_CASE(pruneKeepsChunksOfKeptManifests)
{
    FakePlatform platform;
    const PlatformOperations operations = platform.operations();
    for (std::uint32_t burst = 1; burst <= 6; ++burst)
        BOOST_REQUIRE(applyDeclarations(
                operations, makeRequest(withBurst(burst), "e" + std::to_string(burst))));
    for (const char *revision : {"2", "5"})
        BOOST_REQUIRE(operations.put(std::string(nackPrefix) + revision, "{}", {}));
    const PruneOutcome outcome = pruneHistory(operations, 2).value();
    BOOST_TEST(!platform.entries.contains(std::string(nackPrefix) + "2"));
    BOOST_TEST(platform.entries.contains(std::string(nackPrefix) + "5"));
    BOOST_TEST(outcome.manifestsRemoved == 3u);
    BOOST_TEST(outcome.chunksRemoved == 3u);
    const auto history = readHistory(operations).value();
    BOOST_REQUIRE(history.size() == 3u);
    for (const Manifest &manifest : history)
        BOOST_TEST(readDeclarationsOf(operations, manifest).has_value());
    BOOST_TEST(pruneHistory(operations, 2)->chunksRemoved == 0u);
}

// Guards against a prune that removes chunks which a concurrent apply of old declarations reuses.
BOOST_AUTO_TEST_CASE(pruneNeverRemovesAChunkOfARacingApply)
{
    constexpr std::uint64_t firstSeed = 20260301;
    BOOST_TEST_MESSAGE("seeds from " << firstSeed);
    std::size_t removed = 0;
    for (std::uint64_t seed = firstSeed; seed < firstSeed + 1500; ++seed) {
        FakePlatform platform;
        const PlatformOperations operations = platform.operations();
        for (std::uint32_t burst = 1; burst <= 3; ++burst)
            BOOST_REQUIRE(applyDeclarations(
                    operations, makeRequest(withBurst(burst), "e" + std::to_string(burst))));
        Interleaving interleaving(seed);
        platform.beforeOperation
                = [&](const std::string &, const std::string &) { interleaving.scheduleNext(); };
        Result<ApplyOutcome> applied;
        Result<PruneOutcome> pruned;
        interleaving.run(
                [&] { applied = applyDeclarations(operations, makeRequest(withBurst(1), "back")); },
                [&] { pruned = pruneHistory(operations, 1); });
        platform.beforeOperation = nullptr;
        removed += pruned ? pruned->chunksRemoved : 0;
        BOOST_REQUIRE_MESSAGE(applied.has_value(), "seed " << seed);
        BOOST_REQUIRE_MESSAGE((manifestInForce(platform).edit == EditId("back")), "seed " << seed);
        BOOST_REQUIRE_MESSAGE(hasInForce(platform, withBurst(1)), "seed " << seed);
    }
    BOOST_TEST(removed > 100);
}

// Two operators apply different declarations while requests and responses are lost.
BOOST_AUTO_TEST_CASE(racingAppliesReportTheirTrueOutcome)
{
    constexpr std::uint64_t firstSeed = 20260401;
    BOOST_TEST_MESSAGE("seeds from " << firstSeed);
    int conflicts = 0;
    for (std::uint64_t seed = firstSeed; seed < firstSeed + 1500; ++seed) {
        FakePlatform platform;
        const PlatformOperations operations = platform.operations();
        BOOST_REQUIRE(applyDeclarations(operations, makeRequest(withBurst(1), "e1")));
        Interleaving interleaving(seed);
        Random random(seed);
        platform.beforeOperation
                = [&](const std::string &, const std::string &) { interleaving.scheduleNext(); };
        platform.writeOutcome = [&](const std::string &) {
            return random.chance(0.6) ? WriteOutcome::Normal
                                      : static_cast<WriteOutcome>(random.below(3));
        };
        std::array<Result<ApplyOutcome>, 2> outcomes;
        const auto apply = [&](std::size_t i) {
            const std::string edit = i == 0 ? "left" : "right";
            outcomes.at(i) = applyDeclarations(
                    operations, makeRequest(withBurst(static_cast<std::uint32_t>(i) + 2), edit));
        };
        interleaving.run([&] { apply(0); }, [&] { apply(1); });
        platform.beforeOperation = nullptr;
        std::set<EditId> accepted;
        const std::vector<Manifest> history = readHistory(operations).value();
        for (const Manifest &manifest : history)
            BOOST_REQUIRE_MESSAGE(accepted.insert(manifest.edit).second, "seed " << seed);
        for (std::size_t i = 0; i < 2; ++i) {
            const bool isAccepted = accepted.contains(EditId(i == 0 ? "left" : "right"));
            const auto &outcome = outcomes.at(i);
            const bool isUnknown = !outcome && outcome.error().kind == ErrorKind::Unknown;
            BOOST_REQUIRE_MESSAGE(isUnknown || isAccepted == outcome.has_value(), "seed " << seed);
            conflicts += !outcome && outcome.error().kind == ErrorKind::Conflict ? 1 : 0;
        }
    }
    BOOST_TEST(conflicts > 100);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace cornelhead
