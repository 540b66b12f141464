// Tests the codecs of the users' platform with valid, malformed and truncated messages.
#include <boost/test/unit_test.hpp>

#include "platform/base64.h"
#include "platform/users-messages.h"
#include "platform/users-store-codec.h"
#include "support/property.h"
#include "support/users-configuration.h"

namespace cornelhead::adapter {

const std::string oneRoute = usersRoute("r1", "/book/", "non_idempotent", "bookings");

bool isRejected(const std::string &configuration)
{
    return !readConfiguration(configuration).has_value();
}

std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    const std::size_t at = text.find(from);
    BOOST_REQUIRE(at != std::string::npos);
    return text.replace(at, from.size(), to);
}

BOOST_AUTO_TEST_SUITE(users_messages)

BOOST_AUTO_TEST_CASE(configurationIsDecoded)
{
    const auto table = readConfiguration(
            usersConfiguration("0000001c",
                               oneRoute + ","
                                       + usersRoute("r2", "/look/", "idempotent", "",
                                                    R"([{"service":"bookings","weight":90},)"
                                                    R"({"service":"catalogue","weight":10}])")));
    BOOST_REQUIRE(table);
    BOOST_TEST((*table)->revision().value() == 28U);
    const HostRoute *booking = (*table)->match("site.example", "/book/1");
    BOOST_REQUIRE(booking);
    BOOST_TEST(!booking->isIdempotent);
    BOOST_TEST(booking->timeout.count() == 2000);
    BOOST_TEST(booking->objective.count() == 500);
    BOOST_TEST(booking->attempts == 2U);
    const HostRoute *look = (*table)->match("site.example", "/look/");
    BOOST_REQUIRE(look);
    BOOST_TEST(look->isIdempotent);
    BOOST_REQUIRE(look->targets.size() == 2U);
    BOOST_TEST(look->targets[1].weight == 10U);
    BOOST_TEST((*table)->findService(ServiceId("catalogue"))->healthPath == "/healthz");
}

std::string withCustomers(const std::string &rows)
{
    std::string text = usersConfiguration("00000001", oneRoute);
    return text.insert(1,
                       R"("tenants":{"columns":["name","api-keys","priority","rate-per-s",)"
                       R"("burst"],"rows":[)"
                               + rows + "]},");
}

BOOST_AUTO_TEST_CASE(customersAreDecoded)
{
    const auto table = readConfiguration(withCustomers(
            R"(["ash",["k1","k2"],2,602,60.5],["elm",[],null,null,null],["oak",null,null,1,1])"));
    BOOST_REQUIRE(table);
    const HostCustomer *ash = (*table)->customers()->find("k2");
    BOOST_REQUIRE(ash);
    BOOST_TEST(ash->id.value() == "ash");
    BOOST_TEST(*ash->priority == 2U);
    BOOST_TEST((ash->quota == CallQuota{602.0, 60.5}));
    const HostCustomer *elm = (*table)->customers()->findCustomer(CustomerId("elm"));
    BOOST_REQUIRE(elm);
    BOOST_TEST(!elm->priority);
    BOOST_TEST(!elm->quota.isLimited());
    BOOST_TEST((*table)->customers()->findCustomer(CustomerId("oak"))->keys.empty());
    BOOST_TEST(!(*readConfiguration(usersConfiguration("00000001", oneRoute)))->customers());
}

BOOST_AUTO_TEST_CASE(malformedCustomersAreRejectedAndNoErrorHoldsAKey)
{
    for (const char *rows :
         {R"(["ash",["secret"],2,602])", R"([7,["secret"],2,602,60])",
          R"(["ash","secret",2,602,60])", R"(["ash",[7],2,602,60])",
          R"(["ash",["secret"],-1,602,60])", R"(["ash",["secret"],1.5,602,60])",
          R"(["ash",["secret"],2,-602,60])", R"(["ash",["secret"],2,602,-60])",
          R"(["ash",["secret"],2,"602",60])", R"(["ash",["secret"],2,602,true])",
          R"(["ash",["secret"],2,1e999,60])", R"(["",["secret"],2,602,60])",
          R"(["ash",["secret"],2,1,1],["elm",["secret"],2,1,1])", R"(["ash",["secret"]"x"])"}) {
        const auto table = readConfiguration(withCustomers(rows));
        BOOST_TEST_CONTEXT(rows)
        {
            BOOST_REQUIRE(!table);
            BOOST_TEST(table.error().describe().find("secret") == std::string::npos);
        }
    }
}

BOOST_AUTO_TEST_CASE(durationsMayBeFractionsOfASecond)
{
    const auto table = readConfiguration(
            replaced(usersConfiguration("00000001", oneRoute), "2000ms", "2.5s"));
    BOOST_REQUIRE(table);
    BOOST_TEST((*table)->match("site.example", "/book/")->timeout.count() == 2500);
}

BOOST_AUTO_TEST_CASE(malformedConfigurationsAreRejected)
{
    const std::string valid = usersConfiguration("00000001", oneRoute);
    BOOST_REQUIRE(!isRejected(valid));
    BOOST_TEST(isRejected(""));
    BOOST_TEST(isRejected("[]"));
    BOOST_TEST(isRejected(replaced(valid, "\"00000001\"", "1")));
    BOOST_TEST(isRejected(replaced(valid, "00000001", "0000000g")));
    BOOST_TEST(isRejected(replaced(valid, "00000001", "00000000")));
    BOOST_TEST(isRejected(replaced(valid, "2000ms", "2000")));
    BOOST_TEST(isRejected(replaced(valid, "2000ms", "-5ms")));
    BOOST_TEST(isRejected(replaced(valid, ",2,\"bookings\"", ",2")));
    BOOST_TEST(isRejected(replaced(valid, "\"bookings\"]", "\"nowhere\"]")));
    BOOST_TEST(isRejected(replaced(valid, "\"bookings\"]", "7]")));
    BOOST_TEST(isRejected(replaced(valid, "\"bookings\"]", "null]")));
    BOOST_TEST(isRejected(replaced(valid, "\"site.example\"", "\"\"")));
    BOOST_TEST(isRejected(replaced(valid, "\"kind\"", "\"sort\"")));
    const std::string split = R"([{"service":"bookings","weight":-1}])";
    BOOST_TEST(isRejected(
            usersConfiguration("00000001", usersRoute("r", "/x/", "idempotent", "", split))));
    BOOST_TEST(isRejected(
            usersConfiguration("00000001", usersRoute("r", "/x/", "idempotent", "", "[]"))));
}

BOOST_AUTO_TEST_CASE(configurationTruncatedAnywhereIsRejected)
{
    const std::string valid = usersConfiguration("00000001", oneRoute);
    for (std::size_t size = 0; size < valid.size(); ++size)
        BOOST_TEST(isRejected(valid.substr(0, size)), "truncated at " << size);
}

BOOST_AUTO_TEST_CASE(decodersSurviveCorruptBytes)
{
    const std::string valid = usersConfiguration("00000001", oneRoute);
    checkProperty(41, 3000, [&](std::uint16_t at, std::uint8_t byte) {
        std::string corrupted = valid;
        corrupted[at % corrupted.size()] = static_cast<char>(byte);
        (void)readConfiguration(corrupted);
        (void)readMoveOrder(KeyValue{"op/rollout/x", corrupted, ModRevision(1)});
        HttpRequest request{HttpMethod::Put, "/instances/i-1", {}, {}, corrupted};
        (void)readServerMessage(request);
    });
}

BOOST_AUTO_TEST_CASE(routeOfUnknownKindIsNotIdempotent)
{
    const auto table = readConfiguration(
            usersConfiguration("00000001", usersRoute("r", "/x/", "streamed", "bookings")));
    BOOST_REQUIRE(table);
    BOOST_TEST(!(*table)->match("site.example", "/x/")->isIdempotent);
}

BOOST_AUTO_TEST_CASE(moveOrderIsDecoded)
{
    BOOST_TEST(isMoveOrder("op/rollout/catalogue"));
    BOOST_TEST(!isMoveOrder("op/config"));
    const auto order = readMoveOrder(KeyValue{
            "op/rollout/catalogue", R"({"service":"catalogue","target-version":"v2","ramp":"12s"})",
            ModRevision(9)});
    BOOST_REQUIRE(order);
    BOOST_TEST(order->target.value() == "v2");
    BOOST_TEST(order->maxDuration.count() == 12'000);
    BOOST_TEST(order->orderRevision.value() == 9U);
    for (const char *bad : {"", "{}", R"({"service":"a","target-version":2,"ramp":"12s"})",
                            R"({"service":"a","target-version":"v2","ramp":12})"})
        BOOST_TEST(!readMoveOrder(KeyValue{"op/rollout/a", bad, ModRevision(1)}));
}

BOOST_AUTO_TEST_CASE(moveStatusIsEncoded)
{
    const MoveStatusEntry status
            = renderMoveStatus(VersionMove{ServiceId("catalogue"), VersionId("v2"), ModRevision(9),
                                           0, VersionMoveState::Reverted});
    BOOST_TEST(status.key == "status/rollout/catalogue");
    BOOST_TEST(status.value.find(R"("state":"reverted")") != std::string::npos);
    BOOST_TEST(status.value.find(R"("target-version":"v2")") != std::string::npos);
}

const std::string heartbeat
        = R"({"address":"10.0.0.9:8080","born":1764800000000,"server-info":{"service":"bookings",)"
          R"("version":"v1","zone":"akl-a","slots":9},"status":{"state":"ready","seq":4,)"
          R"("cold-left":"0ms"}})";

Result<ServerMessage> messageOf(const std::string &body, HttpMethod method = HttpMethod::Put,
                                const std::string &path = "/instances/i-7")
{
    return readServerMessage(HttpRequest{method, path, {}, {}, body});
}

BOOST_AUTO_TEST_CASE(heartbeatIsDecoded)
{
    const auto message = messageOf(heartbeat);
    BOOST_REQUIRE(message);
    const auto &announcement = std::get<ServerAnnouncement>(*message);
    BOOST_TEST(announcement.server.id.value() == "i-7");
    BOOST_TEST(announcement.server.slots == 9U);
    BOOST_TEST(announcement.sequence == 4U);
    BOOST_TEST(announcement.startedAtMs == 1764800000000);
    BOOST_TEST((announcement.server.state == ServerState::Serving));
    BOOST_TEST((announcement.remainingColdTime == Milliseconds(0)));
    const auto cold = messageOf(replaced(heartbeat, "0ms", "2.5s"));
    BOOST_TEST((std::get<ServerAnnouncement>(*cold).remainingColdTime == Milliseconds(2500)));
    const auto leaving = messageOf(replaced(heartbeat, "ready", "draining"));
    BOOST_TEST((std::get<ServerAnnouncement>(*leaving).server.state == ServerState::Draining));
    BOOST_TEST(std::holds_alternative<ServerDeparture>(*messageOf("", HttpMethod::Delete)));
}

BOOST_AUTO_TEST_CASE(malformedHeartbeatsAreRejected)
{
    const auto kindOf = [](const Result<ServerMessage> &message) { return message.error().kind; };
    for (const auto &[from, to] : std::vector<std::pair<std::string, std::string>>{
                 {"\"ready\"", "\"asleep\""},
                 {"\"seq\":4", "\"seq\":\"4\""},
                 {"\"slots\":9", "\"slots\":0"},
                 {"\"slots\":9", "\"slots\":-1"},
                 {"\"slots\":9", "\"slots\":1e30"},
                 {"\"slots\":9", "\"slots\":4294967296"},
                 {"\"seq\":4", "\"seq\":-1"},
                 {"\"seq\":4", "\"seq\":1e30"},
                 {"\"seq\":4", "\"seq\":18446744073709551615"},
                 {"\"0ms\"", "\"1e300s\""},
                 {"\"0ms\"", "\"nans\""},
                 {"1764800000000", "-1"},
                 {"1764800000000", "18446744073709551615"},
                 {"\"0ms\"", "0"},
                 {"1764800000000", "1764800000000.5"},
                 {"1764800000000", "\"1764800000000\""},
                 {"\"service\":\"bookings\",", ""},
                 {"\"version\":\"v1\"", "\"version\":null"}}) {
        const auto message = messageOf(replaced(heartbeat, from, to));
        BOOST_REQUIRE(!message);
        BOOST_TEST((kindOf(message) == ErrorKind::InvalidMessage));
    }
    BOOST_TEST((kindOf(messageOf(std::string(10'000, '['))) == ErrorKind::TooLarge));
    BOOST_TEST((kindOf(messageOf(heartbeat, HttpMethod::Post)) == ErrorKind::NotFound));
    BOOST_TEST(
            (kindOf(messageOf(heartbeat, HttpMethod::Put, "/instances/")) == ErrorKind::NotFound));
    BOOST_TEST((kindOf(messageOf(heartbeat, HttpMethod::Put, "/other/i")) == ErrorKind::NotFound));
}

BOOST_AUTO_TEST_CASE(base64RoundTrips)
{
    BOOST_TEST(encodeBase64("node-1") == "bm9kZS0x");
    BOOST_TEST(encodeBase64("a") == "YQ==");
    checkProperty(5, 500, [](const std::string &bytes) {
        RC_ASSERT(decodeBase64(encodeBase64(bytes)) == bytes);
    });
    for (const char *bad : {"a", "ab=c", "a===", "a b=", "YQ=", "Y\nQ="})
        BOOST_TEST(!decodeBase64(bad));
}

BOOST_AUTO_TEST_SUITE_END()

struct CodecFixture
{
    UsersStoreCodec codec;
    static HttpResponse response(int status, const std::string &body = {})
    {
        return HttpResponse{status, {}, body};
    }
};

BOOST_FIXTURE_TEST_SUITE(users_store_codec, CodecFixture)

BOOST_AUTO_TEST_CASE(writesAreTransactions)
{
    const auto request
            = codec.put("my/leader", "node-1", ExpectedRevision{ModRevision(7)}, LeaseId("77120"));
    BOOST_REQUIRE(request);
    BOOST_TEST(request->path == "/kv-txn");
    BOOST_TEST(request->body.find(R"("mod-rev":7)") != std::string::npos);
    BOOST_TEST(request->body.find(R"("lease-id":77120)") != std::string::npos);
    BOOST_TEST(request->body.find("bm9kZS0x") != std::string::npos);
    const auto unconditional = codec.put("k", "v", std::nullopt, std::nullopt);
    BOOST_TEST(unconditional->body.find(R"("expect-rev":[])") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(httpStatusesMapToErrorKinds)
{
    const auto kindOf = [&](int status) { return codec.readPut(response(status)).error().kind; };
    BOOST_TEST((kindOf(412) == ErrorKind::Conflict));
    BOOST_TEST((kindOf(404) == ErrorKind::NotFound));
    BOOST_TEST((kindOf(429) == ErrorKind::RateLimited));
    BOOST_TEST((kindOf(503) == ErrorKind::Unavailable));
    BOOST_TEST((kindOf(500) == ErrorKind::Unknown));
    BOOST_TEST((codec.readWatch(response(410)).error().kind == ErrorKind::Stale));
    BOOST_TEST(!codec.readGet(response(404)).value().has_value());
}

BOOST_AUTO_TEST_CASE(watchEventsAndListingPagesAreDecoded)
{
    const auto watch = codec.readWatch(response(
            200,
            R"({"events":[{"key":"a","value":"YQ==","mod-rev":4,"created":4,"lease-id":0},)"
            R"({"key":"b","mod-rev":5,"deleted":true}],"at-rev":9})"));
    BOOST_REQUIRE(watch);
    BOOST_TEST(watch->changed.at(0).value == "a");
    BOOST_TEST(watch->removed.at(0) == "b");
    BOOST_TEST(watch->storeRevision.value() == 9U);
    const auto page = codec.readList(response(200, R"({"items":[],"has-more":true,"at-rev":3})"));
    BOOST_REQUIRE(page);
    BOOST_TEST(page->hasMore);
}

BOOST_AUTO_TEST_CASE(malformedResponsesFailWithUnknown)
{
    for (const char *bad : {"", "{", "7", R"({"events":7,"at-rev":1})", R"({"events":[]})",
                            R"({"events":[{"key":"a","value":"*","mod-rev":1}],"at-rev":1})",
                            R"({"events":[{"key":"a","mod-rev":1}],"at-rev":1})"}) {
        const auto watch = codec.readWatch(response(200, bad));
        BOOST_REQUIRE(!watch);
        BOOST_TEST((watch.error().kind == ErrorKind::Unknown));
    }
    BOOST_TEST(!codec.readLease(response(200, R"({"lease-id":"x"})")));
    BOOST_TEST(!codec.readPut(response(200, "{}")));
}

BOOST_AUTO_TEST_CASE(eraIsANumberOrIsIgnored)
{
    const adapter::UsersStoreCodec codec;
    const auto eraOfHeader = [&codec](const char *value) {
        return codec.readEra(HttpResponse{503, {{"Store-Era", value}}, {}});
    };
    BOOST_TEST((eraOfHeader("7") == StoreEra(7)));
    BOOST_TEST((eraOfHeader("1048575") == maxStoreEra));
    for (const char *bad : {"", "x", "-1", "1.5", "1048576", "7 ", "99999999999999999999"})
        BOOST_TEST(!eraOfHeader(bad));
    BOOST_TEST(!codec.readEra(HttpResponse{200, {}, {}}));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace cornelhead::adapter
