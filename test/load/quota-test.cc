// Tests the quotas of customers over several nodes.
#include "adapter/sidecar-fleet.h"

namespace cornelhead {

struct CustomerFleet : SidecarFleet
{
    CustomerFleet()
    {
        configureQuota("00000005", 20, 10);
        for (int i = 0; i < 3; ++i)
            entries.push_back(&add("bookings", "b" + std::to_string(i)));
        settle();
    }
    void configureQuota(const std::string &version, double rate, double burst)
    {
        store.write("op/config",
                    usersConfiguration(version,
                                       usersRoute("look", "/look/", "idempotent", "bookings"),
                                       usersCustomer("ash", "k1", rate, burst) + ","
                                               + usersCustomer("elm", "k2", 0, 0)));
    }
    HttpRequest requestWith(const std::string &key)
    {
        HttpRequest request = requestTo("/look/1");
        request.headers["Authorization"] = "Bearer " + key;
        return request;
    }
    /// Sends a call every `interval`, each through the next of the first `entryCount` entries.
    void sendCalls(const std::string &key, Milliseconds interval, Milliseconds duration,
                   std::size_t entryCount = 3)
    {
        Timer timer = loop.every(interval, [&] {
            client.send(entries[sent++ % entryCount]->settings.outbound, requestWith(key),
                        Milliseconds(4000), [&](const Result<HttpResponse> &response) {
                            ++ended;
                            if (response)
                                record(*response);
                        });
        });
        loop.runFor(duration);
        timer = Timer();
        waitUntil([&] { return ended == sent; });
    }
    void record(const HttpResponse &response)
    {
        ++statuses[response.status];
        if (response.status == 429)
            leastRetryAfter
                    = std::min(leastRetryAfter, std::stod(response.headers.at("retry-after")));
    }

    std::vector<SidecarHost *> entries;
    std::size_t sent = 0;
    std::size_t ended = 0;
    std::map<int, std::size_t> statuses;
    double leastRetryAfter = 1000.0;
};

BOOST_FIXTURE_TEST_SUITE(customer_quotas, CustomerFleet)

BOOST_AUTO_TEST_CASE(callsBeyondTheQuotaOfAllNodesAreRefused)
{
    sendCalls("k1", Milliseconds(8), Milliseconds(5000));
    BOOST_TEST(statuses[200] + statuses[429] == sent);
    BOOST_TEST(statuses[200] == runs());
    BOOST_TEST(runs() <= (20 * 5 + 10) * 1.1 + 20);
    BOOST_TEST(runs() >= 90U);
    BOOST_TEST(leastRetryAfter >= 0.05);
    BOOST_TEST(metricsOf(*entries[0]).find("cornelhead_quota_requests_total") != std::string::npos);
    // A customer without a limit.
    statuses.clear();
    const std::size_t before = sent;
    sendCalls("k2", Milliseconds(10), Milliseconds(1000));
    BOOST_TEST(statuses[200] == sent - before);
}

BOOST_AUTO_TEST_CASE(demandWithinTheQuotaIsServedWhereverItArises)
{
    for (const std::size_t entryCount : {3U, 1U, 2U})
        sendCalls("k1", Milliseconds(100), Milliseconds(1500), entryCount);
    BOOST_TEST(statuses[200] == sent);
}

BOOST_AUTO_TEST_CASE(quotaHoldsWhenNodesRestart)
{
    sendCalls("k1", Milliseconds(20), Milliseconds(1500));
    for (SidecarHost *host : {entries[0], entries[1]}) {
        host->sidecar.reset();
        loop.runFor(Milliseconds(20));
        startSidecar(*host);
        announce(*host);
        sendCalls("k1", Milliseconds(20), Milliseconds(1500));
    }
    BOOST_TEST(runs() <= (20 * 5 + 10) * 1.1 + 20);
    waitUntil([&] {
        statuses.clear();
        const std::size_t before = sent;
        sendCalls("k1", Milliseconds(100), Milliseconds(1000));
        return statuses[200] == sent - before;
    });
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace cornelhead
