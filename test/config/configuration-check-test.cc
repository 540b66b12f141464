// Tests the check of route tables before they are sent.
#include <boost/test/unit_test.hpp>

#include <algorithm>

#include <nlohmann/json.hpp>

#include "cornelhead/config/configuration-check.h"

namespace cornelhead {

namespace {

HostRoute checkedRoute(const std::string &id, const std::string &prefix)
{
    HostRoute route;
    route.id = RouteId(id);
    route.host = "a.example";
    route.pathPrefix = prefix;
    route.timeout = Milliseconds(1000);
    route.objective = Milliseconds(200);
    route.targets = {RouteTarget{ServiceId("bookings"), 1}};
    return route;
}

// A configuration in which nothing is wrong.
RouteDeclarations soundDeclarations()
{
    return {{checkedRoute("r1", "/x/"), checkedRoute("r2", "/x/y/")},
            {HostService{ServiceId("bookings"), "/health", 9}},
            {},
            std::vector<HostCustomer>{
                    {CustomerId("ash"), {CustomerKey("secret-1")}, 1, CallQuota{10.0, 20.0}}}};
}

std::shared_ptr<const RouteTable> tableOf(RouteDeclarations declarations,
                                          std::uint64_t revision = 1)
{
    return RouteTable::build(Revision(revision), std::move(declarations)).value();
}

template <typename Change>
std::string checkAfter(Change change)
{
    RouteDeclarations declarations = soundDeclarations();
    change(declarations);
    return renderText(checkConfiguration(*tableOf(std::move(declarations))));
}

template <typename Change>
std::string differencesAfter(Change change)
{
    RouteDeclarations declarations = soundDeclarations();
    change(declarations);
    return renderText(compareConfigurations(*tableOf(soundDeclarations()),
                                            *tableOf(std::move(declarations), 2)));
}

// Returns whether `change` gives exactly one finding, of kind `kind` and severity `severity`.
template <typename Change>
bool findsOnly(const std::string &severity, const std::string &kind, Change change)
{
    const std::string text = checkAfter(change);
    BOOST_TEST_MESSAGE(text);
    return text.starts_with(severity + ": ") && text.ends_with("[" + kind + "]\n")
            && std::count(text.begin(), text.end(), '\n') == 1;
}

} // namespace

BOOST_AUTO_TEST_SUITE(configuration_check)

BOOST_AUTO_TEST_CASE(soundConfigurationHasNoFindings)
{
    BOOST_TEST(checkConfiguration(*tableOf(soundDeclarations())).empty());
    BOOST_TEST(exitCodeOf({}) == 0);
}

BOOST_AUTO_TEST_CASE(entriesWithoutEffectAreFound)
{
    using Declarations = RouteDeclarations;
    BOOST_TEST(findsOnly("warning", "never-matches",
                         [](Declarations &all) { all.routes[0].host = "a.example:8080"; }));
    BOOST_TEST(findsOnly("warning", "same-name",
                         [](Declarations &all) { all.routes[1].id = RouteId("r1"); }));
    BOOST_TEST(findsOnly("warning", "no-calls", [](Declarations &all) {
        all.services.push_back(HostService{ServiceId("idle"), "/health", 1});
    }));
    BOOST_TEST(findsOnly("warning", "no-calls", [](Declarations &all) {
        all.services.push_back(HostService{ServiceId("next"), "/health", 1});
        all.routes[0].targets.push_back(RouteTarget{ServiceId("next"), 0});
    }));
    BOOST_TEST(findsOnly("warning", "ignored",
                         [](Declarations &all) { all.services.push_back(all.services[0]); }));
    BOOST_TEST(findsOnly("warning", "ignored", [](Declarations &all) {
        all.customers.reset();
        all.routes[0].isPublic = true;
    }));
    BOOST_TEST(findsOnly("warning", "no-keys", [](Declarations &all) {
        all.customers->push_back(HostCustomer{CustomerId("elm"), {}, {}, {}});
    }));
    BOOST_TEST(findsOnly("warning", "no-keys", [](Declarations &all) { all.customers->clear(); }));
}

BOOST_AUTO_TEST_CASE(contradictingLimitsAreFound)
{
    using Declarations = RouteDeclarations;
    const auto quota = [](double rate, double burst) {
        return [=](Declarations &all) { all.customers->at(0).quota = CallQuota{rate, burst}; };
    };
    BOOST_TEST(findsOnly("warning", "burst-below-one", quota(10.0, 0.5)));
    BOOST_TEST(findsOnly("note", "burst-below-rate", quota(10.0, 9.0)));
    BOOST_TEST(findsOnly("warning", "ignored", quota(0.0, 9.0)));
    BOOST_TEST(findsOnly("warning", "objective-above-timeout",
                         [](Declarations &all) { all.routes[0].objective = Milliseconds(1001); }));
    BOOST_TEST(findsOnly("warning", "no-connections",
                         [](Declarations &all) { all.services[0].connections = 0; }));
    BOOST_TEST(findsOnly("note", "attempts-of-single-run",
                         [](Declarations &all) { all.routes[0].attempts = 2; }));
    BOOST_TEST(findsOnly("note", "timeout-above-idle-timeout",
                         [](Declarations &all) { all.routes[0].timeout = Milliseconds(60'001); }));
    BOOST_TEST(checkAfter([](Declarations &all) {
                   all.routes[0].isIdempotent = true;
                   all.routes[0].attempts = 2;
                   all.routes[0].objective = all.routes[0].timeout = Milliseconds(60'000);
                   all.customers->at(0).quota = CallQuota{10.0, 10.0};
               })
               == "Nothing was found.\n");
}

BOOST_AUTO_TEST_CASE(differencesAreFoundFieldByField)
{
    using Declarations = RouteDeclarations;
    BOOST_TEST(differencesAfter([](Declarations &) {}) == "Nothing was found.\n");
    BOOST_TEST(differencesAfter([](Declarations &all) {
                   all.limits.bodyBytes = 5;
                   all.routes[0].timeout = Milliseconds(900);
                   all.routes[1].id = RouteId("r3");
                   all.services[0].connections = 7;
                   all.customers->at(0).priority.reset();
               })
               == "~ limits: body bytes 8388608 -> 5\n"
                  "- route r2\n"
                  "~ route r1: timeout 1000 ms -> 900 ms\n"
                  "+ route r3\n"
                  "~ service bookings: connections 9 -> 7\n"
                  "~ customer ash: priority 1 -> none\n");
    BOOST_TEST(differencesAfter([](Declarations &all) { all.customers.reset(); })
               == "~ configuration: callers need keys yes -> no\n- customer ash\n");
}

BOOST_AUTO_TEST_CASE(changeWithoutAHigherRevisionIsFound)
{
    RouteDeclarations declarations = soundDeclarations();
    declarations.limits.headerBytes = 5;
    const auto changed = tableOf(declarations);
    const Findings findings = compareConfigurations(*tableOf(soundDeclarations()), *changed);
    BOOST_TEST(renderText(findings).ends_with("[not-newer]\n"));
    BOOST_TEST(exitCodeOf(findings) == 1);
    BOOST_TEST(compareConfigurations(*changed, *changed).empty());
}

BOOST_AUTO_TEST_CASE(keysAreCountedAndNeverRendered)
{
    RouteDeclarations declarations = soundDeclarations();
    declarations.customers->at(0).keys = {CustomerKey("secret-2"), CustomerKey("secret-3")};
    const Findings findings = compareConfigurations(*tableOf(soundDeclarations()),
                                                    *tableOf(std::move(declarations), 2));
    BOOST_TEST(renderText(findings) == "~ customer ash: keys 1 -> 2 (2 new)\n");
    BOOST_TEST(renderJson(findings).find("secret") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(exitCodeIsThatOfTheWorstFinding)
{
    const Concern warning{ConcernKind::NoCalls, {EntryKind::Service, "idle"}, "no route"};
    const Concern note{ConcernKind::BurstBelowRate, {EntryKind::Customer, "ash"}, "burst"};
    const Rejection error{Error{ErrorKind::InvalidDeclaration, "route r has no host", "add one"}};
    BOOST_TEST(exitCodeOf({note, EntryAdded{warning.entry}}) == 0);
    BOOST_TEST(exitCodeOf({warning, note}) == 1);
    BOOST_TEST(exitCodeOf({warning, error, note}) == 2);
    const auto json = nlohmann::json::parse(renderJson({warning, error}));
    BOOST_TEST(json["findings"][0]["kind"] == "no-calls");
    BOOST_TEST(json["findings"][0]["name"] == "idle");
    BOOST_TEST(json["findings"][1]["severity"] == "error");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace cornelhead
