// Tests what sidecars tell callers that find all servers full, and how they serve them as they
// return.
#include "adapter/sidecar-fleet.h"

namespace cornelhead {

struct ReturnsFleet : SidecarFleet
{
    ReturnsFleet()
    {
        configure("00000005", usersRoute("look", "/look/", "idempotent", "bookings"));
        host = &add("bookings", "b1");
        settle();
        host->sidecar.reset();
        loop.runFor(Milliseconds(50));
        host->settings.returningFirst = true;
        startSidecar(*host);
        BOOST_TEST(announce(*host) == 200);
        waitForRoute("/look/1");
    }
    /// Sends a call whose caller waits for `deadline`.
    void send(Milliseconds deadline)
    {
        HttpRequest request = requestTo("/look/1");
        request.headers["Cornelhead-Deadline-Ms"] = std::to_string(deadline.count());
        client.send(host->settings.outbound, request, Milliseconds(4000),
                    [this](const Result<HttpResponse> &response) {
                        BOOST_REQUIRE(response);
                        ++statuses[response->status];
                        if (response->status == 503)
                            times.push_back(std::stod(response->headers.at("Retry-After")));
                    });
    }

    SidecarHost *host = nullptr;
    std::map<int, int> statuses;
    /// Seconds after which refused callers are to return.
    std::vector<double> times;
};

BOOST_FIXTURE_TEST_SUITE(returns, ReturnsFleet)

BOOST_AUTO_TEST_CASE(refusedCrowdIsToldDifferentTimesWithinAThirdOfItsDeadline)
{
    host->server->work = Milliseconds(300);
    constexpr int calls = 40;
    for (int i = 0; i < calls; ++i)
        send(Milliseconds(1500));
    waitUntil([this] { return statuses[200] + statuses[503] == calls; });
    BOOST_REQUIRE(times.size() > 20U);
    const auto [least, most] = std::minmax_element(times.begin(), times.end());
    BOOST_TEST(*least >= 0.05);
    BOOST_TEST(*most <= 0.5);
    BOOST_TEST(*most - *least > 0.15);
    BOOST_TEST(metricsOf(*host).find("cornelhead_entry_returns_total{place=\"booked\"} ")
               != std::string::npos);
}

BOOST_AUTO_TEST_CASE(returningCallIsCountedAndServed)
{
    for (int i = 0; i < 5; ++i)
        send(Milliseconds(1500));
    send(Milliseconds(1300));
    waitUntil([this] { return statuses[200] == 6; });
    BOOST_TEST(metricsOf(*host).find("cornelhead_serving_returning_total 1") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace cornelhead
