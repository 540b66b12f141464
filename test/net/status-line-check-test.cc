// Tests which bytes are taken for the status line of a response.
#include <boost/test/unit_test.hpp>

#include "cornelhead/net/status-line-check.h"

namespace cornelhead::detail {

BOOST_AUTO_TEST_SUITE(status_line_check)

BOOST_AUTO_TEST_CASE(threeDigitsFollowTheVersion)
{
    for (const char *valid : {"HTTP/1.1 200 OK\r\n", "HTTP/1.0 503\r\n", "HTTP/1.1 100\n"})
        BOOST_TEST(beginsWithStatusLine(valid).value());
    for (const char *invalid :
         {"HTTP/1.1 000 X", "HTTP/1.1 0200 OK", "HTTP/1.1 +200", "HTTP/1.1 200x OK",
          "HTTP/1.1  200 O", "HTTP/1.1\t200 O", "HTTP/1.1\r\n", "HTTP/2", "http",
          "\r\nHTTP/1.1 200", "HTTP/1.1 2\n"})
        BOOST_TEST(!beginsWithStatusLine(invalid).value());
}

BOOST_AUTO_TEST_CASE(bytesAreJudgedAsSoonAsTheyTell)
{
    const std::string_view line = "HTTP/1.1 200 OK\r\n";
    for (std::size_t size = 0; size < statusLineStart; ++size)
        BOOST_TEST(!beginsWithStatusLine(line.substr(0, size)).has_value());
    BOOST_TEST(beginsWithStatusLine(line.substr(0, statusLineStart)).value());
}

BOOST_AUTO_TEST_CASE(lineAfterAnInterimResponseIsCheckedToo)
{
    evbuffer *input = evbuffer_new();
    StatusLineCheck check;
    evbuffer_add_printf(input, "HTTP/1.1 100 Continue\r\n");
    check.observe(input);
    evbuffer_drain(input, evbuffer_get_length(input));
    evbuffer_add_printf(input, "X: y\r\n");
    check.observe(input);
    BOOST_TEST(!check.isInvalid());
    evbuffer_drain(input, evbuffer_get_length(input));
    check.expectNext(input);
    evbuffer_add_printf(input, "HTTP/1.1 0200 OK\r\n");
    check.observe(input);
    BOOST_TEST(check.isInvalid());
    evbuffer_free(input);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace cornelhead::detail
