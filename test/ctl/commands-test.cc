// Tests the commands end to end on an in-memory platform: results, exit codes, output formats.
#include <boost/test/unit_test.hpp>

#include <sstream>

#include "cornelhead/config/manifest.h"
#include "cornelhead/ctl/commands.h"
#include "cornelhead/ctl/html-report.h"
#include "cornelhead/ctl/move-store.h"
#include "ctl/fake-platform.h"

namespace cornelhead {
namespace {

const std::string paperfold = CORNELHEAD_SOURCE_DIR "/examples/paperfold";

// Parses and runs command lines, and keeps their output.
struct CtlRunner
{
    ExitCode run(std::vector<std::string> args)
    {
        if (args.back() != "--output=html")
            args.emplace_back("--output=json");
        Settings settings = Settings::parse(commandUsage, args).value();
        const CommandLine line = readCommandLine(settings);
        BOOST_REQUIRE_MESSAGE(settings.faults().empty(), args.front());
        CommandContext context{
                platform.operations(), [this] { return nowMs; },
                [this] { return EditId("e" + std::to_string(++editCount)); },
                [this](Milliseconds) { onSleep(); },
                [this](const Address &, const std::string &) { return nodeResponse; }};
        std::ostringstream out;
        std::ostringstream err;
        Output output(line.format, out, err);
        const ExitCode code = runCommand(line.command, context, output);
        text = out.str();
        return code;
    }

    nlohmann::json json() const { return nlohmann::json::parse(text); }

    FakePlatform platform;
    std::int64_t nowMs = 1'000'000;
    int editCount = 0;
    std::string text;
    std::function<void()> onSleep = [] { BOOST_FAIL("unexpected sleep"); };
    Result<HttpResponse> nodeResponse = HttpResponse{};
};

bool isExitCode(ExitCode left, ExitCode right)
{
    return left == right;
}

} // namespace

BOOST_AUTO_TEST_SUITE(commands)

BOOST_AUTO_TEST_CASE(appliesAndReportsConfiguration)
{
    CtlRunner runner;
    BOOST_TEST(isExitCode(runner.run({"validate", paperfold}), ExitCode::Ok));
    BOOST_TEST(isExitCode(runner.run({"diff", paperfold}), ExitCode::Ok));
    BOOST_TEST(runner.json()["changes"].size() == 25u);
    BOOST_TEST(isExitCode(runner.run({"apply", paperfold, "--author", "ana"}), ExitCode::Ok));
    BOOST_TEST(runner.json()["changed"] == true);
    BOOST_TEST(isExitCode(runner.run({"apply", paperfold}), ExitCode::Ok));
    BOOST_TEST(runner.json()["changed"] == false);
    BOOST_TEST(isExitCode(runner.run({"diff", paperfold}), ExitCode::Ok));
    BOOST_TEST(runner.json()["changes"].empty());
    runner.run({"history"});
    BOOST_TEST(runner.json()["revisions"][0]["author"] == "ana");
    runner.run({"report"});
    BOOST_TEST(runner.json()["services"].size() == 4u);
    BOOST_TEST(isExitCode(runner.run({"apply", "/nowhere"}), ExitCode::Refused));
    runner.platform.isUnavailable = true;
    BOOST_TEST(isExitCode(runner.run({"report"}), ExitCode::PlatformUnavailable));
    BOOST_TEST(runner.json()["error"]["kind"] == "unavailable");
}

BOOST_AUTO_TEST_CASE(refusesToRestartARolledBackVersion)
{
    CtlRunner runner;
    runner.run({"apply", paperfold});
    BOOST_TEST(
            isExitCode(runner.run({"start", "bookings", "v2", "--deadline", "2m"}), ExitCode::Ok));
    BOOST_TEST(runner.json()["deadlineMs"] == 1'120'000);
    BOOST_TEST(isExitCode(runner.run({"start", "bookings", "v3", "--deadline", "2m"}),
                          ExitCode::Refused));
    BOOST_TEST(runner.json()["error"]["kind"] == "conflict");
    BOOST_TEST(isExitCode(runner.run({"pause", "bookings"}), ExitCode::Ok));
    BOOST_TEST(isExitCode(runner.run({"pause", "bookings"}), ExitCode::Refused));
    BOOST_TEST(isExitCode(runner.run({"resume", "bookings"}), ExitCode::Ok));
    BOOST_TEST(isExitCode(runner.run({"hasten", "bookings", "--deadline", "1m"}), ExitCode::Ok));
    BOOST_TEST(isExitCode(runner.run({"take-back", "bookings", "--reason", "slow"}), ExitCode::Ok));
    BOOST_TEST(isExitCode(runner.run({"start", "bookings", "v2", "--deadline", "2m"}),
                          ExitCode::Refused));
    BOOST_TEST(
            isExitCode(runner.run({"start", "bookings", "v3", "--deadline", "2m"}), ExitCode::Ok));
    runner.run({"report", "bookings"});
    BOOST_TEST(runner.json()["services"][0]["move"]["refusedVersions"][0] == "v2");
    BOOST_TEST(isExitCode(runner.run({"pause", "doorlist"}), ExitCode::Refused));
    BOOST_TEST(
            isExitCode(runner.run({"start", "gone", "v2", "--deadline", "2m"}), ExitCode::Refused));
}

BOOST_AUTO_TEST_CASE(editsSurviveLostResponsesAndControllerWrites)
{
    for (const WriteOutcome writeOutcome :
         {WriteOutcome::ResponseLost, WriteOutcome::RequestLost}) {
        CtlRunner runner;
        runner.run({"apply", paperfold});
        int writes = 0;
        runner.platform.writeOutcome = [&](const std::string &) {
            return ++writes == 1 ? writeOutcome : WriteOutcome::Normal;
        };
        BOOST_TEST(isExitCode(runner.run({"start", "bookings", "v2", "--deadline", "2m"}),
                              ExitCode::Ok));
        const PlatformOperations operations = runner.platform.operations();
        const ServiceId bookings("bookings");
        runner.platform.beforeOperation
                = [&](const std::string &operation, const std::string &key) {
                      if (operation != "put")
                          return;
                      runner.platform.beforeOperation = nullptr;
                      Move raised = readMove(operations, bookings).value().value();
                      raised.share = PerMille(50);
                      BOOST_REQUIRE(operations.put(key, encodeMove(raised), {raised.modRevision}));
                  };
        BOOST_TEST(isExitCode(runner.run({"pause", "bookings"}), ExitCode::Ok));
        const Move paused = readMove(operations, bookings).value().value();
        BOOST_TEST((paused.state == MoveState::Paused && paused.share == PerMille(50)));
        BOOST_TEST(paused.events.size() == 2u);
    }
}

BOOST_AUTO_TEST_CASE(reportsUnknownOutcomeWhenAnEditCannotBeVerified)
{
    CtlRunner runner;
    runner.run({"apply", paperfold});
    runner.platform.writeOutcome = [](const std::string &) { return WriteOutcome::ResponseLost; };
    bool isSent = false;
    runner.platform.beforeOperation = [&](const std::string &operation, const std::string &) {
        runner.platform.isUnavailable = isSent;
        isSent = isSent || operation == "put";
    };
    BOOST_TEST(isExitCode(runner.run({"start", "bookings", "v2", "--deadline", "2m"}),
                          ExitCode::OutcomeUnknown));
}

BOOST_AUTO_TEST_CASE(watchEndsWhenTheMoveEnds)
{
    CtlRunner runner;
    runner.run({"apply", paperfold});
    runner.run({"start", "bookings", "v2", "--deadline", "2m"});
    const PlatformOperations operations = runner.platform.operations();
    int polls = 0;
    runner.onSleep = [&] {
        // The platform is unavailable during one poll, and the move ends before the next.
        runner.platform.isUnavailable = ++polls == 1;
        if (polls < 2)
            return;
        Move ended = readMove(operations, ServiceId("bookings")).value().value();
        ended.state = MoveState::RolledBack;
        BOOST_REQUIRE(operations.put(std::string(movePrefix) + "bookings", encodeMove(ended),
                                     {ended.modRevision}));
    };
    BOOST_TEST(isExitCode(runner.run({"report", "--watch"}), ExitCode::Refused));
    BOOST_TEST(polls == 2);
}

BOOST_AUTO_TEST_CASE(htmlReportEscapesTextAndClampsChartPoints)
{
    Move move;
    move.state = MoveState::RolledBack;
    move.startedAtMs = 1000;
    move.deadlineMs = 500;
    move.verdict = "<script>alert('x')</script> & more";
    for (const std::int64_t atMs : {0, 1000, 900'000})
        move.events.push_back({atMs, PerMille(atMs == 0 ? 5000 : 10), "a<b", EditId()});
    const std::string html = reportToHtml({{move.service, move.oldVersion, move}}, 2000);
    BOOST_TEST(html.find("<script") == std::string::npos);
    BOOST_TEST(html.find("&lt;script&gt;") != std::string::npos);
    BOOST_TEST(html.find("points=\"0,120 0,0 0,0 0,119 720,119 720,119 720,119 \"")
               != std::string::npos);
    CtlRunner runner;
    runner.run({"apply", paperfold});
    BOOST_TEST(isExitCode(runner.run({"report", "--output=html"}), ExitCode::Ok));
    BOOST_TEST(runner.text.find("seatmaps v1") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(statusComparesNodesWithThePlatform)
{
    CtlRunner runner;
    runner.run({"apply", paperfold});
    const std::string digest = runner.json()["digest"];
    const std::vector<std::string> status = {"status", "--nodes", "127.0.0.1:1,127.0.0.1:2"};
    const auto statusExitCode = [&](const std::string &body) {
        runner.nodeResponse = jsonResponse(200, body);
        return runner.run(status);
    };
    const std::string good
            = R"({"revision":1,"digest":")" + digest + R"(","role":"relay","dataCentre":"akl-a"})";
    BOOST_TEST(isExitCode(statusExitCode(good), ExitCode::Ok));
    BOOST_TEST(runner.json()["nodes"][1]["role"] == "relay");
    for (const char *bad : {R"({"revision":0,"digest":""})", "[]", "\xff", R"({"revision":"x"})"})
        BOOST_TEST(isExitCode(statusExitCode(bad), ExitCode::Refused));
    const std::string refusal = R"({"revision":1,"refusals":[{"node":"n1","reason":"too large"}]})";
    BOOST_REQUIRE(runner.platform.operations().put(std::string(nackPrefix) + "1", refusal, {}));
    BOOST_TEST(isExitCode(statusExitCode(good), ExitCode::Refused));
    BOOST_TEST(runner.json()["refusals"][0]["reason"] == "too large");
    runner.nodeResponse = fail(ErrorKind::Unavailable, "cannot connect", "start it");
    BOOST_TEST(isExitCode(runner.run(status), ExitCode::Refused));
    BOOST_TEST(runner.json()["nodes"][0]["problem"] == "cannot connect");
}

BOOST_AUTO_TEST_CASE(collectsCommandLineFaults)
{
    const auto faults = [](const std::vector<std::string> &args) {
        Settings settings = Settings::parse(commandUsage, args).value();
        readCommandLine(settings);
        return settings.faults().size();
    };
    BOOST_TEST(faults({"start", "s", "v"}) == 1u);
    BOOST_TEST(faults({"start", "s", "v", "--deadline=0s", "--output=xml", "--platform=a"}) == 4u);
    BOOST_TEST(faults({"prune", "--keep=0"}) == 1u);
    BOOST_TEST(faults({"history", "--output=html"}) == 1u);
    BOOST_TEST(faults({"report", "--timeout=1"}) == 1u);
    BOOST_TEST(!Settings::parse(commandUsage, {"start", "s"}).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace cornelhead
