// Tests the settings of cornelhead-sidecar.
#include <boost/test/unit_test.hpp>

#include "cornelhead/sidecar/sidecar-settings.h"

namespace cornelhead {

BOOST_AUTO_TEST_SUITE(sidecar_settings)

BOOST_AUTO_TEST_CASE(everyFlagButTheNamesHasADefault)
{
    Settings settings
            = Settings::parse(sidecarUsage, {"--data-centre", "a", "--service", "b"}).value();
    const SidecarSettings sidecar = readSidecarSettings(settings);
    BOOST_TEST(settings.faults().empty());
    BOOST_TEST((sidecar.departure == DepartureRule::WhenShort));
}

BOOST_AUTO_TEST_CASE(ruleOfDepartureIsChecked)
{
    for (const std::string rule : {"by-cost", "never"}) {
        Settings settings = Settings::parse(sidecarUsage,
                                            {"--data-centre", "a", "--service", "b",
                                             "--leave-data-centre", rule})
                                    .value();
        const SidecarSettings sidecar = readSidecarSettings(settings);
        BOOST_TEST(settings.faults().empty() == (rule == "by-cost"));
        if (rule == "by-cost")
            BOOST_TEST((sidecar.departure == DepartureRule::ByCost));
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace cornelhead
