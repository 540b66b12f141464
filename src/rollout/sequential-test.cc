// Computes likelihood ratios of blocks and mixes them over onsets.
#include "cornelhead/rollout/sequential-test.h"

#include <algorithm>
#include <cmath>

namespace cornelhead {
namespace detail {
namespace {

constexpr double lowestRate = 0.002;
constexpr double highestRate = 0.97;
constexpr double highestEvidence = 1e30;
/// Weight of the guess; the rest is spread over `otherRates`, so that a fault that hits both
/// versions costs no more than a constant factor.
constexpr double guessWeight = 0.98;
constexpr std::array otherRates = {0.03, 0.12, 0.35, 0.7};
constexpr double otherWeight = (1.0 - guessWeight) / otherRates.size();

double raise(double rate, double logOdds)
{
    const double odds = rate / (1.0 - rate) * std::exp(logOdds);
    return odds / (1.0 + odds);
}

double clampRate(double rate)
{
    return std::clamp(rate, lowestRate, highestRate);
}

// The old version's calls count as events with the tolerated probability, so its tolerated rate is
// compared with the new version's as an equal.  The ratio is then exact for every common rate:
// `shared` is the mean of both rates over the block.
double logRatio(const ComparedCalls &calls, const Tolerance &tolerance, double oldRate,
                double newRate)
{
    const double newCalls = calls.newEvents + calls.newNonEvents;
    const double oldCalls = calls.oldEvents + calls.oldBorderline + calls.oldNonEvents;
    const double shared = (newCalls * newRate + oldCalls * oldRate) / (newCalls + oldCalls);
    const double event = oldRate / shared;
    const double other = (1.0 - oldRate) / (1.0 - shared);
    const double borderlineEvent
            = tolerance.borderlineWeight + (1.0 - tolerance.borderlineWeight) * tolerance.extraRate;
    return calls.newEvents * std::log(newRate / shared)
            + calls.newNonEvents * std::log((1.0 - newRate) / (1.0 - shared))
            + calls.oldEvents * std::log(event)
            + calls.oldBorderline
            * std::log(borderlineEvent * event + (1.0 - borderlineEvent) * other)
            + calls.oldNonEvents
            * std::log(tolerance.extraRate * event + (1.0 - tolerance.extraRate) * other);
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
    const double guess = detail::clampRate(expectedOldRate);
    for (std::size_t i = 0; i < ratios.size(); ++i) {
        double sum = detail::guessWeight
                * std::exp(detail::logRatio(calls, tolerance, guess,
                                            detail::raise(guess, effectLogOdds[i])));
        for (const double rate : detail::otherRates)
            sum += detail::otherWeight
                    * std::exp(detail::logRatio(calls, tolerance, rate,
                                                detail::raise(rate, effectLogOdds[i])));
        ratios[i] = std::log(std::max(sum, 1e-300));
    }
    return ratios;
}

LogRatios compareWithRate(double newEvents, double newNonEvents, double knownRate)
{
    LogRatios ratios{};
    const double known = detail::clampRate(knownRate);
    for (std::size_t i = 0; i < ratios.size(); ++i) {
        const double rate = detail::raise(known, effectLogOdds[i]);
        ratios[i] = newEvents * std::log(rate / known)
                + newNonEvents * std::log((1.0 - rate) / (1.0 - known));
    }
    return ratios;
}

double upperConfidenceBound(double events, double calls)
{
    constexpr double deviations = 3.0;
    const double rate = (events + 1.0) / (calls + 2.0);
    return std::min(1.0, rate + deviations * std::sqrt(rate * (1.0 - rate) / (calls + 2.0)));
}

void SequentialTest::add(const LogRatios &ratios, double onsetWeight)
{
    for (std::size_t i = 0; i < running_.size(); ++i) {
        running_[i] = (running_[i] + onsetWeight) * std::exp(ratios[i]);
        running_[i] = std::min(running_[i], detail::highestEvidence);
    }
}

double SequentialTest::value() const
{
    double sum = 0;
    for (const double running : running_)
        sum += running;
    return sum / running_.size();
}

} // namespace cornelhead
