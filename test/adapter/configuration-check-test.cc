// Tests the check of configurations in the format of the users' operators.
#include <boost/test/unit_test.hpp>

#include "cornelhead/config/configuration-check.h"
#include "platform/users-messages.h"
#include "support/users-configuration.h"

namespace cornelhead::adapter {

BOOST_AUTO_TEST_SUITE(configuration_check)

BOOST_AUTO_TEST_CASE(operatorsConfigurationsAreCheckedAndCompared)
{
    const std::string booking = usersRoute("r1", "/book/", "idempotent", "bookings");
    const auto inForce = readConfiguration(
            usersConfiguration("0000000a", booking, usersCustomer("ash", "secret-1", 5, 10)));
    const auto next = readConfiguration(
            usersConfiguration("0000000b",
                               booking + ","
                                       + usersRoute("r2", "/look/", "idempotent", "",
                                                    R"([{"service":"bookings","weight":1},)"
                                                    R"({"service":"catalogue","weight":0}])"),
                               usersCustomer("ash", "secret-2", 5, 0)));
    BOOST_REQUIRE(inForce);
    BOOST_REQUIRE(next);
    BOOST_TEST(renderText(checkConfiguration(**inForce))
               == "warning: service catalogue: no route refers to it [no-calls]\n");
    BOOST_TEST(renderText(checkConfiguration(**next))
               == "warning: route r2: service catalogue has weight 0 and gets none of its calls "
                  "[no-calls]\n"
                  "warning: customer ash: burst 0 is less than one call; nodes take it as 1 "
                  "[burst-below-one]\n");
    BOOST_TEST(renderText(compareConfigurations(**inForce, **next))
               == "+ route r2\n"
                  "~ customer ash: burst 10 -> 0\n"
                  "~ customer ash: keys 1 -> 1 (1 new)\n");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace cornelhead::adapter
