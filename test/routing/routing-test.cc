// Tests admission, limits, retries, version choice, load balancing, the call queue and poison
// tracking.
#include <boost/test/unit_test.hpp>

#include "config/sample.h"
#include "cornelhead/routing/admission.h"
#include "cornelhead/routing/call-queue.h"
#include "cornelhead/routing/limits.h"
#include "cornelhead/routing/poison-tracker.h"
#include "cornelhead/routing/retry.h"
#include "cornelhead/routing/server-pool.h"
#include "cornelhead/routing/version-choice.h"

namespace cornelhead {

struct ServersFixture
{
    ServerPool pool{DataCentreId("akl-a")};
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
        pool.update(table, ConnectionSplit{});
    }
    ServerPool::Record choose(const std::vector<ServerPool::Record> &tried = {})
    {
        return pool.choose(ServiceId("bookings"), VersionId("v1"), tried, time, random).server;
    }
    std::string chosenId() { return choose()->endpoint.id.value(); }
    void failRepeatedly(const ServerPool::Record &server)
    {
        for (int i = 0; i < 20; ++i) {
            ServerPool::begin(*server);
            pool.finish(*server, ServerResult::Failed, Microseconds(10), time);
        }
    }
};

BOOST_AUTO_TEST_SUITE(routing)

BOOST_AUTO_TEST_CASE(escapesCannotBypassRoutes)
{
    const auto config = Snapshot::build(Revision(1), sampleDeclarations()).value();
    const auto reason = [&](const char *path, const char *customer = "wellington") {
        const auto result = admit(*config, CallHead{customer, path, ""});
        return result ? std::string_view("admitted") : refusalInfo(result.error()).name;
    };
    BOOST_TEST(reason("/bookings/%62ook") == "key-missing");
    BOOST_TEST(reason("/bookings/x%2") == "bad-request");
    BOOST_TEST(reason("/bookings/x%2Fbook") == "bad-request");
    BOOST_TEST(reason("/bookings/%2e%2e/doorlist") == "bad-request");
    BOOST_TEST(reason("/bookings/%00") == "bad-request");
    BOOST_TEST(reason("/bookings/list") == "admitted");
    BOOST_TEST(reason("/bookings/book", "ana") == "plan-lacks-service");
}

BOOST_AUTO_TEST_CASE(rolledBackVersionNeverGetsACall)
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

BOOST_AUTO_TEST_CASE(keyedCallsAreRetriedOnlyIfTheyDidNotRun)
{
    const auto decide = [](Idempotency idempotency, AttemptFailure failure) {
        return decideRetry(FailedAttempt{idempotency, failure, 1, Milliseconds(100)});
    };
    for (const auto failure : {AttemptFailure::Broken, AttemptFailure::Silent}) {
        BOOST_TEST((decide(Idempotency::Keyed, failure) == RetryDecision::NotAllowed));
        BOOST_TEST((decide(Idempotency::Idempotent, failure) == RetryDecision::Retry));
    }
    BOOST_TEST((decide(Idempotency::Keyed, AttemptFailure::NotSent) == RetryDecision::Retry));
    const FailedAttempt late{Idempotency::Idempotent, AttemptFailure::NotSent, 1, Milliseconds(1)};
    BOOST_TEST((decideRetry(late) == RetryDecision::TooLate));
}

BOOST_AUTO_TEST_CASE(retriesAtAllHopsStayBelowATenth)
{
    double amplification = 1.0;
    for (std::uint32_t depth = 0; depth < 19; ++depth)
        amplification *= 1.0 + retryRatio(depth);
    BOOST_TEST(amplification <= 1.1);
    RetryBudget budget;
    int retries = 0;
    for (int i = 0; i < 10'000; ++i) {
        budget.addCall(0);
        retries += budget.take() ? 1 : 0;
    }
    BOOST_TEST(retries <= 1000);
}

BOOST_FIXTURE_TEST_CASE(localDataCentreIsPreferredUntilSlotsAreFull, ServersFixture)
{
    add("near", "akl-a");
    add("far", "hlz-a");
    BOOST_TEST(chosenId() == "near");
    const ServerPool::Record near = choose();
    ServerPool::begin(*near);
    ServerPool::begin(*near);
    BOOST_TEST(chosenId() == "far");
}

BOOST_FIXTURE_TEST_CASE(drainingServersAreNeverChosen, ServersFixture)
{
    add("leaving", "akl-a", ServerState::Draining);
    BOOST_TEST(!choose());
    add("staying", "akl-a");
    for (int i = 0; i < 50; ++i)
        BOOST_TEST(chosenId() == "staying");
}

BOOST_FIXTURE_TEST_CASE(fasterServerIsPreferred, ServersFixture)
{
    add("quick", "akl-a");
    add("slow", "akl-a");
    for (int i = 0; i < 50; ++i) {
        const ServerPool::Record server = choose();
        ServerPool::begin(*server);
        const bool isSlow = server->endpoint.id.value() == "slow";
        pool.finish(*server, ServerResult::Answered, Microseconds(isSlow ? 50'000 : 1'000), time);
    }
    for (int i = 0; i < 50; ++i)
        BOOST_TEST(chosenId() == "quick");
}

BOOST_FIXTURE_TEST_CASE(atMostHalfOfAServiceIsEjected, ServersFixture)
{
    for (const char *id : {"a", "b", "c", "d", "e"})
        add(id, "akl-a");
    std::map<ServerId, ServerPool::Record> all;
    for (int i = 0; i < 200; ++i) {
        const ServerPool::Record server = choose();
        all.emplace(server->endpoint.id, server);
    }
    BOOST_TEST(all.size() == 5);
    for (const auto &[id, server] : all)
        failRepeatedly(server);
    BOOST_TEST(pool.ejected(ServiceId("bookings"), time) == 2);
    time += Milliseconds(60'000);
    BOOST_TEST(pool.ejected(ServiceId("bookings"), time) == 0);
}

BOOST_FIXTURE_TEST_CASE(serversOfAnUnreachableDataCentreAreALastResort, ServersFixture)
{
    table.unreachable.insert(DataCentreId("akl-b"));
    add("cut-off", "akl-b");
    BOOST_TEST(chosenId() == "cut-off");
    add("reachable", "hlz-a");
    for (int i = 0; i < 50; ++i)
        BOOST_TEST(chosenId() == "reachable");
}

BOOST_FIXTURE_TEST_CASE(timedOutConnectionDoesNotEjectALiveServer, ServersFixture)
{
    add("a", "akl-a");
    add("b", "akl-a");
    const ServerPool::Record server = choose();
    for (int i = 0; i < 20; ++i) {
        time += Milliseconds(1000);
        ServerPool::begin(*server);
        ServerPool::begin(*server);
        pool.finish(*server, ServerResult::Answered, Microseconds(900), time - Milliseconds(100));
        pool.finish(*server, ServerResult::Silent, Milliseconds(500), time);
    }
    BOOST_TEST(pool.ejected(ServiceId("bookings"), time) == 0);
}

BOOST_FIXTURE_TEST_CASE(sheddingLowersTheLimitAndResponsesRaiseIt, ServersFixture)
{
    add("a", "akl-a");
    const ServerPool::Record server = choose();
    const double first = server->limit;
    for (int i = 0; i < 50; ++i) {
        time += Milliseconds(200);
        ServerPool::begin(*server);
        pool.finish(*server, ServerResult::Shed, Microseconds(100), time);
    }
    BOOST_TEST(server->limit == 1.0);
    time += Milliseconds(200);
    for (int i = 0; i < 500; ++i) {
        while (choose())
            ServerPool::begin(*server);
        pool.finish(*server, ServerResult::Answered, Microseconds(100), time);
    }
    BOOST_TEST(server->limit > first);
    BOOST_TEST(server->limit <= server->connectionShare);
}

BOOST_AUTO_TEST_CASE(fullQueueDropsTheNewestCallOfTheLowestPriority)
{
    CallQueue<int> queue(3);
    const TimePoint soon{Milliseconds(10)};
    const TimePoint later{Milliseconds(100)};
    BOOST_TEST(!queue.push({1, CallPriority::Low, later}));
    BOOST_TEST(!queue.push({2, CallPriority::Low, later}));
    BOOST_TEST(!queue.push({3, CallPriority::High, soon}));
    BOOST_TEST(queue.push({4, CallPriority::High, later}).value() == 2);
    BOOST_TEST(queue.push({5, CallPriority::Low, later}).value() == 5);
    std::vector<int> expired;
    BOOST_TEST(queue.pop(soon + Milliseconds(1), expired)->call == 4);
    BOOST_TEST((expired == std::vector{3}));
    queue.remove(1);
    BOOST_TEST(queue.empty());
}

BOOST_AUTO_TEST_CASE(requestIsRefusedAfterTwoDeathsInSequence)
{
    PoisonTracker tracker;
    const Fingerprint request = fingerprintOf("POST", "/book", "crash");
    const auto died = [&](const char *server, int startedMs, int brokeMs) {
        const TimePoint now{Milliseconds(brokeMs)};
        const SuspectedDeath death{request, ServerId(server), Milliseconds(brokeMs - startedMs),
                                   Microseconds(0)};
        return tracker.recordDeath(death, now);
    };
    BOOST_TEST(!died("a", 100, 200));
    // Simultaneous deaths, and another death of the same server, do not count.
    BOOST_TEST(!died("b", 150, 210));
    BOOST_TEST(!died("a", 220, 230));
    BOOST_TEST(tracker.recordResponse(request, TimePoint(Milliseconds(240))));
    // The earlier death is reported last.
    BOOST_TEST(!died("d", 401, 500));
    BOOST_TEST(died("c", 300, 400));
    BOOST_TEST(tracker.isRefused(request, TimePoint(Milliseconds(600))));
    BOOST_TEST(
            !tracker.isRefused(fingerprintOf("POST", "/book", ""), TimePoint(Milliseconds(600))));
    tracker.expire(TimePoint(Milliseconds(1'000'000)));
    BOOST_TEST(!tracker.hasSuspects());
}

// CONFIG: a page that servers had answered thousands of times was refused after two crashes.
BOOST_AUTO_TEST_CASE(responseAtAnotherNodeClearsTheDeathsOfARequest)
{
    const Fingerprint request = fingerprintOf("GET", "/halls/all", "");
    const auto at = [](int ms) { return TimePoint(Milliseconds(ms)); };
    const auto death = [request](const char *server, Milliseconds uncertainty) {
        return SuspectedDeath{request, ServerId(server), Milliseconds(50), Microseconds(0),
                              uncertainty};
    };
    PoisonTracker tracker;
    BOOST_TEST(!tracker.recordResponse(request, at(900)));
    BOOST_TEST(!tracker.recordDeath(death("a", Milliseconds(0)), at(1000)));
    tracker.recordResponseNotice(request, at(1010));
    BOOST_TEST(!tracker.hasSuspects());
    BOOST_TEST(!tracker.recordDeath(death("b", Milliseconds(0)), at(4000)));
    BOOST_TEST(!tracker.isRefused(request, at(4001)));
    BOOST_TEST(tracker.recordDeath(death("c", Milliseconds(0)), at(5000)));
    // A response clears the refusal too.
    tracker.recordResponseNotice(request, at(5010));
    BOOST_TEST(!tracker.isRefused(request, at(5011)));
    // The notice of a death that the response overtook.
    BOOST_TEST(!tracker.recordDeath(death("d", Milliseconds(500)), at(5400)));
    BOOST_TEST(!tracker.hasSuspects());
}

BOOST_AUTO_TEST_CASE(requestWithoutResponsesIsRefusedWhateverOtherRequestsGet)
{
    const Fingerprint poison = fingerprintOf("GET", "/crash", "");
    const Fingerprint sound = fingerprintOf("GET", "/halls/all", "");
    PoisonTracker tracker;
    for (const char *server : {"a", "b"}) {
        const TimePoint time(Milliseconds(server[0] * 1000));
        for (const Fingerprint request : {poison, sound}) {
            tracker.recordDeath(SuspectedDeath{request, ServerId(server), Milliseconds(50),
                                               Microseconds(0), Milliseconds(500)},
                                time);
        }
        tracker.recordResponseNotice(sound, time + Milliseconds(1));
    }
    BOOST_TEST(tracker.isRefused(poison, TimePoint(Milliseconds('b' * 1000 + 2))));
    BOOST_TEST(!tracker.isRefused(sound, TimePoint(Milliseconds('b' * 1000 + 2))));
}

BOOST_AUTO_TEST_CASE(onlyIdempotentCallsGetTimeoutsAndHedges)
{
    Route route;
    route.priority = CallPriority::High;
    const AttemptTimeouts lookup = attemptTimeouts(route, Milliseconds(2), Milliseconds(500));
    BOOST_TEST((lookup.hedgeAfter.value() == Milliseconds(6)));
    BOOST_TEST((lookup.giveUpAfter.value() >= Milliseconds(100)));
    BOOST_TEST(!attemptTimeouts(route, Milliseconds(100), Milliseconds(500)).hedgeAfter);
    route.idempotency = Idempotency::Keyed;
    const AttemptTimeouts booking = attemptTimeouts(route, Milliseconds(2), Milliseconds(500));
    BOOST_TEST(!booking.hedgeAfter);
    BOOST_TEST(!booking.giveUpAfter);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace cornelhead
