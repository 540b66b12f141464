// Tests the matching of routes and the rejection of invalid route tables.
#include <boost/test/unit_test.hpp>

#include "cornelhead/config/route-table.h"

namespace cornelhead {

HostRoute routeOf(const std::string &id, const std::string &host, const std::string &prefix)
{
    HostRoute route;
    route.id = RouteId(id);
    route.host = host;
    route.pathPrefix = prefix;
    route.timeout = Milliseconds(1000);
    route.objective = Milliseconds(200);
    route.targets = {RouteTarget{ServiceId("bookings"), 1}};
    return route;
}

RouteDeclarations declarationsOf(std::vector<HostRoute> routes)
{
    return RouteDeclarations{
            std::move(routes), {HostService{ServiceId("bookings"), "/health", 9}}, {}, {}};
}

BOOST_AUTO_TEST_SUITE(route_table)

BOOST_AUTO_TEST_CASE(longestPrefixOfTheHostWins)
{
    const auto table = RouteTable::build(Revision(1),
                                         declarationsOf({routeOf("short", "a.example", "/x/"),
                                                         routeOf("long", "a.example", "/x/y/"),
                                                         routeOf("other", "b.example", "/")}))
                               .value();
    const auto idOf = [&](std::string_view host, std::string_view path) {
        const HostRoute *route = table->match(host, path);
        return route ? route->id.value() : std::string("none");
    };
    BOOST_TEST(idOf("a.example", "/x/y/z") == "long");
    BOOST_TEST(idOf("A.Example:8080", "/x/1") == "short");
    BOOST_TEST(idOf("a.example", "/x/y") == "short");
    BOOST_TEST(idOf("a.example", "/x") == "none");
    BOOST_TEST(idOf("a.example", "/") == "none");
    BOOST_TEST(idOf("b.example", "/anything") == "other");
    BOOST_TEST(idOf("c.example", "/x/1") == "none");
    BOOST_TEST(idOf("a.example", "") == "none");
}

BOOST_AUTO_TEST_CASE(invalidTablesAreRejected)
{
    const auto isRejected = [](const HostRoute &route) {
        const auto table = RouteTable::build(Revision(1), declarationsOf({route}));
        return !table && table.error().kind == ErrorKind::InvalidDeclaration;
    };
    HostRoute route = routeOf("r", "a.example", "/x/");
    BOOST_TEST(!isRejected(route));
    BOOST_TEST(isRejected(routeOf("r", "", "/x/")));
    BOOST_TEST(isRejected(routeOf("r", "a.example", "/x")));
    BOOST_TEST(isRejected(routeOf("r", "a.example", "")));
    route.targets = {};
    BOOST_TEST(isRejected(route));
    route.targets = {RouteTarget{ServiceId("bookings"), 0}};
    BOOST_TEST(isRejected(route));
    route.targets = {RouteTarget{ServiceId("unknown"), 1}};
    BOOST_TEST(isRejected(route));
    route = routeOf("r", "a.example", "/x/");
    route.attempts = 0;
    BOOST_TEST(isRejected(route));
    const auto duplicate = RouteTable::build(
            Revision(1),
            declarationsOf({routeOf("r", "a.example", "/x/"), routeOf("s", "A.example", "/x/")}));
    BOOST_TEST(!duplicate);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace cornelhead
