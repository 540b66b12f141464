// Tests the commands end to end over a platform in memory: results, exit codes, both outputs.
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

// Runs command lines as an operator would.
struct Operator
{
    ExitCode run(std::vector<std::string> args)
    {
        if (args.back() != "--output=html")
            args.emplace_back("--output=json");
        Settings settings = Settings::parse(commandUsage, args).value();
        const CommandLine line = readCommandLine(settings);
        BOOST_REQUIRE_MESSAGE(settings.faults().empty(), args.front());
        CommandContext context{platform.operations(), [this] { return nowMs; },
                               [this] { return EditId("e" + std::to_string(++edits)); },
                               [this](Milliseconds) { onSleep(); },
                               [this](const Address &, const std::string &) { return node; }};
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
    int edits = 0;
    std::string text;
    std::function<void()> onSleep = [] { BOOST_FAIL("nothing to wait for"); };
    Result<HttpResponse> node = HttpResponse{};
};

bool isCode(ExitCode left, ExitCode right)
{
    return left == right;
}

} // namespace

BOOST_AUTO_TEST_SUITE(commands)

BOOST_AUTO_TEST_CASE(appliesAndReports)
{
    Operator ana;
    BOOST_TEST(isCode(ana.run({"validate", paperfold}), ExitCode::Ok));
    BOOST_TEST(isCode(ana.run({"diff", paperfold}), ExitCode::Ok));
    BOOST_TEST(ana.json()["changes"].size() == 25u);
    BOOST_TEST(isCode(ana.run({"apply", paperfold, "--author", "ana"}), ExitCode::Ok));
    BOOST_TEST(ana.json()["changed"] == true);
    BOOST_TEST(isCode(ana.run({"apply", paperfold}), ExitCode::Ok));
    BOOST_TEST(ana.json()["changed"] == false);
    BOOST_TEST(isCode(ana.run({"diff", paperfold}), ExitCode::Ok));
    BOOST_TEST(ana.json()["changes"].empty());
    ana.run({"history"});
    BOOST_TEST(ana.json()["revisions"][0]["author"] == "ana");
    ana.run({"report"});
    BOOST_TEST(ana.json()["services"].size() == 4u);
    BOOST_TEST(isCode(ana.run({"apply", "/nowhere"}), ExitCode::Refused));
    ana.platform.isUnavailable = true;
    BOOST_TEST(isCode(ana.run({"report"}), ExitCode::PlatformUnavailable));
    BOOST_TEST(ana.json()["error"]["kind"] == "unavailable");
}

BOOST_AUTO_TEST_CASE(aVersionTakenBackNeverStartsAgain)
{
    Operator ana;
    ana.run({"apply", paperfold});
    BOOST_TEST(isCode(ana.run({"start", "bookings", "v2", "--deadline", "2m"}), ExitCode::Ok));
    BOOST_TEST(ana.json()["deadlineMs"] == 1'120'000);
    BOOST_TEST(isCode(ana.run({"start", "bookings", "v3", "--deadline", "2m"}), ExitCode::Refused));
    BOOST_TEST(ana.json()["error"]["kind"] == "conflict");
    BOOST_TEST(isCode(ana.run({"pause", "bookings"}), ExitCode::Ok));
    BOOST_TEST(isCode(ana.run({"pause", "bookings"}), ExitCode::Refused));
    BOOST_TEST(isCode(ana.run({"resume", "bookings"}), ExitCode::Ok));
    BOOST_TEST(isCode(ana.run({"hasten", "bookings", "--deadline", "1m"}), ExitCode::Ok));
    BOOST_TEST(isCode(ana.run({"take-back", "bookings", "--reason", "slow"}), ExitCode::Ok));
    BOOST_TEST(isCode(ana.run({"start", "bookings", "v2", "--deadline", "2m"}), ExitCode::Refused));
    BOOST_TEST(isCode(ana.run({"start", "bookings", "v3", "--deadline", "2m"}), ExitCode::Ok));
    ana.run({"report", "bookings"});
    BOOST_TEST(ana.json()["services"][0]["move"]["refusedVersions"][0] == "v2");
    BOOST_TEST(isCode(ana.run({"pause", "doorlist"}), ExitCode::Refused));
    BOOST_TEST(isCode(ana.run({"start", "gone", "v2", "--deadline", "2m"}), ExitCode::Refused));
}

BOOST_AUTO_TEST_CASE(editsSurviveLostAnswersAndTheController)
{
    for (const WriteOutcome writeOutcome :
         {WriteOutcome::ResponseLost, WriteOutcome::RequestLost}) {
        Operator ana;
        ana.run({"apply", paperfold});
        int writes = 0;
        ana.platform.writeOutcome = [&](const std::string &) {
            return ++writes == 1 ? writeOutcome : WriteOutcome::Normal;
        };
        BOOST_TEST(isCode(ana.run({"start", "bookings", "v2", "--deadline", "2m"}), ExitCode::Ok));
        const PlatformOperations operations = ana.platform.operations();
        const ServiceId bookings("bookings");
        ana.platform.before = [&](const std::string &operation, const std::string &key) {
            if (operation != "put")
                return;
            ana.platform.before = nullptr;
            Move raised = readMove(operations, bookings).value().value();
            raised.share = PerMille(50);
            BOOST_REQUIRE(operations.put(key, encodeMove(raised), {raised.modRevision}));
        };
        BOOST_TEST(isCode(ana.run({"pause", "bookings"}), ExitCode::Ok));
        const Move paused = readMove(operations, bookings).value().value();
        BOOST_TEST((paused.state == MoveState::Paused && paused.share == PerMille(50)));
        BOOST_TEST(paused.events.size() == 2u);
    }
}

BOOST_AUTO_TEST_CASE(saysUnknownWhenAnEditCannotBeResolved)
{
    Operator ana;
    ana.run({"apply", paperfold});
    ana.platform.writeOutcome = [](const std::string &) { return WriteOutcome::ResponseLost; };
    bool isSent = false;
    ana.platform.before = [&](const std::string &operation, const std::string &) {
        ana.platform.isUnavailable = isSent;
        isSent = isSent || operation == "put";
    };
    BOOST_TEST(isCode(ana.run({"start", "bookings", "v2", "--deadline", "2m"}),
                      ExitCode::OutcomeUnknown));
}

BOOST_AUTO_TEST_CASE(watchingEndsWithTheMove)
{
    Operator ana;
    ana.run({"apply", paperfold});
    ana.run({"start", "bookings", "v2", "--deadline", "2m"});
    const PlatformOperations operations = ana.platform.operations();
    int looks = 0;
    ana.onSleep = [&] {
        // The platform goes away for one look, and the move ends after it.
        ana.platform.isUnavailable = ++looks == 1;
        if (looks < 2)
            return;
        Move ended = readMove(operations, ServiceId("bookings")).value().value();
        ended.state = MoveState::TakenBack;
        BOOST_REQUIRE(operations.put(std::string(movePrefix) + "bookings", encodeMove(ended),
                                     {ended.modRevision}));
    };
    BOOST_TEST(isCode(ana.run({"report", "--watch"}), ExitCode::Refused));
    BOOST_TEST(looks == 2);
}

BOOST_AUTO_TEST_CASE(htmlReportEscapesAndStaysWithinItsChart)
{
    Move move;
    move.state = MoveState::TakenBack;
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
    Operator ana;
    ana.run({"apply", paperfold});
    BOOST_TEST(isCode(ana.run({"report", "--output=html"}), ExitCode::Ok));
    BOOST_TEST(ana.text.find("seatmaps v1") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(statusComparesNodesWithThePlatform)
{
    Operator ana;
    ana.run({"apply", paperfold});
    const std::string digest = ana.json()["digest"];
    const std::vector<std::string> status = {"status", "--nodes", "127.0.0.1:1,127.0.0.1:2"};
    const auto answer = [&](const std::string &body) {
        ana.node = jsonResponse(200, body);
        return ana.run(status);
    };
    const std::string good
            = R"({"revision":1,"digest":")" + digest + R"(","role":"relay","dataCentre":"akl-a"})";
    BOOST_TEST(isCode(answer(good), ExitCode::Ok));
    BOOST_TEST(ana.json()["nodes"][1]["role"] == "relay");
    for (const char *bad : {R"({"revision":0,"digest":""})", "[]", "\xff", R"({"revision":"x"})"})
        BOOST_TEST(isCode(answer(bad), ExitCode::Refused));
    const std::string refusal = R"({"revision":1,"refusals":[{"node":"n1","reason":"too large"}]})";
    BOOST_REQUIRE(ana.platform.operations().put(std::string(nackPrefix) + "1", refusal, {}));
    BOOST_TEST(isCode(answer(good), ExitCode::Refused));
    BOOST_TEST(ana.json()["refusals"][0]["reason"] == "too large");
    ana.node = fail(ErrorKind::Unavailable, "cannot connect", "start it");
    BOOST_TEST(isCode(ana.run(status), ExitCode::Refused));
    BOOST_TEST(ana.json()["nodes"][0]["problem"] == "cannot connect");
}

BOOST_AUTO_TEST_CASE(commandLineFaultsAreCollected)
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
