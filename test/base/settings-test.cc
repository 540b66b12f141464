// Tests settings from flags and environment variables.
#include "cornelhead/base/settings.h"

#include <cstdlib>

#include <boost/test/unit_test.hpp>

namespace cornelhead {

const std::string usage = R"(Usage: tool [options]

Options:
  --listen ADDRESS  Listening address. [default: 127.0.0.1:80]
  --slots N         Number of slots. [default: 4]
  --wait DURATION   Duration. [default: 2s]
  --fast            Enables fast mode.
)";

BOOST_AUTO_TEST_SUITE(settings)

BOOST_AUTO_TEST_CASE(readsFlagsAndDefaults)
{
    Settings parsed = Settings::parse(usage, {"--slots=9", "--fast"}).value();
    BOOST_TEST(parsed.integer("--slots", 1, 10) == 9);
    BOOST_TEST(parsed.address("--listen").toString() == "127.0.0.1:80");
    BOOST_TEST(parsed.duration("--wait", Milliseconds(0), Milliseconds(5000)).count() == 2000);
    BOOST_TEST(parsed.flag("--fast"));
    BOOST_TEST(parsed.faults().empty());
}

BOOST_AUTO_TEST_CASE(flagsOverrideTheEnvironment)
{
    setenv("CORNELHEAD_SLOTS", "7", 1);
    Settings fromEnvironment = Settings::parse(usage, {}).value();
    Settings fromFlag = Settings::parse(usage, {"--slots", "8"}).value();
    unsetenv("CORNELHEAD_SLOTS");
    BOOST_TEST(fromEnvironment.integer("--slots", 1, 10) == 7);
    BOOST_TEST(fromFlag.integer("--slots", 1, 10) == 8);
}

BOOST_AUTO_TEST_CASE(collectsAllFaults)
{
    Settings parsed
            = Settings::parse(usage, {"--slots=none", "--listen=host:80", "--wait=5"}).value();
    parsed.integer("--slots", 1, 10);
    parsed.address("--listen");
    parsed.duration("--wait", Milliseconds(0), Milliseconds(5000));
    BOOST_REQUIRE(parsed.faults().size() == 3);
    BOOST_TEST(parsed.faults()[0].describe()
               == "invalid-setting: --slots has the wrong value 'none'; give a whole number from 1 "
                  "to 10");
}

BOOST_AUTO_TEST_CASE(rejectsUnknownFlags)
{
    BOOST_TEST(!Settings::parse(usage, {"--unknown"}).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace cornelhead
