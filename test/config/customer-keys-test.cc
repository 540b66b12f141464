// Tests the checks and the look-up of customers.
#include <boost/test/unit_test.hpp>

#include "cornelhead/config/route-table.h"

#include <cmath>

namespace cornelhead {

BOOST_AUTO_TEST_SUITE(customer_keys)

HostCustomer customerOf(const std::string &name, const std::vector<std::string> &keys)
{
    HostCustomer customer;
    customer.id = CustomerId(name);
    for (const std::string &key : keys)
        customer.keys.emplace_back(key);
    return customer;
}

BOOST_AUTO_TEST_CASE(eachKeyNamesItsCustomer)
{
    const auto keys
            = CustomerKeys::build({customerOf("ash", {"a1", "a2"}), customerOf("elm", {"e1"})});
    BOOST_REQUIRE(keys);
    BOOST_TEST(keys->find("a1")->id.value() == "ash");
    BOOST_TEST(keys->find("a2")->id.value() == "ash");
    BOOST_TEST(keys->find("e1")->id.value() == "elm");
    BOOST_TEST(CustomerKeys::build({customerOf("ash", {"a1", "a1"})}).has_value());
    BOOST_TEST(!keys->find("a"));
    BOOST_TEST(!keys->find(""));
    BOOST_TEST(keys->findCustomer(CustomerId("elm"))->id.value() == "elm");
    BOOST_TEST(!keys->findCustomer(CustomerId("oak")));
}

BOOST_AUTO_TEST_CASE(invalidCustomersAreRejectedAndNoErrorHoldsAKey)
{
    HostCustomer negative = customerOf("ash", {"secret1"});
    negative.quota.ratePerSecond = -1.0;
    HostCustomer infinite = customerOf("ash", {"secret1"});
    infinite.quota.burst = std::nan("");
    const std::vector<std::vector<HostCustomer>> invalid
            = {{customerOf("", {"secret1"})},
               {customerOf("ash", {"secret1"}), customerOf("ash", {"secret2"})},
               {customerOf("ash", {"secret1"}), customerOf("elm", {"secret1"})},
               {customerOf("-", {"secret1"})},
               {customerOf("a\nb", {"secret1"})},
               {customerOf(std::string(1025, 'a'), {"secret1"})},
               {customerOf("ash", {""})},
               {negative},
               {infinite}};
    for (const std::vector<HostCustomer> &customers : invalid) {
        const auto keys = CustomerKeys::build(customers);
        BOOST_REQUIRE(!keys);
        BOOST_TEST((keys.error().kind == ErrorKind::InvalidDeclaration));
        BOOST_TEST(keys.error().describe().find("secret") == std::string::npos);
    }
}

BOOST_AUTO_TEST_CASE(tableWithoutTheLastCustomerStillNeedsKeys)
{
    RouteDeclarations declarations;
    declarations.customers.emplace();
    const auto table = RouteTable::build(Revision(3), declarations);
    BOOST_REQUIRE(table);
    BOOST_REQUIRE((*table)->customers());
    BOOST_TEST(!(*table)->customers()->find("a1"));
    BOOST_TEST(!(*RouteTable::build(Revision(3), {}))->customers());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace cornelhead
