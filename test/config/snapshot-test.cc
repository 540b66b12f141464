// Tests that snapshots are built from valid declarations only, and their lookups.
#include <boost/test/unit_test.hpp>

#include "config/sample.h"
#include "cornelhead/config/snapshot.h"

namespace cornelhead {

BOOST_AUTO_TEST_SUITE(snapshot)

BOOST_AUTO_TEST_CASE(findsRecordsAndLongestPrefix)
{
    const auto built = Snapshot::build(Revision(3), sampleDeclarations()).value();
    BOOST_TEST(built->revision().value() == 3u);
    BOOST_TEST((built->findCustomer(CustomerId("ana"))->plan == PlanId("attendee")));
    BOOST_TEST(built->findCustomer(CustomerId("nobody")) == nullptr);
    const ServiceId bookings("bookings");
    const auto idAt
            = [&](const char *path) { return built->matchRoute(bookings, path)->id.value(); };
    BOOST_TEST(idAt("/book/7") == "bookings/book");
    BOOST_TEST(idAt("/book?seat=7") == "bookings/book");
    BOOST_TEST(idAt("/bookshop") == "bookings/list");
    BOOST_TEST(built->matchRoute(ServiceId("doorlist"), "/other") == nullptr);
    BOOST_TEST(built->matchRoute(ServiceId("unknown"), "/") == nullptr);
}

BOOST_AUTO_TEST_CASE(plansAllowTheirServicesAndRoutesOnly)
{
    const auto built = Snapshot::build(Revision(1), sampleDeclarations()).value();
    const Plan &attendee = *built->findPlan(PlanId("attendee"));
    const Plan &franchisee = *built->findPlan(PlanId("franchisee"));
    const Route &book = *built->findRoute(RouteId("bookings/book"));
    const Route &list = *built->findRoute(RouteId("bookings/list"));
    BOOST_TEST(built->allows(attendee, list));
    BOOST_TEST(!built->allows(attendee, book));
    BOOST_TEST(built->allows(franchisee, book));
}

BOOST_AUTO_TEST_CASE(digestDoesNotDependOnOrder)
{
    Declarations reversed = sampleDeclarations();
    std::reverse(reversed.routes.begin(), reversed.routes.end());
    std::reverse(reversed.customers.begin(), reversed.customers.end());
    std::reverse(reversed.plans[0].services.begin(), reversed.plans[0].services.end());
    const auto first = Snapshot::build(Revision(1), sampleDeclarations()).value();
    const auto second = Snapshot::build(Revision(2), reversed).value();
    BOOST_TEST((first->digest() == second->digest()));
    reversed.plans[0].burst++;
    const auto third = Snapshot::build(Revision(2), reversed).value();
    BOOST_TEST((first->digest() != third->digest()));
}

BOOST_AUTO_TEST_CASE(rejectsEachKindOfFault)
{
    using Edit = void (*)(Declarations &);
    const Edit edits[] = {
            [](Declarations &all) { all.routes[0].service = ServiceId("gone"); },
            [](Declarations &all) { all.plans[0].services.emplace_back("gone"); },
            [](Declarations &all) { all.plans[0].services.emplace_back("doorlist"); },
            [](Declarations &all) { all.plans[1].routes.emplace_back("gone"); },
            [](Declarations &all) { all.customers[0].plan = PlanId("gone"); },
            [](Declarations &all) { all.customers.push_back(all.customers[0]); },
            [](Declarations &all) { all.services.push_back(all.services[0]); },
            [](Declarations &all) { all.routes[2].pathPrefix = "/book"; },
            [](Declarations &all) { all.routes[2].pathPrefix = "book"; },
            [](Declarations &all) { all.routes[2].timeout = Milliseconds(0); },
            [](Declarations &all) { all.plans[0].ratePerSecond = 0; },
            [](Declarations &all) { all.plans[0].burst = 0; },
            [](Declarations &all) { all.plans[0].concurrency = 200'000; },
            [](Declarations &all) { all.customers[0].id = CustomerId("a b"); },
            [](Declarations &all) { all.customers[0].id = CustomerId("\xff"); },
            [](Declarations &all) { all.services[0].initialVersion = VersionId(); },
    };
    for (const Edit &edit : edits) {
        Declarations all = sampleDeclarations();
        edit(all);
        const auto built = Snapshot::build(Revision(1), all);
        BOOST_REQUIRE(!built.has_value());
        BOOST_TEST((built.error().kind == ErrorKind::InvalidDeclaration));
        BOOST_TEST(!built.error().remedy.empty());
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace cornelhead
