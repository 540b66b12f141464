// Computes log likelihood ratios of blocks and averages them over onsets.
#include "cornelhead/rollout/sequential-test.h"

#include <algorithm>
#include <cmath>

namespace cornelhead {
namespace detail {
namespace {

constexpr double minRate = 0.002;
constexpr double maxRate = 0.97;
constexpr double maxEvidence = 1e30;
/// Weight of the expected rate.  The rest is spread over `alternativeRates`, so that a fault of
/// both versions lowers the likelihood by at most a constant factor.
constexpr double expectedRateWeight = 0.98;
constexpr std::array alternativeRates = {0.03, 0.12, 0.35, 0.7};
constexpr double alternativeWeight = (1.0 - expectedRateWeight) / alternativeRates.size();

double addLogOdds(double rate, double logOdds)
{
    const double odds = rate / (1.0 - rate) * std::exp(logOdds);
    return odds / (1.0 + odds);
}

double clampRate(double rate)
{
    return std::clamp(rate, minRate, maxRate);
}

// Calls of the old version count as events with the tolerated probability, so that its tolerated
// rate is compared with the rate of the new version.  The ratio is then exact for every common
// rate: `meanRate` is the mean of both rates over the block.
double logRatio(const ComparedCalls &calls, const Tolerance &tolerance, double oldRate,
                double newRate)
{
    const double newCalls = calls.newEvents + calls.newNonEvents;
    const double oldCalls = calls.oldEvents + calls.oldBorderline + calls.oldNonEvents;
    const double meanRate = (newCalls * newRate + oldCalls * oldRate) / (newCalls + oldCalls);
    const double eventRatio = oldRate / meanRate;
    const double nonEventRatio = (1.0 - oldRate) / (1.0 - meanRate);
    const double borderlineProbability
            = tolerance.borderlineWeight + (1.0 - tolerance.borderlineWeight) * tolerance.extraRate;
    return calls.newEvents * std::log(newRate / meanRate)
            + calls.newNonEvents * std::log((1.0 - newRate) / (1.0 - meanRate))
            + calls.oldEvents * std::log(eventRatio)
            + calls.oldBorderline
            * std::log(borderlineProbability * eventRatio
                       + (1.0 - borderlineProbability) * nonEventRatio)
            + calls.oldNonEvents
            * std::log(tolerance.extraRate * eventRatio
                       + (1.0 - tolerance.extraRate) * nonEventRatio);
}

} // namespace
} // namespace detail

LogRatios compareCalls(const ComparedCalls &calls, const Tolerance &tolerance,
                       double expectedOldRate)
{
    LogRatios ratios{};
    const double oldCalls = calls.oldEvents + calls.oldBorderline + calls.oldNonEvents;
    if (calls.newEvents + calls.newNonEvents <= 0 || oldCalls <= 0)
        return ratios;
    const double expectedRate = detail::clampRate(expectedOldRate);
    for (std::size_t i = 0; i < ratios.size(); ++i) {
        double sum = detail::expectedRateWeight
                * std::exp(detail::logRatio(calls, tolerance, expectedRate,
                                            detail::addLogOdds(expectedRate, effectLogOdds[i])));
        for (const double rate : detail::alternativeRates)
            sum += detail::alternativeWeight
                    * std::exp(detail::logRatio(calls, tolerance, rate,
                                                detail::addLogOdds(rate, effectLogOdds[i])));
        ratios[i] = std::log(std::max(sum, 1e-300));
    }
    return ratios;
}

LogRatios compareWithRate(double newEvents, double newNonEvents, double referenceRate)
{
    LogRatios ratios{};
    const double reference = detail::clampRate(referenceRate);
    for (std::size_t i = 0; i < ratios.size(); ++i) {
        const double rate = detail::addLogOdds(reference, effectLogOdds[i]);
        ratios[i] = newEvents * std::log(rate / reference)
                + newNonEvents * std::log((1.0 - rate) / (1.0 - reference));
    }
    return ratios;
}

double upperConfidenceBound(double events, double calls)
{
    constexpr double standardDeviations = 3.0;
    const double rate = (events + 1.0) / (calls + 2.0);
    return std::min(1.0,
                    rate + standardDeviations * std::sqrt(rate * (1.0 - rate) / (calls + 2.0)));
}

void SequentialTest::add(const LogRatios &ratios, double onsetWeight)
{
    for (std::size_t i = 0; i < evidence_.size(); ++i) {
        evidence_[i] = (evidence_[i] + onsetWeight) * std::exp(ratios[i]);
        evidence_[i] = std::min(evidence_[i], detail::maxEvidence);
    }
}

double SequentialTest::value() const
{
    double sum = 0;
    for (const double evidence : evidence_)
        sum += evidence;
    return sum / evidence_.size();
}

} // namespace cornelhead
