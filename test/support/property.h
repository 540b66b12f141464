// Checks properties with rapidcheck under a seed that is fixed, printed and replaceable.
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

/// Returns CORNELHEAD_TEST_SEED where it is set, so that a longer hunt can try other seeds.
inline std::uint64_t testSeed(std::uint64_t fixed)
{
    const char *given = std::getenv("CORNELHEAD_TEST_SEED");
    const std::uint64_t seed = given ? std::strtoull(given, nullptr, 10) : fixed;
    BOOST_TEST_MESSAGE("seed " << seed);
    return seed;
}

/// Returns `fixed` rounds, or CORNELHEAD_TEST_ROUNDS where it is set.
inline int testRounds(int fixed)
{
    const char *given = std::getenv("CORNELHEAD_TEST_ROUNDS");
    return given ? std::atoi(given) : fixed;
}

/// Checks that `property` holds for all values that rapidcheck generates, and shrinks a failure.
template <typename Property>
void checkProperty(std::uint64_t seed, int rounds, Property property)
{
    rc::detail::TestParams params;
    params.seed = testSeed(seed);
    params.maxSuccess = testRounds(rounds);
    // The library prints its own configuration, which must not name another seed.
    setenv("RC_PARAMS", ("seed=" + std::to_string(params.seed)).c_str(), 0);
    rc::detail::TestListenerAdapter silent;
    const auto result = rc::detail::checkTestable(std::move(property), rc::detail::TestMetadata(),
                                                  params, silent);
    std::ostringstream text;
    rc::detail::printResultMessage(result, text);
    BOOST_TEST((result.template is<rc::detail::SuccessResult>()),
               "seed " << params.seed << ": " << text.str());
}

} // namespace cornelhead
