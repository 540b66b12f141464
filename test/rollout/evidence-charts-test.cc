// Tests the SVG charts of a move's evidence.
#include "cornelhead/rollout/evidence-charts.h"

#include <boost/test/unit_test.hpp>

namespace cornelhead {

BOOST_AUTO_TEST_SUITE(evidenceCharts)

BOOST_AUTO_TEST_CASE(drawsBothVersions)
{
    Move move;
    move.startedAtMs = 1'000'000;
    addMoveEvent(move, 1'000'000, "started");
    addMoveEvent(move, 1'004'000, "taken back");
    move.events.back().newer = {40, 12, Microseconds(16'000)};
    move.events.back().older = {400, 4, Microseconds(8'000)};
    const std::string charts = renderEvidenceCharts(move, 1'008'000);
    BOOST_TEST(charts.find("30.0 %") != std::string::npos);
    BOOST_TEST(charts.find("16.0 ms") != std::string::npos);
    // The event is in the middle of the time axis and at the maximum of the value axis.
    BOOST_TEST(charts.find("points=\"368.0,10.0 ") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(drawsAMoveWithoutEvidence)
{
    BOOST_TEST(renderEvidenceCharts(Move(), 0).find("nan") == std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace cornelhead
