// Tests addresses, clocks, digests, metrics and random numbers.
#include <boost/test/unit_test.hpp>

#include "cornelhead/base/address.h"
#include "cornelhead/base/clock.h"
#include "cornelhead/base/digest.h"
#include "cornelhead/base/metrics.h"
#include "cornelhead/base/random.h"
#include "cornelhead/base/untrusted-json.h"

namespace cornelhead {

BOOST_AUTO_TEST_SUITE(base)

BOOST_AUTO_TEST_CASE(parsesAddresses)
{
    BOOST_TEST(parseAddress("127.0.0.1:80").value().port == 80);
    BOOST_TEST(parseAddress("[::1]:80").value().ip == "::1");
    BOOST_TEST(parseAddress("[::1]:80").value().toString() == "[::1]:80");
    for (const char *invalid :
         {"", "host:80", "127.0.0.1", "127.0.0.1:0", "127.0.0.1:65536", ":80"})
        BOOST_TEST(!parseAddress(invalid).has_value(), invalid);
}

BOOST_AUTO_TEST_CASE(copiesOfManualClockShareTime)
{
    ManualClock manual;
    const Clock clock = manual;
    const TimePoint start = now(clock);
    manual.advance(Milliseconds(5));
    BOOST_TEST((now(clock) - start == Milliseconds(5)));
}

BOOST_AUTO_TEST_CASE(digestsDifferByContent)
{
    BOOST_TEST(digestOf("a").value().size() == 32);
    BOOST_TEST((digestOf("a") == digestOf("a")));
    BOOST_TEST((digestOf("a") != digestOf("b")));
}

BOOST_AUTO_TEST_CASE(removingACandidateMovesOnlyItsKeys)
{
    const auto ownerOf = [](const std::string &key, int candidates) {
        int best = 0;
        for (int i = 1; i < candidates; ++i) {
            if (rendezvousWeight(key, std::to_string(i))
                > rendezvousWeight(key, std::to_string(best)))
                best = i;
        }
        return best;
    };
    for (int key = 0; key < 200; ++key) {
        const std::string name = "key-" + std::to_string(key);
        const int before = ownerOf(name, 8);
        if (before != 7)
            BOOST_TEST(ownerOf(name, 7) == before);
    }
}

BOOST_AUTO_TEST_CASE(rendersMetrics)
{
    Metrics metrics;
    metrics.counter("refusals_total", {{"reason", "rate"}}).add(2);
    metrics.gauge("relays").set(3);
    metrics.summary("wait_us").record(Microseconds(40));
    const std::string text = metrics.render();
    BOOST_TEST(text.find("refusals_total{reason=\"rate\"} 2\n") != std::string::npos);
    BOOST_TEST(text.find("relays 3\n") != std::string::npos);
    BOOST_TEST(text.find("wait_us_count 1\n") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(randomIsReproducibleFromSeed)
{
    Random first(7);
    Random second(7);
    for (int i = 0; i < 100; ++i)
        BOOST_TEST(first.below(1000) == second.below(1000));
}

BOOST_AUTO_TEST_CASE(untrustedJsonIsBounded)
{
    const JsonLimits limits{100, 3};
    BOOST_TEST(parseUntrustedJson(R"({"a":[{"b":"[[[[{{{{\\\"["}]})", limits).has_value());
    BOOST_TEST((parseUntrustedJson("[[[[]]]]", limits).error().kind == ErrorKind::TooLarge));
    BOOST_TEST((parseUntrustedJson(std::string(101, ' '), limits).error().kind
                == ErrorKind::TooLarge));
    for (const char *malformed : {"", "[", "]", "[[]", "\"", "{\"a\":1e400}"})
        BOOST_TEST(
                (parseUntrustedJson(malformed, limits).error().kind == ErrorKind::InvalidMessage),
                malformed);
}

BOOST_AUTO_TEST_CASE(integersOutOfRangeAreNotConverted)
{
    BOOST_TEST(readInteger<std::uint32_t>(7, 0, 7) == 7U);
    BOOST_TEST(readInteger<std::int64_t>(-7, -7, 0) == -7);
    BOOST_TEST(readInteger<std::uint64_t>(UINT64_MAX, 0, UINT64_MAX) == UINT64_MAX);
    for (const nlohmann::json &bad :
         {nlohmann::json(8), nlohmann::json(-1), nlohmann::json(1.0), nlohmann::json(UINT64_MAX),
          nlohmann::json("1"), nlohmann::json()})
        BOOST_CHECK_THROW(readInteger<std::uint32_t>(bad, 0, 7), std::out_of_range);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace cornelhead
