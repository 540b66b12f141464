// Tests calls with large bodies on hosts with narrow links: room is asked for before the body is
// sent.
#include "adapter/sidecar-fleet.h"
#include "cornelhead/sidecar/body-offer.h"

namespace cornelhead {

struct LargeBodyFixture : SidecarFleet
{
    SidecarHost *entry = nullptr;
    const std::string body = std::string(100'000, 'x');

    LargeBodyFixture()
    {
        configure("00000005", usersRoute("book", "/book/", "non_idempotent", "bookings"));
        entry = &add("catalogue", "c1");
        add("bookings", "b1");
        add("bookings", "b2");
        for (SidecarHost &host : hosts)
            setLink(host, 10.0);
        settle();
    }
    void setLink(SidecarHost &host, double mbps)
    {
        host.sidecar.reset();
        loop.runFor(Milliseconds(50));
        store.erase("cornelhead/hosts/" + host.settings.inbound.toString());
        host.settings.linkMbps = mbps;
        startSidecar(host);
        announce(host);
    }
    HttpResponse upload()
    {
        return call(entry->settings.outbound, requestTo("/book/1", HttpMethod::Post, body));
    }
    /// An offer as another node sends it.
    HopResponse offer(const SidecarHost &host, const std::string &id, std::uint64_t bytes,
                      Milliseconds objectiveLeft = Milliseconds(500))
    {
        HttpRequest request = hopRequestTo(host, id, false, runOf(host));
        OfferRequest content;
        content.hop = *decodeHopRequest(request.headers[hopRequestHeader]);
        content.hop.objectiveLeft = objectiveLeft;
        content.hop.mayHandBack = true;
        content.bodyBytes = bytes;
        request.headers.erase(hopRequestHeader);
        request.headers[offerHeader] = encodeOffer(content);
        request.path = offerPath;
        request.body.clear();
        const HttpResponse response = call(host.settings.inbound, request);
        return *decodeHopResponse(response.headers.at(hopResponseHeader));
    }
    std::uint64_t metric(SidecarHost &host, const std::string &name)
    {
        const std::string text = metricsOf(host);
        const std::size_t at = text.find("\n" + name + " ");
        BOOST_REQUIRE(at != std::string::npos);
        return std::stoull(text.substr(at + name.size() + 2));
    }
};

/// The node of another host with a server of the bookings service.
struct OtherNode
{
    HttpServer server;
    Address address = SidecarFleet::freeAddress();
    std::size_t offers = 0;
    std::vector<HttpRequest> calls;
    /// Offers without a response.
    std::vector<Responder> unanswered;
    bool answersOffers = true;

    explicit OtherNode(LargeBodyFixture &fleet) : server(fleet.loop, {})
    {
        server.setHandler([this](const HttpRequest &request, const Responder &responder) {
            serve(request, responder);
        });
        BOOST_REQUIRE(server.listen(address).has_value());
        HostEntry entry{address, NodeId("other"), DataCentreId("akl-a"), {}, false, 0};
        entry.server = HostedServer{ServerId("other"), ServiceId("bookings"), VersionId("v1"), 2};
        fleet.store.write("cornelhead/hosts/" + address.toString(), encodeHostEntry(entry));
        fleet.loop.runFor(Milliseconds(1700));
    }
    void serve(const HttpRequest &request, const Responder &responder)
    {
        if (request.headers.contains(hopRequestHeader)) {
            calls.push_back(request);
            const HopResponse response{
                    HopResult::Answered, HopReason::None, NodeId("other"), {}, Revision(5)};
            responder.send(
                    HttpResponse{200, {{hopResponseHeader, encodeHopResponse(response)}}, "other"});
            return;
        }
        offers += request.path == offerPath ? 1 : 0;
        if (answersOffers)
            responder.send(HttpResponse{404, {}, {}});
        else
            unanswered.push_back(responder);
    }
};

BOOST_FIXTURE_TEST_SUITE(large_body, LargeBodyFixture)

BOOST_AUTO_TEST_CASE(bodyIsSentOnceToAHostThatHoldsRoom)
{
    BOOST_TEST(upload().status == 200);
    BOOST_TEST(runs() == 1U);
    BOOST_TEST(metric(*entry, "cornelhead_entry_offers_total") == 1U);
    BOOST_TEST(metric(hosts[1], "cornelhead_serving_rooms_held_total")
                       + metric(hosts[2], "cornelhead_serving_rooms_held_total")
               == 1U);
    BOOST_TEST(metric(hosts[1], "cornelhead_serving_inbound_bytes")
                       + metric(hosts[2], "cornelhead_serving_inbound_bytes")
               == 0U);
}

BOOST_AUTO_TEST_CASE(smallBodiesAreSentWithoutAnOffer)
{
    BOOST_TEST(
            call(entry->settings.outbound, requestTo("/book/1", HttpMethod::Post, "seat=4")).status
            == 200);
    BOOST_TEST(metric(*entry, "cornelhead_entry_offers_total") == 0U);
}

BOOST_AUTO_TEST_CASE(fullHostGetsNoBytesAndAnotherRunsTheCall)
{
    // 2 slots and a spare place.
    for (const char *id : {"a", "b", "c"})
        BOOST_TEST((offer(hosts[1], id, 10'000).reason == HopReason::None));
    const HopResponse refused = offer(hosts[1], "d", 10'000);
    BOOST_TEST((refused.reason == HopReason::Busy));
    BOOST_TEST((refused.result == HopResult::NotRun));
    BOOST_TEST(refused.report.link.bytes == 30'000U);
    BOOST_TEST((refused.report.link.speed == LinkSpeed::fromMbps(10.0)));
    BOOST_TEST(upload().status == 200);
    BOOST_TEST(hosts[1].server->runs.empty());
    BOOST_TEST(hosts[2].server->runs.size() == 1U);
    BOOST_TEST(metric(hosts[1], "cornelhead_server_calls_total") == 0U);
}

BOOST_AUTO_TEST_CASE(bodyThatWouldArriveTooLateIsRefused)
{
    // 320 ms of the link.
    BOOST_TEST((offer(hosts[1], "a", 400'000).reason == HopReason::None));
    BOOST_TEST((offer(hosts[1], "b", 1'000'000).reason == HopReason::Busy));
    BOOST_TEST(hosts[1].server->runs.empty());
}

BOOST_AUTO_TEST_CASE(callAfterAnExpiredRoomIsANewOne)
{
    BOOST_TEST((offer(hosts[1], "a", 10'000).reason == HopReason::None));
    waitUntil([this] { return metric(hosts[1], "cornelhead_serving_rooms_expired_total") == 1U; });
    const HttpResponse response
            = call(hosts[1].settings.inbound, hopRequestTo(hosts[1], "a", false, runOf(hosts[1])));
    BOOST_TEST(response.status == 200);
    BOOST_TEST(hosts[1].server->runs.size() == 1U);
}

// A node of an earlier version sends the body without an offer.
BOOST_AUTO_TEST_CASE(bodyWithoutAnOfferIsServed)
{
    HttpRequest request = hopRequestTo(hosts[1], "a", false, runOf(hosts[1]));
    request.body = body;
    BOOST_TEST(call(hosts[1].settings.inbound, request).status == 200);
    BOOST_TEST(metric(hosts[1], "cornelhead_serving_rooms_held_total") == 0U);
}

BOOST_AUTO_TEST_CASE(nodeOfAnEarlierVersionGetsTheCallWithoutAnOffer)
{
    for (SidecarHost &host : hosts)
        announce(host, "v1", "draining");
    OtherNode other(*this);
    BOOST_TEST(upload().body == "other");
    BOOST_TEST(other.offers == 1U);
    BOOST_REQUIRE(other.calls.size() == 1U);
    BOOST_TEST(other.calls.front().body == body);
    BOOST_TEST(runs() == 0U);
}

BOOST_AUTO_TEST_CASE(anotherHostRunsTheCallIfAnOfferIsNotAnswered)
{
    OtherNode other(*this);
    other.answersOffers = false;
    std::size_t uploads = 0;
    waitUntil([&] {
        ++uploads;
        const TimePoint begin = now(SteadyClock());
        BOOST_TEST(upload().status == 200);
        BOOST_TEST((now(SteadyClock()) - begin < Milliseconds(1000)));
        return other.offers > 0;
    });
    BOOST_TEST(other.calls.empty());
    BOOST_TEST(runs() == uploads);
    BOOST_TEST(metric(*entry, "cornelhead_entry_offers_unanswered_total") == 1U);
}

BOOST_AUTO_TEST_CASE(uploadsWaitForTheLinkAndAllAreServed)
{
    constexpr std::size_t count = 6;
    std::size_t served = 0;
    for (std::size_t i = 0; i < count; ++i) {
        client.send(entry->settings.outbound,
                    requestTo("/book/1", HttpMethod::Post, std::string(50'000, 'x')),
                    Milliseconds(8000), [&](const Result<HttpResponse> &response) {
                        BOOST_TEST((response && response->status == 200));
                        ++served;
                    });
    }
    waitUntil([&] { return served == count; });
    BOOST_TEST(runs() == count);
    BOOST_TEST(metric(*entry, "cornelhead_entry_upload_bytes_waiting") == 0U);
}

// The body waits for room and the link; its caller leaves meanwhile.
BOOST_AUTO_TEST_CASE(callerThatLeavesFreesTheLink)
{
    OtherNode other(*this);
    other.answersOffers = false;
    for (SidecarHost &host : hosts)
        announce(host, "v1", "draining");
    loop.runFor(Milliseconds(1700));
    for (int i = 0; i < 3; ++i) {
        HttpClient leaving(loop);
        bool isEnded = false;
        leaving.send(entry->settings.outbound, requestTo("/book/1", HttpMethod::Post, body),
                     Milliseconds(100), [&](const Result<HttpResponse> &) { isEnded = true; });
        waitUntil([&] { return isEnded; });
    }
    other.answersOffers = true;
    loop.runFor(Milliseconds(1000));
    BOOST_TEST(upload().body == "other");
}

BOOST_AUTO_TEST_CASE(bodyThatTheLinkCannotSendInTimeIsRefusedAtOnce)
{
    const TimePoint begin = now(SteadyClock());
    const HttpResponse response
            = call(entry->settings.outbound,
                   requestTo("/book/1", HttpMethod::Post, std::string(4'000'000, 'x')));
    BOOST_TEST(response.status == 503);
    BOOST_TEST(response.headers.contains("Retry-After"));
    BOOST_TEST((now(SteadyClock()) - begin < Milliseconds(1000)));
    BOOST_TEST(runs() == 0U);
    BOOST_TEST(metric(*entry, "cornelhead_entry_uploads_refused_total") == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace cornelhead
