// Property tests with rapidcheck: the seed is fixed, printed and can be overridden.
#pragma once

#include <cstdint>
#include <cstdlib>
#include <sstream>
#include <string>
#include <utility>

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>
#include <rapidcheck/detail/TestListenerAdapter.h>

namespace cornelhead {

/// Returns CORNELHEAD_TEST_SEED if set, so that other seeds can be tried, else `defaultSeed`.
/// Prints the seed.
inline std::uint64_t testSeed(std::uint64_t defaultSeed)
{
    const char *environmentValue = std::getenv("CORNELHEAD_TEST_SEED");
    const std::uint64_t seed
            = environmentValue ? std::strtoull(environmentValue, nullptr, 10) : defaultSeed;
    BOOST_TEST_MESSAGE("seed " << seed);
    return seed;
}

/// Returns CORNELHEAD_TEST_ROUNDS if set, else `defaultRounds`.
inline int testRounds(int defaultRounds)
{
    const char *environmentValue = std::getenv("CORNELHEAD_TEST_ROUNDS");
    return environmentValue ? std::atoi(environmentValue) : defaultRounds;
}

/// Checks `property` with `rounds` generated inputs, and shrinks a failing input.
template <typename Property>
void checkProperty(std::uint64_t seed, int rounds, Property property)
{
    rc::detail::TestParams params;
    params.seed = testSeed(seed);
    params.maxSuccess = testRounds(rounds);
    // rapidcheck prints its own configuration, which must show the same seed.
    setenv("RC_PARAMS", ("seed=" + std::to_string(params.seed)).c_str(), 0);
    rc::detail::TestListenerAdapter listener;
    const auto result = rc::detail::checkTestable(std::move(property), rc::detail::TestMetadata(),
                                                  params, listener);
    std::ostringstream text;
    rc::detail::printResultMessage(result, text);
    BOOST_TEST((result.template is<rc::detail::SuccessResult>()),
               "seed " << params.seed << ": " << text.str());
}

} // namespace cornelhead
