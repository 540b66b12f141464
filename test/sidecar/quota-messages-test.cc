// Tests the messages of quotas.
#include <boost/test/unit_test.hpp>

#include "cornelhead/sidecar/quota-messages.h"
#include "support/property.h"

namespace cornelhead {

BOOST_AUTO_TEST_SUITE(quota_messages)

BOOST_AUTO_TEST_CASE(messagesSurviveEncoding)
{
    checkProperty(
            41, 100,
            [](const std::string &text, std::uint16_t needed, std::uint16_t held, bool isCounted,
               bool isLeaving) {
                // Names of customers are UTF-8 in the configuration.
                std::string name = "c";
                for (const char each : text.substr(0, 100))
                    name.push_back(static_cast<char>(each & 0x7F));
                QuotaMessage message{3, {Address{"10.0.0.1", 80}, isCounted, isLeaving, {}, 7}};
                message.request.demands.push_back(
                        QuotaDemand{CustomerId(name), needed, 2, held, 4});
                const auto read = decodeQuotaMessage(encodeQuotaMessage(message));
                RC_ASSERT(read.has_value());
                RC_ASSERT(read->group == 3U);
                RC_ASSERT(read->request == message.request);
                const std::vector<QuotaGrant> grants{
                        {CustomerId(name), needed, Milliseconds(held)}};
                const auto readGrants = decodeQuotaGrants(encodeQuotaGrants(grants));
                RC_ASSERT(readGrants.has_value());
                RC_ASSERT(*readGrants == grants);
            });
}

BOOST_AUTO_TEST_CASE(malformedMessagesAreRefused)
{
    const std::string head
            = R"({"group":0,"node":"10.0.0.1:80","counted":true,"leaving":false,"hosts":7,)";
    BOOST_TEST(decodeQuotaMessage(head + R"("demands":[["a",1,2,3,4]]})").has_value());
    for (const char *demands :
         {"7", "{}", "[7]", "[[]]", R"([["a",1,2,3]])", R"([["a",1,2,3,4,5]])", R"([["",1,2,3,4]])",
          R"([[7,1,2,3,4]])", R"([["a",-1,2,3,4]])", R"([["a",1.5,2,3,4]])",
          R"([["a",1000001,2,3,4]])", R"([["a","1",2,3,4]])", R"([["a",[[[[1]]]],2,3,4]])"})
        BOOST_TEST(!decodeQuotaMessage(head + R"("demands":)" + demands + "}"), demands);
    for (const char *text :
         {"", "[]", "{}", "{",
          R"({"group":4,"node":"10.0.0.1:80","counted":true,"leaving":false,"hosts":7,"demands":[]})",
          R"({"group":-1,"node":"10.0.0.1:80","counted":true,"leaving":false,"hosts":7,"demands":[]})",
          R"({"group":0,"node":"10.0.0.1:80","counted":true,"leaving":false,"hosts":100001,"demands":[]})",
          R"({"group":0,"node":"host:80","counted":true,"leaving":false,"hosts":7,"demands":[]})",
          R"({"group":0,"node":"10.0.0.1:80","counted":1,"leaving":false,"hosts":7,"demands":[]})"})
        BOOST_TEST(!decodeQuotaMessage(text), text);
    BOOST_TEST(!decodeQuotaMessage(std::string(2'000'000, '[')));
    for (const char *text : {"", "{}", "[7]", R"([["a",1]])", R"([["a",1,-1]])",
                             R"([["a",1,60001]])", R"([["",1,0]])", R"([["a",1e300,0]])"})
        BOOST_TEST(!decodeQuotaGrants(text), text);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace cornelhead
