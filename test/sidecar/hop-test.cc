// Tests the headers between nodes.
#include <boost/test/unit_test.hpp>

#include "cornelhead/sidecar/body-offer.h"
#include "cornelhead/sidecar/hop.h"

namespace cornelhead {

BOOST_AUTO_TEST_SUITE(hop_headers)

HopResponse limitedResponse()
{
    HopResponse response{HopResult::NotRun, HopReason::Overload, NodeId("r1"), {}, Revision(7)};
    response.report.notice.limit = CallRate(12.5);
    response.report.notice.isLeaving = true;
    response.report.demand = CallRate(80.25);
    response.report.serverStartedAtMs = 1778067253011;
    response.report.counters.cold = 3;
    response.report.counters.cutOff = 5;
    response.report.counters.refused = 7;
    response.report.link = InboundLoad{360'000, LinkSpeed(1'250'000)};
    return response;
}

// Removes the last `count` fields, as an earlier version of the node sends the header.
std::string withoutLastFields(std::string text, int count)
{
    for (int i = 0; i < count; ++i)
        text.erase(text.rfind(' '));
    return text;
}

BOOST_AUTO_TEST_CASE(noticeIsPassedOn)
{
    const auto response = decodeHopResponse(encodeHopResponse(limitedResponse()));
    BOOST_REQUIRE(response);
    BOOST_TEST((response->report.notice.limit == CallRate(12.5)));
    BOOST_TEST(response->report.notice.isLeaving);
    BOOST_TEST(response->report.demand.perSecond() == 80.25);
    BOOST_TEST(response->report.serverStartedAtMs == 1778067253011);
    HopRequest request;
    request.knownLimit = CallRate(0.0);
    BOOST_TEST((decodeHopRequest(encodeHopRequest(request))->knownLimit == CallRate(0.0)));
    request.knownLimit.reset();
    BOOST_TEST(!decodeHopRequest(encodeHopRequest(request))->knownLimit);
}

BOOST_AUTO_TEST_CASE(customerIsPassedOn)
{
    HopRequest request;
    request.customer = CustomerId("clinic 7");
    const std::string text = encodeHopRequest(request);
    BOOST_TEST(decodeHopRequest(text)->customer.value() == "clinic 7");
    BOOST_TEST(decodeHopRequest(withoutLastFields(text, 1))->customer.empty());
}

BOOST_AUTO_TEST_CASE(countersArePassedOn)
{
    const auto response = decodeHopResponse(encodeHopResponse(limitedResponse()));
    BOOST_REQUIRE(response);
    BOOST_TEST(response->report.counters.cold == 3U);
    BOOST_TEST(response->report.counters.cutOff == 5U);
    BOOST_TEST(response->report.counters.refused == 7U);
}

BOOST_AUTO_TEST_CASE(linkIsPassedOn)
{
    const std::string text = encodeHopResponse(limitedResponse());
    BOOST_TEST(decodeHopResponse(text)->report.link.bytes == 360'000U);
    BOOST_TEST((decodeHopResponse(text)->report.link.speed == LinkSpeed(1'250'000)));
    const auto earlier = decodeHopResponse(withoutLastFields(text, 2));
    BOOST_REQUIRE(earlier);
    BOOST_TEST(!earlier->report.link.speed.isKnown());
    BOOST_TEST(earlier->report.counters.refused == 7U);
}

BOOST_AUTO_TEST_CASE(offerIsPassedOn)
{
    OfferRequest offer{360'000, {}};
    offer.hop.route = RouteId("scan-upload");
    const auto decoded = decodeOffer(encodeOffer(offer));
    BOOST_REQUIRE(decoded);
    BOOST_TEST(decoded->bodyBytes == 360'000U);
    BOOST_TEST(decoded->hop.route.value() == "scan-upload");
    for (const char *text : {"", "7", "x 1", "7 ", "7 2"})
        BOOST_TEST(!decodeOffer(text));
}

BOOST_AUTO_TEST_CASE(headersOfEarlierVersionsHaveNoNotice)
{
    const std::string response = encodeHopResponse(limitedResponse());
    const auto withoutCounters = decodeHopResponse(withoutLastFields(response, 5));
    BOOST_REQUIRE(withoutCounters);
    BOOST_TEST(withoutCounters->report.notice.isLeaving);
    BOOST_TEST(withoutCounters->report.counters.cold == 0U);
    const auto earlier = decodeHopResponse(withoutLastFields(response, 10));
    BOOST_REQUIRE(earlier);
    BOOST_TEST((earlier->configuration == Revision(7)));
    BOOST_TEST(!earlier->report.notice.limit);
    const auto request = decodeHopRequest(withoutLastFields(encodeHopRequest(HopRequest()), 3));
    BOOST_REQUIRE(request);
    BOOST_TEST(!request->knownLimit);
}

BOOST_AUTO_TEST_CASE(truncatedHeadersAreRefused)
{
    const std::string response = encodeHopResponse(limitedResponse());
    for (int count : {1, 3, 4, 6, 7, 8, 9, 11, 12})
        BOOST_TEST(!decodeHopResponse(withoutLastFields(response, count)));
    BOOST_TEST(!decodeHopRequest(withoutLastFields(encodeHopRequest(HopRequest()), 2)));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace cornelhead
