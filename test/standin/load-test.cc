// Tests that the load tool detects servers that send wrong responses, run a key twice, or refuse
// calls as not-run that they ran.
#include "cornelhead/standin/load-worker.h"

#include <boost/test/unit_test.hpp>

#include "support/free-address.h"

namespace cornelhead {

struct LoadFixture
{
    EventLoop loop;
    HttpServer server{loop, {}};
    LoadSettings settings;
    KeyRuns runs;

    LoadFixture()
    {
        settings.nodes = {listenOnFreePort([this](const Address &a) { return server.listen(a); })};
        settings.mix = parseMix("POST kiri bookings /book 1\n").value();
        settings.rate = 500;
        settings.resends = 1;
        settings.deadline = Milliseconds(100);
    }

    static HttpResponse correctResponse(const HttpRequest &request)
    {
        const ResponseBody body{"bookings",
                                "v1",
                                "s",
                                "/book",
                                "kiri",
                                request.headers.at("Idempotency-Key"),
                                request.headers.at(requestIdHeader),
                                ""};
        return jsonResponse(200, encodeResponseBody(body, 0));
    }

    static HttpResponse refusal(const std::string &run)
    {
        return HttpResponse{503, {{"Cornelhead-Run", run}, {"Cornelhead-Reason", "rate"}}, {}};
    }

    void countRun(const HttpRequest &request)
    {
        runs[request.headers.at("Idempotency-Key")].emplace_back("s");
    }

    LoadSummary run(const HttpHandler &handler)
    {
        server.setHandler(handler);
        LoadWorker worker(loop, settings);
        worker.start();
        loop.runFor(Milliseconds(100));
        worker.finish([this] { loop.stop(); });
        loop.run();
        const LoadSummary summary = worker.stats().summarize(runs);
        BOOST_TEST(summary.sent > 0U);
        return summary;
    }
};

BOOST_FIXTURE_TEST_SUITE(load, LoadFixture)

BOOST_AUTO_TEST_CASE(countsCorrectResponses)
{
    const LoadSummary summary = run([&](const HttpRequest &request, const Responder &responder) {
        countRun(request);
        responder.send(correctResponse(request));
    });
    BOOST_TEST(summary.answered == summary.sent);
    BOOST_TEST(summary.wrong + summary.doubled + summary.falseNotRun + summary.answeredWithoutRun
               == 0U);
}

BOOST_AUTO_TEST_CASE(detectsResponsesToOtherRequests)
{
    std::optional<HttpRequest> first;
    const LoadSummary summary = run([&](const HttpRequest &request, const Responder &responder) {
        if (!first)
            first = request;
        responder.send(correctResponse(*first));
    });
    BOOST_TEST(summary.answered == 1U);
    BOOST_TEST(summary.wrong == summary.sent - 1);
}

BOOST_AUTO_TEST_CASE(detectsKeysThatRunTwice)
{
    const LoadSummary summary = run([&](const HttpRequest &request, const Responder &responder) {
        countRun(request);
        // The first attempt gets no response, so the caller resends the key.
        if (runs[request.headers.at("Idempotency-Key")].size() == 1)
            responder.closeConnection();
        else
            responder.send(correctResponse(request));
    });
    BOOST_TEST(summary.answered == summary.sent);
    BOOST_TEST(summary.doubled == summary.sent);
}

BOOST_AUTO_TEST_CASE(detectsFalseRefusals)
{
    const LoadSummary summary = run([&](const HttpRequest &request, const Responder &responder) {
        countRun(request);
        responder.send(refusal("not-run"));
    });
    BOOST_TEST(summary.refusedNotRun == summary.sent);
    BOOST_TEST(summary.falseNotRun == summary.sent);
    BOOST_TEST(summary.falseNotRunFirst == summary.sent);
}

BOOST_AUTO_TEST_CASE(detectsAFalseRefusalAfterAnUnknownOutcome)
{
    const LoadSummary summary = run([&](const HttpRequest &request, const Responder &responder) {
        const bool isFirst = !runs.contains(request.headers.at("Idempotency-Key"));
        if (isFirst)
            countRun(request);
        responder.send(refusal(isFirst ? "unknown" : "not-run"));
    });
    BOOST_TEST(summary.falseNotRun == summary.sent);
    BOOST_TEST(summary.falseNotRunFirst == 0U);
}

BOOST_AUTO_TEST_CASE(countsCallsWithoutResponseOrTypedRefusalAsLost)
{
    std::vector<Responder> kept;
    std::uint64_t attempts = 0;
    const LoadSummary summary = run([&](const HttpRequest &, const Responder &responder) {
        // In turn: no response, an untyped refusal, a dropped connection.
        ++attempts;
        if (attempts % 3 == 0)
            kept.push_back(responder);
        else if (attempts % 3 == 1)
            responder.send(HttpResponse{503, {}, {}});
        else
            responder.closeConnection();
    });
    BOOST_TEST(summary.lost == summary.sent);
    BOOST_TEST(summary.resent == summary.sent);
}

BOOST_AUTO_TEST_CASE(resendsTheSameKeyAfterAnUnknownOutcome)
{
    settings.resends = 3;
    std::unordered_map<std::string, int> attempts;
    const LoadSummary summary = run([&](const HttpRequest &request, const Responder &responder) {
        if (++attempts[request.headers.at("Idempotency-Key")] < 3) {
            responder.send(refusal("unknown"));
            return;
        }
        countRun(request);
        responder.send(correctResponse(request));
    });
    BOOST_TEST(summary.answered == summary.sent);
    BOOST_TEST(attempts.size() == summary.sent);
    BOOST_TEST(summary.doubled == 0U);
}

BOOST_AUTO_TEST_CASE(naiveCallersCauseDuplicateRuns)
{
    settings.policy = ResendPolicy::Naive;
    const LoadSummary summary = run([&](const HttpRequest &request, const Responder &responder) {
        countRun(request);
        responder.send(HttpResponse{500, {{"Cornelhead-Server", "s"}}, {}});
    });
    BOOST_TEST(summary.failed == summary.sent);
    BOOST_TEST(summary.doubled == summary.sent);
}

BOOST_AUTO_TEST_CASE(rejectsInvalidMixes)
{
    for (const char *line : {"GET kiri bookings", "PUT kiri bookings /a 1", "GET kiri b a 1",
                             "GET kiri b /a 0", "GET kiri b /a 1 bytes=x", "GET kiri b /a 1 what"})
        BOOST_TEST(!parseMix(line).has_value(), line);
    BOOST_TEST(parseMix("# none\n\n").value().empty());
}

BOOST_AUTO_TEST_CASE(histogramQuantilesArePrecise)
{
    LatencyHistogram histogram;
    for (int us = 1; us <= 100'000; ++us)
        histogram.record(Microseconds(us));
    const auto isNear = [](Microseconds value, double expected) {
        return std::abs(static_cast<double>(value.count()) - expected) <= expected * 0.02;
    };
    BOOST_TEST(isNear(histogram.quantile(0.5), 50'000));
    BOOST_TEST(isNear(histogram.quantile(0.99), 99'000));
    BOOST_TEST(histogram.quantile(1).count() == 100'000);
    histogram.record(std::chrono::hours(100));
    BOOST_TEST(histogram.quantile(1).count() > 0);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace cornelhead
