// Tests that the parsers of the operators' files report every fault with its line, also for hostile
// input.
#include <boost/test/unit_test.hpp>

#include <set>

#include "cornelhead/config/declarations-reader.h"
#include "cornelhead/config/deployment.h"
#include "cornelhead/config/snapshot.h"

namespace cornelhead {
namespace {

const std::string plansText = R"(services:
  - name: doorlist
    initial-version: v1
    routes:
      - name: lookup
        path-prefix: /tickets
        priority: high
        idempotency: idempotent
        timeout: 500ms
plans:
  - name: door
    services: [doorlist]
    rate: 5
    burst: 10
    concurrency: 4
)";
const std::string customersText = "customers:\n  - name: ana\n    plan: door\n";

std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    const std::size_t at = text.find(from);
    BOOST_REQUIRE(at != std::string::npos);
    return text.replace(at, from.size(), to);
}

std::vector<SourceFault> faultsOf(const std::string &plans, const std::string &customers)
{
    return readDeclarations({plans, customers}).faults;
}

// Expects exactly one fault, at `line` of plans.yaml, whose message contains `part`.
void checkPlansFault(const std::string &plans, std::size_t line, const std::string &part)
{
    const std::vector<SourceFault> faults = faultsOf(plans, customersText);
    BOOST_REQUIRE_MESSAGE(faults.size() == 1, part << ": " << faults.size() << " faults");
    BOOST_TEST(faults[0].file == "plans.yaml");
    BOOST_TEST(faults[0].line == line, faults[0].describe());
    BOOST_TEST(faults[0].message.find(part) != std::string::npos, faults[0].describe());
    BOOST_TEST(!faults[0].remedy.empty());
}

} // namespace

BOOST_AUTO_TEST_SUITE(declarationsReader)

BOOST_AUTO_TEST_CASE(parsesBothFiles)
{
    const ParsedDeclarations read = readDeclarations({plansText, customersText});
    BOOST_TEST(read.faults.empty());
    const Route expected{RouteId("doorlist/lookup"), ServiceId("doorlist"),   "/tickets",
                         CallPriority::High,         Idempotency::Idempotent, Milliseconds(500)};
    BOOST_TEST((read.declarations.routes.at(0) == expected));
    BOOST_TEST(read.declarations.plans.at(0).burst == 10u);
    BOOST_TEST((read.declarations.customers.at(0).plan == PlanId("door")));
}

BOOST_AUTO_TEST_CASE(reportsEachFaultWithItsLine)
{
    checkPlansFault(replaced(plansText, "rate: 5", "rate: 0"), 13, "rate 0 is out of range");
    checkPlansFault(replaced(plansText, "rate: 5", "rate: '5'"), 13, "not a whole number");
    checkPlansFault(replaced(plansText, "rate: 5", "rate: -5"), 13, "not a whole number");
    checkPlansFault(replaced(plansText, "rate: 5", "rate: 99999999999"), 13, "whole number");
    checkPlansFault(replaced(plansText, "rate: 5", "rate: [5]"), 13, "not a whole number");
    checkPlansFault(replaced(plansText, "    rate: 5\n", ""), 11, "has no rate");
    checkPlansFault(replaced(plansText, "rate: 5", "rate:"), 13, "has no rate");
    checkPlansFault(replaced(plansText, "rate: 5", "rate: 5\n    rate: 6"), 14, "twice");
    checkPlansFault(replaced(plansText, "rate: 5", "rate: 5\n    speed: 6"), 14, "unknown key");
    checkPlansFault(replaced(plansText, "500ms", "500"), 9, "not a duration");
    checkPlansFault(replaced(plansText, "500ms", "5ms"), 9, "out of range");
    checkPlansFault(replaced(plansText, "high", "urgent"), 7, "unknown value");
    checkPlansFault(replaced(plansText, "/tickets", "tickets"), 6, "not valid");
    checkPlansFault(replaced(plansText, "[doorlist]", "[doorlist, gone]"), 12, "'gone'");
    checkPlansFault(replaced(plansText, "[doorlist]", "doorlist"), 12, "not a list");
    checkPlansFault(plansText + "extra: 1\n", 16, "unknown key 'extra'");
    checkPlansFault(plansText + "---\nplans: []\n", 1, "more than one document");
}

BOOST_AUTO_TEST_CASE(reportsAllFaultsAtOnce)
{
    std::string plans = replaced(plansText, "rate: 5", "rate: 0");
    plans = replaced(plans, "[doorlist]", "[gone, gone]");
    plans = replaced(plans, "burst: 10", "burst: x");
    plans = replaced(plans, "initial-version: v1", "initial-version: ''");
    const std::string customers = customersText
            + "  - name: ana\n    plan: lost\n  - 7\n  - name: 'b c'\n    plan: door\n";
    std::set<std::string> lines;
    const std::vector<SourceFault> faults = faultsOf(plans, customers);
    for (const SourceFault &fault : faults)
        lines.insert(fault.file + ":" + std::to_string(fault.line));
    const std::set<std::string> expected
            = {"plans.yaml:3",     "plans.yaml:12",    "plans.yaml:13",    "plans.yaml:14",
               "customers.yaml:4", "customers.yaml:5", "customers.yaml:6", "customers.yaml:7"};
    BOOST_TEST(lines == expected, boost::test_tools::per_element());
    BOOST_TEST(faults.size() == 10u);
}

BOOST_AUTO_TEST_CASE(rejectsHostileFilesWithOneFaultEach)
{
    std::string bomb = "a: &a [x,x]\n";
    for (char c = 'b'; c < 'z'; ++c)
        bomb += std::string(1, c) + ": &" + c + " [*" + static_cast<char>(c - 1) + ",*"
                + static_cast<char>(c - 1) + "]\n";
    const std::pair<std::string, std::string> cases[] = {
            {"", "empty"},
            {"# nothing\n", "empty"},
            {bomb, "anchors"},
            {"plans: *gone\n", "not valid YAML"},
            {"plans: !!python/object x\n", "tags"},
            {std::string(100, '[') + std::string(100, ']'), "nested too deep"},
            {std::string(100'000, '['), "plain text"},
            {std::string(100'000, '{'), "plain text"},
            {"plans: \xc3\x28\n", "UTF-8"},
            {"\xff\xfep\0l\0", "UTF-8"},
            {plansText + "\x04 services: 7", "control character"},
            {std::string(17 * 1024 * 1024, 'a'), "too large"},
            {"plans: [unclosed", "not valid YAML"},
            {"\t\tplans: x", "not valid YAML"},
            {"? [a]\n: b\n", "plain text"},
    };
    for (const auto &[text, part] : cases) {
        const std::vector<SourceFault> faults = faultsOf(text, customersText);
        BOOST_REQUIRE_MESSAGE(faults.size() == 1, part << ": " << faults.size() << " faults");
        BOOST_TEST(faults[0].message.find(part) != std::string::npos,
                   part + " in " + faults[0].describe());
    }
    BOOST_TEST(faultsOf("just text", customersText).size() == 3u);
}

BOOST_AUTO_TEST_CASE(examplesAreValid)
{
    for (const auto &[name, servers] :
         {std::pair("paperfold", 14u), std::pair("association", 16u)}) {
        const std::string folder = std::string(CORNELHEAD_SOURCE_DIR "/examples/") + name;
        ParsedDeclarations read = readDeclarations(loadDeclarationFiles(folder).value());
        ParsedDeployment deployed = readDeployment(loadDeploymentFile(folder).value());
        checkDeployment(deployed.deployment, read.declarations, deployed.faults);
        for (const std::vector<SourceFault> &faults : {read.faults, deployed.faults}) {
            for (const SourceFault &fault : faults)
                BOOST_ERROR(fault.describe());
        }
        std::uint32_t count = 0;
        for (const DeployedService &service : deployed.deployment.services) {
            for (const ServerPlacement &placement : service.placements)
                count += placement.servers;
        }
        BOOST_TEST(count == servers);
        BOOST_TEST(Snapshot::build(Revision(1), read.declarations).has_value());
    }
}

BOOST_AUTO_TEST_CASE(reportsDeploymentFaults)
{
    const ParsedDeployment read = readDeployment("data-centres: [a]\nservices:\n  - name: x\n"
                                                 "    slots: 0\n    connections: y\n"
                                                 "    servers: {a: 1, b: 1, a: z}\n");
    BOOST_TEST(read.faults.size() == 4u);
    std::vector<SourceFault> faults;
    checkDeployment(read.deployment,
                    Declarations{{Service{ServiceId("s"), VersionId("v")}}, {}, {}, {}}, faults);
    BOOST_TEST(faults.size() == 2u);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace cornelhead
