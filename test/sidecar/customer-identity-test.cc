// Tests which calls need a key, and whose calls they are.
#include <boost/test/unit_test.hpp>

#include "cornelhead/routing/call-rank.h"
#include "cornelhead/sidecar/customer-identity.h"

namespace cornelhead {

struct IdentityFixture
{
    HostRoute route;
    std::shared_ptr<const RouteTable> table = tableWith("ash", "k1");

    static std::shared_ptr<const RouteTable> tableWith(const std::string &name,
                                                       const std::string &key)
    {
        RouteDeclarations declarations;
        HostCustomer customer;
        customer.id = CustomerId(name);
        customer.keys.emplace_back(key);
        declarations.customers = {customer};
        return *RouteTable::build(Revision(1), std::move(declarations));
    }
    /// Returns the customer's name, "" for none, or the fault.
    std::string identify(const std::string &authorization, bool isNested = false,
                         bool hasNestedId = false) const
    {
        const auto customer = identifyCustomer(
                *table, route, CallCredentials{authorization, "Bearer", isNested, hasNestedId});
        if (!customer)
            return customer.error() == IdentityFault::UnknownKey ? "unknown-key" : "unknown-parent";
        return *customer ? (*customer)->id.value() : "";
    }
};

BOOST_FIXTURE_TEST_SUITE(customer_identity, IdentityFixture)

BOOST_AUTO_TEST_CASE(keyNamesTheCustomerInAnyCaseOfTheScheme)
{
    BOOST_TEST(identify("Bearer k1") == "ash");
    BOOST_TEST(identify("bearer  k1") == "ash");
    for (const char *unknown : {"", "Bearer", "Bearer ", "Bearer k2", "Bearer k1 ", "Bearer k1,k2",
                                "Basic k1", "k1", "Bearerk1"})
        BOOST_TEST(identify(unknown) == "unknown-key");
}

BOOST_AUTO_TEST_CASE(publicRouteNeedsNoKey)
{
    route.isPublic = true;
    BOOST_TEST(identify("") == "");
    BOOST_TEST(identify("Bearer k2") == "");
    BOOST_TEST(identify("Bearer k1") == "ash");
}

BOOST_AUTO_TEST_CASE(nestedCallNeedsNoKey)
{
    BOOST_TEST(identify("", true, true) == "");
    // The outer call is not known here, for example after a restart of the node.
    BOOST_TEST(identify("", false, true) == "unknown-parent");
    BOOST_TEST(identify("Bearer k2", false, true) == "unknown-key");
    BOOST_TEST(identify("Bearer k2", true, true) == "unknown-key");
}

BOOST_AUTO_TEST_CASE(tableWithoutCustomersNeedsNoKeys)
{
    table = *RouteTable::build(Revision(1), {});
    BOOST_TEST(identify("") == "");
    BOOST_TEST(identify("Bearer k1") == "");
}

BOOST_AUTO_TEST_CASE(customersPriorityGoesBeforeTheRoutes)
{
    BOOST_TEST(callRank(0, 5) < callRank(1, 0));
    BOOST_TEST(callRank(1, 0) < callRank(1, 2));
    BOOST_TEST(callRank(std::nullopt, 0) == 1U);
    BOOST_TEST(callRank(std::nullopt, 2) == 3U);
    BOOST_TEST(callRank(0, 0) > nestedCallRank);
    for (const std::uint32_t huge : {100U, 0xffffffffU}) {
        BOOST_TEST(callRank(huge, huge) < maxCallRank);
        BOOST_TEST(callRank(std::nullopt, huge) < maxCallRank);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace cornelhead
