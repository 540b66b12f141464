// Tests the settings of a node.
#include "cornelhead/node/node-settings.h"

#include <boost/test/unit_test.hpp>

namespace cornelhead {

std::vector<Error> faultsOf(const std::vector<std::string> &args)
{
    Settings settings = Settings::parse(nodeUsage, args).value();
    readNodeSettings(settings);
    return settings.faults();
}

BOOST_AUTO_TEST_SUITE(nodeSettings)

BOOST_AUTO_TEST_CASE(readsAllSettings)
{
    Settings settings = Settings::parse(nodeUsage,
                                        {"--data-centre=akl-a", "--data-centres=akl-a,akl-b",
                                         "--platform=127.0.0.1:7200,127.0.0.2:7200"})
                                .value();
    const NodeSettings node = readNodeSettings(settings);
    BOOST_TEST(settings.faults().empty());
    BOOST_TEST(node.dataCentres.size() == 2);
    BOOST_TEST(node.platform.size() == 2);
    BOOST_TEST(node.seed != 0);
}

BOOST_AUTO_TEST_CASE(reportsEachInvalidSettingOnce)
{
    BOOST_TEST(faultsOf({"--data-centre=akl-a"}).size() == 1);
    BOOST_TEST(faultsOf({"--data-centre=akl-a", "--platform="}).size() == 1);
    BOOST_TEST(faultsOf({"--data-centre=akl-a", "--platform=name:1"}).size() == 1);
    BOOST_TEST(faultsOf({"--platform=127.0.0.1:1"}).size() == 1);
    BOOST_TEST(faultsOf({"--data-centre=a", "--platform=127.0.0.1:1", "--relays=99",
                         "--admin=127.0.0.1:8080"})
                       .size()
               == 2);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace cornelhead
