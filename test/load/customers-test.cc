// Tests which calls sidecars accept where the configuration has customers, and what servers get.
#include "adapter/sidecar-fleet.h"

namespace cornelhead {

struct CustomersFleet : SidecarFleet
{
    SidecarHost *host = nullptr;
    SidecarHost *other = nullptr;

    CustomersFleet()
    {
        configureKeys("00000005", R"(["ash",["key-a1","key-a2"],0],["elm",["key-e1"],null])");
        host = &add("bookings", "b1");
        other = &add("catalogue", "c1");
        settle();
    }

    void configureKeys(const std::string &version, const std::string &customers)
    {
        std::string text = usersConfiguration(
                version, usersRoute("book", "/book/", "non_idempotent", "bookings"));
        text.insert(1,
                    R"("tenants":{"columns":["name","api-keys","priority"],"rows":[)" + customers
                            + "]},");
        store.write("op/config", text);
    }
    HttpRequest requestWith(const std::string &authorization)
    {
        HttpRequest request = requestTo("/book/1");
        if (!authorization.empty())
            request.headers["Authorization"] = authorization;
        return request;
    }
    int statusOf(const std::string &authorization)
    {
        return call(other->settings.outbound, requestWith(authorization)).status;
    }
    void waitForStatus(const std::string &authorization, int status)
    {
        waitUntil([&] { return statusOf(authorization) == status; });
    }
};

BOOST_FIXTURE_TEST_SUITE(customers, CustomersFleet)

BOOST_AUTO_TEST_CASE(serverGetsTheNameAndNeverTheKey)
{
    HttpRequest request = requestWith("Bearer key-a2");
    request.headers["Cornelhead-Tenant"] = "elm";
    BOOST_TEST(call(other->settings.outbound, request).status == 200);
    BOOST_REQUIRE(host->server->runs.size() == 1U);
    const HttpRequest &received = host->server->runs.front();
    BOOST_TEST(FakeServer::header(received, "Cornelhead-Tenant") == "ash");
    for (const auto &[name, value] : received.headers)
        BOOST_TEST(value.find("key-a2") == std::string::npos);
    BOOST_TEST(metricsOf(*other).find("key-a2") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(callsWithoutAKnownKeyAreRefused)
{
    const HttpResponse refused = call(other->settings.outbound, requestWith("Bearer key-x"));
    BOOST_TEST(refused.status == 401);
    BOOST_TEST(refused.headers.at("WWW-Authenticate") == "Bearer");
    BOOST_TEST(statusOf("") == 401);
    BOOST_TEST(statusOf("Basic key-a1") == 401);
    BOOST_TEST(runs() == 0U);
}

BOOST_AUTO_TEST_CASE(callOfAServerNeedsNoKeyAndAForgedOneIsRefused)
{
    std::optional<HttpResponse> nested;
    host->server->behaviour = [&](const HttpRequest &request, const Responder &responder) {
        HttpRequest inner = requestWith("");
        inner.headers["Cornelhead-Request-Id"]
                = FakeServer::header(request, "Cornelhead-Request-Id") + ".1";
        const bool isOuter = FakeServer::header(request, "Cornelhead-Tenant") == "ash";
        if (!isOuter) {
            responder.send(host->server->answerTo(request));
            return;
        }
        client.send(host->settings.outbound, inner, Milliseconds(2000),
                    [this, &nested, request, responder](const Result<HttpResponse> &response) {
                        nested = response ? *response : HttpResponse{};
                        responder.send(host->server->answerTo(request));
                    });
    };
    BOOST_TEST(statusOf("Bearer key-a1") == 200);
    BOOST_REQUIRE(nested);
    BOOST_TEST(nested->status == 200);
    BOOST_TEST(host->server->runs.size() == 2U);
    HttpRequest forged = requestWith("");
    forged.headers["Cornelhead-Request-Id"] = "id900.1";
    BOOST_TEST(call(host->settings.outbound, forged).status == 503);
    BOOST_TEST(host->server->runs.size() == 2U);
}

BOOST_AUTO_TEST_CASE(keyTakenAwayIsRefusedOnOpenConnectionsToo)
{
    BOOST_TEST(statusOf("Bearer key-a1") == 200);
    configureKeys("00000007", R"(["ash",["key-a2"],0],["elm",["key-e1"],null])");
    // The client keeps its connection between these calls.
    waitForStatus("Bearer key-a1", 401);
    BOOST_TEST(statusOf("Bearer key-a2") == 200);
    configureKeys("00000009", R"(["ash",[],0])");
    waitForStatus("Bearer key-a2", 401);
    BOOST_TEST(statusOf("Bearer key-e1") == 401);
}

BOOST_AUTO_TEST_CASE(invalidCustomersLeaveTheConfigurationInForce)
{
    configureKeys("00000007", R"(["ash",["key-a1"],0],["elm",["key-a1"],0])");
    configureKeys("00000009", R"(["ash",["key-new"],"high"])");
    loop.runFor(Milliseconds(1500));
    BOOST_TEST(statusOf("Bearer key-a1") == 200);
    BOOST_TEST(statusOf("Bearer key-e1") == 200);
    configureKeys("0000000b", R"(["ash",["key-new"],1])");
    waitForStatus("Bearer key-new", 200);
    BOOST_TEST(statusOf("Bearer key-a1") == 401);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace cornelhead
