// Tests the canonical form with generated declarations, and all decoders with corrupted bytes.
#include <boost/test/unit_test.hpp>

#include "config/generators.h"
#include "config/sample.h"
#include "cornelhead/base/digest.h"
#include "cornelhead/config/declarations-reader.h"
#include "cornelhead/config/delta.h"
#include "cornelhead/config/deployment.h"
#include "cornelhead/config/manifest.h"
#include "cornelhead/config/validation.h"
#include "support/property.h"

namespace cornelhead {
namespace {

// Runs `check` on a newly corrupted copy of `bytes` in each round.
template <typename Check>
void checkCorrupted(std::uint64_t seed, int rounds, const std::string &bytes, Check check)
{
    Random random(testSeed(seed));
    const int count = testRounds(rounds);
    for (int round = 0; round < count; ++round) {
        BOOST_TEST_CONTEXT("round " << round)
        check(corrupt(bytes, random));
    }
}

std::string longEncoding()
{
    Declarations all = sampleDeclarations();
    for (int i = 0; i < 600; ++i)
        all.customers.push_back({CustomerId(numberedName("c", i)), PlanId("attendee")});
    return encodeDeclarations(all);
}

} // namespace

BOOST_AUTO_TEST_SUITE(hostileBytes)

BOOST_AUTO_TEST_CASE(canonicalFormDependsOnContentOnly)
{
    checkProperty(201, 300, [] {
        const Declarations all = generateDeclarations();
        Declarations shuffled = all;
        Random random(*rc::gen::arbitrary<std::uint64_t>());
        shuffle(shuffled.services, random);
        shuffle(shuffled.routes, random);
        shuffle(shuffled.plans, random);
        shuffle(shuffled.customers, random);
        const std::string encoded = encodeDeclarations(all);
        RC_ASSERT(encodeDeclarations(shuffled) == encoded);
        RC_ASSERT(decodeDeclarations(encoded).value() == canonicalOrder(all));
    });
}

BOOST_AUTO_TEST_CASE(chunksJoinInTheOrderOfTheManifest)
{
    checkProperty(202, 200, [] {
        Declarations all = generateDeclarations();
        if (all.plans.empty())
            return;
        const int extra = *rc::gen::inRange(0, 2000);
        for (int i = 0; i < extra; ++i)
            all.customers.push_back({CustomerId(numberedName("x", i)), all.plans[0].id});
        const std::string encoded = encodeDeclarations(all);
        std::vector<Chunk> chunks = splitChunks(encoded);
        Manifest manifest{Revision(1), EditId("e"), "a", 0, digestOf(encoded), {}};
        for (const Chunk &chunk : chunks) {
            RC_ASSERT(chunk.bytes.size() <= maxChunkBytes);
            RC_ASSERT(chunk.bytes.back() == '\n');
            manifest.chunks.push_back(chunk.digest);
        }
        Random random(*rc::gen::arbitrary<std::uint64_t>());
        shuffle(chunks, random);
        RC_ASSERT(joinChunks(manifest, chunks).value() == encoded);
    });
}

BOOST_AUTO_TEST_CASE(decoderAcceptsCanonicalBytesOnly)
{
    int accepted = 0;
    checkCorrupted(203, 3000, encodeDeclarations(sampleDeclarations()),
                   [&](const std::string &bytes) {
                       const auto read = decodeDeclarations(bytes);
                       accepted += read ? 1 : 0;
                       if (read)
                           BOOST_TEST(encodeDeclarations(*read) == bytes);
                       else
                           BOOST_TEST((read.error().kind == ErrorKind::InvalidMessage));
                   });
    BOOST_TEST_MESSAGE(accepted << " accepted");
}

BOOST_AUTO_TEST_CASE(manifestAndDeltaDecodersSurviveCorruption)
{
    const std::string text = longEncoding();
    Manifest manifest{Revision(7), EditId("e"), "ana", 1, digestOf(text), {}};
    for (const Chunk &chunk : splitChunks(text))
        manifest.chunks.push_back(chunk.digest);
    checkCorrupted(204, 3000, encodeManifest(manifest), [](const std::string &bytes) {
        const auto read = decodeManifest(bytes);
        if (!read)
            BOOST_TEST((read.error().kind == ErrorKind::InvalidMessage));
    });
    const auto base = Snapshot::build(Revision(1), Declarations()).value();
    const Delta delta = makeDelta({}, canonicalOrder(sampleDeclarations()));
    checkCorrupted(205, 3000, encodeDelta(delta), [&](const std::string &bytes) {
        const auto read = decodeDelta(bytes);
        const auto applied = read ? applyDelta(*base, *read, Revision(2))
                                  : tl::unexpected<Error>(read.error());
        if (applied)
            BOOST_TEST(((*applied)->digest() == delta.targetDigest));
    });
}

// Corrupted files, as after a failed edit or merge, give valid declarations or faults with valid
// lines.
BOOST_AUTO_TEST_CASE(yamlParserSurvivesCorruption)
{
    const std::string folder = CORNELHEAD_SOURCE_DIR "/examples/paperfold";
    const DeclarationFiles files = loadDeclarationFiles(folder).value();
    const auto check = [](const DeclarationFiles &corrupted) {
        const ParsedDeclarations read = readDeclarations(corrupted);
        for (const SourceFault &fault : read.faults) {
            const std::string &text
                    = fault.file == plansFileName ? corrupted.plans : corrupted.customers;
            const auto lineEnds = std::count(text.begin(), text.end(), '\n');
            BOOST_TEST((fault.line >= 1 && fault.line <= static_cast<std::size_t>(lineEnds) + 1),
                       fault.describe());
        }
        if (read.faults.empty())
            BOOST_TEST(Snapshot::build(Revision(1), read.declarations).has_value());
    };
    checkCorrupted(206, 800, files.plans, [&](const std::string &text) {
        check({text, files.customers});
    });
    checkCorrupted(207, 800, files.customers, [&](const std::string &text) {
        check({files.plans, text});
    });
    checkCorrupted(208, 800, loadDeploymentFile(folder).value(),
                   [](const std::string &text) { readDeployment(text); });
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace cornelhead
