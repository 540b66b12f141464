// Tests the canonical form, its chunks and manifests.
#include <boost/test/unit_test.hpp>

#include <set>

#include "config/sample.h"
#include "cornelhead/base/digest.h"
#include "cornelhead/config/manifest.h"
#include "cornelhead/config/validation.h"

namespace cornelhead {
namespace {

Declarations manyCustomers(int count)
{
    Declarations all = sampleDeclarations();
    for (int i = 0; i < count; ++i)
        all.customers.push_back({CustomerId("c" + std::to_string(i)), PlanId("attendee")});
    return all;
}

Manifest manifestOf(const std::string &encoded, const std::vector<Chunk> &chunks)
{
    Manifest manifest{Revision(4), EditId("e1"), "ana", 12, digestOf(encoded), {}};
    for (const Chunk &chunk : chunks)
        manifest.chunks.push_back(chunk.digest);
    return manifest;
}

} // namespace

BOOST_AUTO_TEST_SUITE(manifest)

BOOST_AUTO_TEST_CASE(declarationsSurviveEncoding)
{
    const Declarations all = canonicalOrder(sampleDeclarations());
    BOOST_TEST((decodeDeclarations(encodeDeclarations(all)).value() == all));
}

BOOST_AUTO_TEST_CASE(refusesBytesThatAreNotCanonical)
{
    const std::string good = encodeDeclarations(sampleDeclarations());
    const std::string blank = good.substr(0, good.size() - 2) + " }\n";
    const std::size_t lastLine = good.rfind('\n', good.size() - 2) + 1;
    const std::string twice = good + good.substr(lastLine);
    std::string unordered = good;
    const std::string names = R"("bookings","doorlist")";
    unordered.replace(unordered.find(names), names.size(), R"("doorlist","bookings")");
    for (const std::string &bad :
         {std::string(), std::string("{}"), good.substr(0, good.size() - 1), blank, twice,
          unordered, good + "{}\n", good + "\xff\n", good + "[[[[\n"}) {
        const auto read = decodeDeclarations(bad);
        BOOST_REQUIRE(!read.has_value());
        BOOST_TEST((read.error().kind == ErrorKind::InvalidMessage));
    }
}

BOOST_AUTO_TEST_CASE(manifestSurvivesEncoding)
{
    const std::string encoded = encodeDeclarations(sampleDeclarations());
    const Manifest written = manifestOf(encoded, splitChunks(encoded));
    const Manifest read = decodeManifest(encodeManifest(written)).value();
    BOOST_TEST((read.revision == written.revision && read.edit == written.edit));
    BOOST_TEST((read.digest == written.digest && read.chunks == written.chunks));
    BOOST_TEST((read.author == "ana" && read.acceptedAtMs == 12));
    for (const char *bad : {"", "{}", "[1]", "\xff", R"({"revision":-1})"})
        BOOST_TEST((decodeManifest(bad).error().kind == ErrorKind::InvalidMessage));
}

BOOST_AUTO_TEST_CASE(joinsOnlyWhatTheManifestNames)
{
    const std::string encoded = encodeDeclarations(manyCustomers(3000));
    std::vector<Chunk> chunks = splitChunks(encoded);
    BOOST_REQUIRE(chunks.size() > 2);
    const Manifest named = manifestOf(encoded, chunks);
    BOOST_TEST(joinChunks(named, chunks).value() == encoded);
    std::vector<Chunk> damaged = chunks;
    damaged[1].bytes[5] ^= 1;
    BOOST_TEST(!joinChunks(named, damaged).has_value());
    Manifest swapped = named;
    std::swap(swapped.chunks[0], swapped.chunks[1]);
    BOOST_TEST(!joinChunks(swapped, chunks).has_value());
    chunks.pop_back();
    BOOST_TEST(!joinChunks(named, chunks).has_value());
}

BOOST_AUTO_TEST_CASE(oneEditChangesFewChunks)
{
    Declarations all = manyCustomers(20'000);
    std::set<Digest> before;
    for (const Chunk &chunk : splitChunks(encodeDeclarations(all))) {
        BOOST_TEST(chunk.bytes.size() <= maxChunkBytes);
        before.insert(chunk.digest);
    }
    all.customers[9000].plan = PlanId("franchisee");
    all.customers.push_back({CustomerId("c10000a"), PlanId("attendee")});
    int changed = 0;
    for (const Chunk &chunk : splitChunks(encodeDeclarations(all)))
        changed += before.contains(chunk.digest) ? 0 : 1;
    BOOST_TEST(changed >= 1);
    BOOST_TEST(changed <= 6);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace cornelhead
