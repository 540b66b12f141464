// Tests the pure decisions of the call path.
#include <boost/test/unit_test.hpp>

#include "config/sample.h"
#include "cornelhead/routing/admission.h"
#include "cornelhead/routing/call-queue.h"
#include "cornelhead/routing/limits.h"
#include "cornelhead/routing/poison.h"
#include "cornelhead/routing/retry.h"
#include "cornelhead/routing/server-choice.h"
#include "cornelhead/routing/version-choice.h"

namespace cornelhead {

struct ServersFixture
{
    ServerBook book{DataCentreId("akl-a")};
    EndpointTable table;
    Random random{7};
    TimePoint time{Milliseconds(1000)};

    void add(const std::string &id, const std::string &dataCentre,
             ServerState state = ServerState::Serving)
    {
        Endpoint endpoint;
        endpoint.id = ServerId(id);
        endpoint.service = ServiceId("bookings");
        endpoint.version = VersionId("v1");
        endpoint.dataCentre = DataCentreId(dataCentre);
        endpoint.slots = 2;
        endpoint.connections = 100;
        endpoint.state = state;
        table.servers[endpoint.service].push_back(endpoint);
        book.update(table, ConnectionSplit{});
    }
    ServerBook::Record choose(const std::vector<ServerBook::Record> &tried = {})
    {
        return book.choose(ServiceId("bookings"), VersionId("v1"), tried, time, random).server;
    }
    std::string chosenId() { return choose()->endpoint.id.value(); }
    void failOften(const ServerBook::Record &server)
    {
        for (int i = 0; i < 20; ++i) {
            ServerBook::begin(*server);
            book.finish(*server, ServerResult::Failed, Microseconds(10), time);
        }
    }
};

BOOST_AUTO_TEST_SUITE(routing)

BOOST_AUTO_TEST_CASE(escapesCannotHideFromRoutes)
{
    const auto config = Snapshot::build(Revision(1), sampleDeclarations()).value();
    const auto reason = [&](const char *path, const char *customer = "wellington") {
        const auto result = admit(*config, CallHead{customer, path, ""});
        return result ? std::string_view("admitted") : refusalFacts(result.error()).name;
    };
    BOOST_TEST(reason("/bookings/%62ook") == "key-missing");
    BOOST_TEST(reason("/bookings/x%2") == "bad-request");
    BOOST_TEST(reason("/bookings/x%2Fbook") == "bad-request");
    BOOST_TEST(reason("/bookings/%2e%2e/doorlist") == "bad-request");
    BOOST_TEST(reason("/bookings/%00") == "bad-request");
    BOOST_TEST(reason("/bookings/list") == "admitted");
    BOOST_TEST(reason("/bookings/book", "ana") == "plan-lacks-service");
}

BOOST_AUTO_TEST_CASE(aTakenBackVersionNeverGetsACall)
{
    const Service service{ServiceId("bookings"), VersionId("v1")};
    Move move;
    move.oldVersion = VersionId("v1");
    move.newVersion = VersionId("v2");
    move.share = PerMille(1000);
    move.state = MoveState::RolledBack;
    BOOST_TEST(chooseVersion(service, &move, 0.0).first->value() == "v1");
    BOOST_TEST(!chooseVersion(service, &move, 0.0).second);
    move.state = MoveState::Running;
    move.refusedVersions = {VersionId("v2")};
    BOOST_TEST(chooseVersion(service, &move, 0.0).first->value() == "v1");
    move.refusedVersions.clear();
    BOOST_TEST(chooseVersion(service, &move, 0.999).first->value() == "v2");
    move.share = PerMille(10);
    BOOST_TEST(chooseVersion(service, &move, 0.0099).first->value() == "v2");
    BOOST_TEST(chooseVersion(service, &move, 0.01).first->value() == "v1");
    BOOST_TEST(!chooseVersion(service, &move, 0.01).second);
}

BOOST_AUTO_TEST_CASE(limitsRateBurstAndConcurrency)
{
    CustomerLimits limits;
    const CustomerId ana("ana");
    const Plan plan{PlanId("p"), {}, {}, 10, 3, 2};
    TimePoint time{Milliseconds(1)};
    BOOST_TEST((limits.take(ana, plan, time) == LimitResult::Admitted));
    BOOST_TEST((limits.take(ana, plan, time) == LimitResult::Admitted));
    BOOST_TEST((limits.take(ana, plan, time) == LimitResult::ConcurrencyExceeded));
    limits.release(ana);
    BOOST_TEST((limits.take(ana, plan, time) == LimitResult::Admitted));
    limits.release(ana);
    BOOST_TEST((limits.take(ana, plan, time) == LimitResult::RateExceeded));
    time += Milliseconds(100);
    BOOST_TEST((limits.take(ana, plan, time) == LimitResult::Admitted));
    BOOST_TEST(limits.inFlight(ana) == 2);
}

BOOST_AUTO_TEST_CASE(sendsKeyedCallsAgainOnlyOnProof)
{
    const auto decide = [](Idempotency idempotency, AttemptFailure failure) {
        return decideRetry(RetryQuestion{idempotency, failure, 1, Milliseconds(100)});
    };
    for (const auto failure : {AttemptFailure::Broken, AttemptFailure::Silent}) {
        BOOST_TEST((decide(Idempotency::Keyed, failure) == RetryDecision::NotAllowed));
        BOOST_TEST((decide(Idempotency::Idempotent, failure) == RetryDecision::Retry));
    }
    BOOST_TEST((decide(Idempotency::Keyed, AttemptFailure::NotSent) == RetryDecision::Retry));
    const RetryQuestion late{Idempotency::Idempotent, AttemptFailure::NotSent, 1, Milliseconds(1)};
    BOOST_TEST((decideRetry(late) == RetryDecision::TooLate));
}

BOOST_AUTO_TEST_CASE(retriesOverAllHopsStayBelowATenth)
{
    double amplification = 1.0;
    for (std::uint32_t depth = 0; depth < 19; ++depth)
        amplification *= 1.0 + retryShare(depth);
    BOOST_TEST(amplification <= 1.1);
    RetryBudget budget;
    int retries = 0;
    for (int i = 0; i < 10'000; ++i) {
        budget.addCall(0);
        retries += budget.take() ? 1 : 0;
    }
    BOOST_TEST(retries <= 1000);
}

BOOST_FIXTURE_TEST_CASE(staysInItsDataCentreUntilSlotsAreFull, ServersFixture)
{
    add("near", "akl-a");
    add("far", "hlz-a");
    BOOST_TEST(chosenId() == "near");
    const ServerBook::Record near = choose();
    ServerBook::begin(*near);
    ServerBook::begin(*near);
    BOOST_TEST(chosenId() == "far");
}

BOOST_FIXTURE_TEST_CASE(neverChoosesDrainingServers, ServersFixture)
{
    add("leaving", "akl-a", ServerState::Draining);
    BOOST_TEST(!choose());
    add("staying", "akl-a");
    for (int i = 0; i < 50; ++i)
        BOOST_TEST(chosenId() == "staying");
}

BOOST_FIXTURE_TEST_CASE(prefersTheQuickerServer, ServersFixture)
{
    add("quick", "akl-a");
    add("slow", "akl-a");
    for (int i = 0; i < 50; ++i) {
        const ServerBook::Record server = choose();
        ServerBook::begin(*server);
        const bool isSlow = server->endpoint.id.value() == "slow";
        book.finish(*server, ServerResult::Answered, Microseconds(isSlow ? 50'000 : 1'000), time);
    }
    for (int i = 0; i < 50; ++i)
        BOOST_TEST(chosenId() == "quick");
}

BOOST_FIXTURE_TEST_CASE(ejectsAtMostHalfOfAService, ServersFixture)
{
    for (const char *id : {"a", "b", "c", "d", "e"})
        add(id, "akl-a");
    std::map<ServerId, ServerBook::Record> all;
    for (int i = 0; i < 200; ++i) {
        const ServerBook::Record server = choose();
        all.emplace(server->endpoint.id, server);
    }
    BOOST_TEST(all.size() == 5);
    for (const auto &[id, server] : all)
        failOften(server);
    BOOST_TEST(book.ejected(ServiceId("bookings"), time) == 2);
    time += Milliseconds(60'000);
    BOOST_TEST(book.ejected(ServiceId("bookings"), time) == 0);
}

BOOST_FIXTURE_TEST_CASE(takesServersOfACutOffDataCentreLast, ServersFixture)
{
    table.unreachable.insert(DataCentreId("akl-b"));
    add("cut-off", "akl-b");
    BOOST_TEST(chosenId() == "cut-off");
    add("reachable", "hlz-a");
    for (int i = 0; i < 50; ++i)
        BOOST_TEST(chosenId() == "reachable");
}

BOOST_FIXTURE_TEST_CASE(aSilentConnectionDoesNotEjectALiveServer, ServersFixture)
{
    add("a", "akl-a");
    add("b", "akl-a");
    const ServerBook::Record server = choose();
    for (int i = 0; i < 20; ++i) {
        time += Milliseconds(1000);
        ServerBook::begin(*server);
        ServerBook::begin(*server);
        book.finish(*server, ServerResult::Answered, Microseconds(900), time - Milliseconds(100));
        book.finish(*server, ServerResult::Silent, Milliseconds(500), time);
    }
    BOOST_TEST(book.ejected(ServiceId("bookings"), time) == 0);
}

BOOST_FIXTURE_TEST_CASE(sheddingLowersTheLimitAndAnswersRaiseIt, ServersFixture)
{
    add("a", "akl-a");
    const ServerBook::Record server = choose();
    const double first = server->limit;
    for (int i = 0; i < 50; ++i) {
        time += Milliseconds(200);
        ServerBook::begin(*server);
        book.finish(*server, ServerResult::Shed, Microseconds(100), time);
    }
    BOOST_TEST(server->limit == 1.0);
    time += Milliseconds(200);
    for (int i = 0; i < 500; ++i) {
        while (choose())
            ServerBook::begin(*server);
        book.finish(*server, ServerResult::Answered, Microseconds(100), time);
    }
    BOOST_TEST(server->limit > first);
    BOOST_TEST(server->limit <= server->connectionShare);
}

BOOST_AUTO_TEST_CASE(queuesByClassAndDropsTheNewestOfTheLowest)
{
    CallQueue<int> queue(3);
    const TimePoint soon{Milliseconds(10)};
    const TimePoint later{Milliseconds(100)};
    BOOST_TEST(!queue.push({1, CallPriority::Low, later}));
    BOOST_TEST(!queue.push({2, CallPriority::Low, later}));
    BOOST_TEST(!queue.push({3, CallPriority::High, soon}));
    BOOST_TEST(queue.push({4, CallPriority::High, later}).value() == 2);
    BOOST_TEST(queue.push({5, CallPriority::Low, later}).value() == 5);
    std::vector<int> hopeless;
    BOOST_TEST(queue.pop(soon + Milliseconds(1), hopeless)->call == 4);
    BOOST_TEST((hopeless == std::vector{3}));
    queue.remove(1);
    BOOST_TEST(queue.empty());
}

BOOST_AUTO_TEST_CASE(condemnsARequestAfterTwoDeathsInSequence)
{
    PoisonBook book;
    const Fingerprint request = fingerprintOf("POST", "/book", "crash");
    const auto died = [&](const char *server, int startedMs, int brokeMs) {
        const TimePoint now{Milliseconds(brokeMs)};
        const SuspectedDeath death{request, ServerId(server), Milliseconds(brokeMs - startedMs),
                                   Microseconds(0)};
        return book.noteDeath(death, now);
    };
    BOOST_TEST(!died("a", 100, 200));
    // A herd that dies at one time, and another connection to the same server, condemn nothing.
    BOOST_TEST(!died("b", 150, 210));
    BOOST_TEST(!died("a", 220, 230));
    book.noteAnswer(request);
    // Word of the earlier death comes last.
    BOOST_TEST(!died("d", 401, 500));
    BOOST_TEST(died("c", 300, 400));
    BOOST_TEST(book.isRefused(request, TimePoint(Milliseconds(600))));
    BOOST_TEST(!book.isRefused(fingerprintOf("POST", "/book", ""), TimePoint(Milliseconds(600))));
    book.expire(TimePoint(Milliseconds(1'000'000)));
    BOOST_TEST(!book.hasSuspects());
}

BOOST_AUTO_TEST_CASE(looksElsewhereOnlyWhereACallMayRunTwice)
{
    Route route;
    route.priority = CallPriority::High;
    const Patience lookup = patienceWith(route, Milliseconds(2), Milliseconds(500));
    BOOST_TEST((lookup.hedgeAfter.value() == Milliseconds(6)));
    BOOST_TEST((lookup.giveUpAfter.value() >= Milliseconds(100)));
    BOOST_TEST(!patienceWith(route, Milliseconds(100), Milliseconds(500)).hedgeAfter);
    route.idempotency = Idempotency::Keyed;
    const Patience booking = patienceWith(route, Milliseconds(2), Milliseconds(500));
    BOOST_TEST(!booking.hedgeAfter);
    BOOST_TEST(!booking.giveUpAfter);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace cornelhead
