// Tests reading what backend servers report about themselves.
#include <boost/test/unit_test.hpp>

#include "cornelhead/membership/server-notice.h"

namespace cornelhead {

BOOST_AUTO_TEST_SUITE(server_notice)

BOOST_AUTO_TEST_CASE(absentHeadersAreNoNotice)
{
    BOOST_TEST((readServerNotice("", "") == ServerNotice()));
}

BOOST_AUTO_TEST_CASE(limitIsADecimalNumber)
{
    BOOST_TEST(readServerNotice("12.2", "")->limit->perSecond() == 12.2);
    BOOST_TEST(readServerNotice("40", "")->limit->perSecond() == 40.0);
    BOOST_TEST(readServerNotice("0", "")->limit->perSecond() == 0.0);
}

BOOST_AUTO_TEST_CASE(malformedLimitIsRefused)
{
    for (const char *bad : {"-1", "x", "12,5", "1e9", "inf", "nan", "12 ", " 12", "0x1f", "."}) {
        const auto notice = readServerNotice(bad, "");
        BOOST_REQUIRE_MESSAGE(!notice, bad);
        BOOST_TEST((notice.error().kind == ErrorKind::InvalidMessage));
    }
}

BOOST_AUTO_TEST_CASE(leavingIsAnyValueButZero)
{
    BOOST_TEST(readServerNotice("", "1")->isLeaving);
    BOOST_TEST(!readServerNotice("", "0")->isLeaving);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace cornelhead
