// Tests the canonical form of declarations, their chunks and manifests.
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

BOOST_AUTO_TEST_CASE(declarationsRoundTrip)
{
    const Declarations all = canonicalOrder(sampleDeclarations());
    BOOST_TEST((decodeDeclarations(encodeDeclarations(all)).value() == all));
}

BOOST_AUTO_TEST_CASE(rejectsBytesThatAreNotCanonical)
{
    const std::string canonical = encodeDeclarations(sampleDeclarations());
    const std::string withSpace = canonical.substr(0, canonical.size() - 2) + " }\n";
    const std::size_t lastLine = canonical.rfind('\n', canonical.size() - 2) + 1;
    const std::string withDuplicate = canonical + canonical.substr(lastLine);
    std::string unordered = canonical;
    const std::string names = R"("bookings","doorlist")";
    unordered.replace(unordered.find(names), names.size(), R"("doorlist","bookings")");
    for (const std::string &bad :
         {std::string(), std::string("{}"), canonical.substr(0, canonical.size() - 1), withSpace,
          withDuplicate, unordered, canonical + "{}\n", canonical + "\xff\n",
          canonical + "[[[[\n"}) {
        const auto read = decodeDeclarations(bad);
        BOOST_REQUIRE(!read.has_value());
        BOOST_TEST((read.error().kind == ErrorKind::InvalidMessage));
    }
}

BOOST_AUTO_TEST_CASE(manifestRoundTrips)
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

BOOST_AUTO_TEST_CASE(joinsOnlyTheChunksOfTheManifest)
{
    const std::string encoded = encodeDeclarations(manyCustomers(3000));
    std::vector<Chunk> chunks = splitChunks(encoded);
    BOOST_REQUIRE(chunks.size() > 2);
    const Manifest manifest = manifestOf(encoded, chunks);
    BOOST_TEST(joinChunks(manifest, chunks).value() == encoded);
    std::vector<Chunk> corrupted = chunks;
    corrupted[1].bytes[5] ^= 1;
    BOOST_TEST(!joinChunks(manifest, corrupted).has_value());
    Manifest swapped = manifest;
    std::swap(swapped.chunks[0], swapped.chunks[1]);
    BOOST_TEST(!joinChunks(swapped, chunks).has_value());
    chunks.pop_back();
    BOOST_TEST(!joinChunks(manifest, chunks).has_value());
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
