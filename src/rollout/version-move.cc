// Implements stepped moves.
#include "cornelhead/rollout/version-move.h"

#include <algorithm>
#include <array>
#include <cmath>

#include <nlohmann/json.hpp>

namespace cornelhead {
namespace detail {

struct Step
{
    std::uint32_t perMille;
    /// The share is kept at least as long before the next step.
    Milliseconds least;
};

/// The first share stays well below the tenth that a bad version may get; it lasts long enough for
/// defect that sets in seconds after a server's start; the last, until every node has read the
/// record and calls at the old servers have ended.
constexpr std::array<Step, 4> steps = {{
        {50, Milliseconds(4500)},
        {200, Milliseconds(1500)},
        {500, Milliseconds(1500)},
        {1000, Milliseconds(3000)},
}};
/// Answers of the new version, and timed ones among them, that the first share waits for.
constexpr std::uint64_t leastAnswers = 30;
constexpr std::uint64_t leastTimedAnswers = 25;
/// All but the first step, and a second for the write to reach everyone.
constexpr Milliseconds restOfMove(7000);
/// Evidence older than this says little about a version whose defect may set in late.
constexpr Milliseconds judgedWindow(3000);
/// Failures that could be chance or the fault of a called service are tolerated.
constexpr double leastFailures = 4.0;
constexpr double failureFactor = 3.0;
constexpr double failureMargin = 0.08;
constexpr double priorFailures = 2.0;
constexpr double priorAnswers = 5.0;
/// Objectives are about three times the usual work, so late answers show a version that is several
/// times slower for a part of its calls, while a slow host makes few of them late.
constexpr double leastLate = 5.0;
constexpr double lateFactor = 2.5;
constexpr double lateMargin = 0.04;
/// Servers of one service differ in speed by two to three times.
constexpr double leastTimed = 25.0;
constexpr double slowFactor = 3.0;
/// A node that should act may be gone; the next one waits this long for it.
constexpr Milliseconds rankDelay(1500);
constexpr Milliseconds revertRankDelay(300);

std::string countOf(double part, double whole)
{
    return std::to_string(static_cast<int>(part)) + " of "
            + std::to_string(static_cast<int>(whole));
}

// Few answers of the old version say little; they are taken for worse than they look.
double cautiousRate(double bad, double answers)
{
    return (bad + priorFailures) / (answers + priorAnswers);
}

bool hasTooManyFailures(const VersionCounts &newer, const VersionCounts &older)
{
    const double maxRate
            = cautiousRate(older.failures, older.answers) * failureFactor + failureMargin;
    return newer.failures >= leastFailures && newer.failures > newer.answers * maxRate;
}

bool hasTooManyLateAnswers(const VersionCounts &newer, const VersionCounts &older)
{
    const double maxRate
            = std::min(1.0, cautiousRate(older.late, older.timed) * lateFactor + lateMargin);
    const double deviation = std::sqrt(newer.timed * maxRate * (1.0 - maxRate));
    return newer.late >= leastLate && newer.late > newer.timed * maxRate + deviation;
}

bool isSlowOnTheWhole(const VersionCounts &newer, const VersionCounts &older)
{
    return newer.timed >= leastTimed && older.timed >= leastTimed
            && newer.relativeWork / newer.timed > older.relativeWork / older.timed * slowFactor;
}

// Returns why the new version is bad; empty when it is not known to be.
std::string verdictOn(const VersionCounts &newer, const VersionCounts &older)
{
    if (hasTooManyFailures(newer, older))
        return "answers failed: " + countOf(newer.failures, newer.answers);
    if (hasTooManyLateAnswers(newer, older))
        return "answers late: " + countOf(newer.late, newer.timed);
    if (isSlowOnTheWhole(newer, older))
        return "answers are slow";
    return {};
}

const char *stateName(VersionMoveState state)
{
    switch (state) {
    case VersionMoveState::Running:
        return "running";
    case VersionMoveState::Complete:
        return "complete";
    case VersionMoveState::Reverted:
        return "reverted";
    }
    return "running";
}

std::optional<VersionMoveState> stateOf(std::string_view name)
{
    for (const VersionMoveState state :
         {VersionMoveState::Running, VersionMoveState::Complete, VersionMoveState::Reverted}) {
        if (name == stateName(state))
            return state;
    }
    return std::nullopt;
}

} // namespace detail

std::string encodeVersionMove(const VersionMove &move)
{
    const nlohmann::json json = {{"service", move.service.value()},
                                 {"target", move.target.value()},
                                 {"ordered", move.orderRevision.value()},
                                 {"perMille", move.perMille},
                                 {"state", detail::stateName(move.state)}};
    return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

Result<VersionMove> decodeVersionMove(std::string_view bytes)
{
    try {
        const auto json = nlohmann::json::parse(bytes);
        const auto state = detail::stateOf(json.at("state").get<std::string>());
        if (state) {
            return VersionMove{ServiceId(json.at("service").get<std::string>()),
                               VersionId(json.at("target").get<std::string>()),
                               ModRevision(json.at("ordered").get<std::uint64_t>()),
                               json.at("perMille").get<std::uint32_t>(), *state};
        }
    } catch (const nlohmann::json::exception &) {
        // Told below, like an unknown state.
    }
    return fail(ErrorKind::InvalidMessage, "the record of a move cannot be read",
                "check what else writes under the prefix of moves");
}

void VersionMoveWatcher::observeOrder(const VersionMoveOrder &order, TimePoint now)
{
    if (order_ && order_->orderRevision >= order.orderRevision)
        return;
    order_ = order;
    orderedAt_ = now;
    firstAnswerAt_.reset();
    servers_.clear();
    verdict_.clear();
}

void VersionMoveWatcher::observeRecord(const VersionMove &record, TimePoint now)
{
    if (record_ && record_->orderRevision > record.orderRevision)
        return;
    if (record_ == record)
        return;
    // A move that ended stays ended, whatever arrives late.
    if (record_ && record_->orderRevision == record.orderRevision
        && record_->state != VersionMoveState::Running)
        return;
    record_ = record;
    recordAt_ = now;
}

void VersionMoveWatcher::addCounters(const NodeId &run, const VersionId &version,
                                     const ServerCounters &tally, TimePoint now)
{
    if (!isJudged())
        return;
    Server &server = servers_[run];
    server.isTarget = version == order_->target;
    if (!server.samples.empty() && server.samples.back().tally.answers >= tally.answers)
        return;
    // A new server's first report covers all of its answers, an old server's many of long ago.
    if (server.samples.empty() && server.isTarget)
        server.samples.push_back(Sample{now, ServerCounters{}});
    server.samples.push_back(Sample{now, tally});
    while (server.samples.size() > 2 && now - server.samples[1].at > detail::judgedWindow)
        server.samples.pop_front();
    if (server.isTarget && !firstAnswerAt_)
        firstAnswerAt_ = now;
    judge(now);
}

VersionCounts VersionMoveWatcher::evidenceOf(bool isTarget) const
{
    VersionCounts sums;
    for (const auto &[run, server] : servers_) {
        if (server.isTarget != isTarget || server.samples.size() < 2)
            continue;
        const ServerCounters &first = server.samples.front().tally;
        const ServerCounters &last = server.samples.back().tally;
        sums.answers += static_cast<double>(last.answers - first.answers);
        sums.failures += static_cast<double>(last.failures - first.failures);
        sums.timed += static_cast<double>(last.timed - first.timed);
        sums.late += static_cast<double>(last.late - first.late);
        sums.relativeWork += last.relativeWork - first.relativeWork;
    }
    return sums;
}

void VersionMoveWatcher::judge(TimePoint now)
{
    if (!verdict_.empty())
        return;
    verdict_ = detail::verdictOn(evidenceOf(true), evidenceOf(false));
    verdictAt_ = now;
}

bool VersionMoveWatcher::hasEnoughAnswers() const
{
    std::uint64_t answers = 0;
    std::uint64_t timed = 0;
    for (const auto &[run, server] : servers_) {
        if (!server.isTarget || server.samples.empty())
            continue;
        answers += server.samples.back().tally.answers;
        timed += server.samples.back().tally.timed;
    }
    return answers >= detail::leastAnswers && timed >= detail::leastTimedAnswers;
}

bool VersionMoveWatcher::isJudged() const
{
    return order_ && (!isCurrent() || record_->state == VersionMoveState::Running);
}

std::uint32_t VersionMoveWatcher::perMille() const
{
    if (!order_ || !verdict_.empty() || !isCurrent())
        return 0;
    return record_->state == VersionMoveState::Reverted ? 0 : record_->perMille;
}

std::optional<std::uint32_t> VersionMoveWatcher::dueShare(TimePoint now) const
{
    const auto step = std::find_if(
            detail::steps.begin(), detail::steps.end(),
            [&](const detail::Step &entry) { return entry.perMille == record_->perMille; });
    if (step == detail::steps.end())
        return detail::steps.front().perMille;
    TimePoint since = recordAt_;
    if (step == detail::steps.begin()) {
        const bool mustHurry = now + detail::restOfMove > orderedAt_ + order_->maxDuration;
        if (!firstAnswerAt_ || (!hasEnoughAnswers() && !mustHurry))
            return std::nullopt;
        since = *firstAnswerAt_;
    }
    if (now - since < step->least)
        return std::nullopt;
    // Beyond the last step the move is complete.
    return step + 1 == detail::steps.end() ? step->perMille : (step + 1)->perMille;
}

std::optional<VersionMove> VersionMoveWatcher::next(std::uint32_t rank, std::size_t targetHosts,
                                                    TimePoint now)
{
    if (!order_ || (record_ && record_->orderRevision > order_->orderRevision))
        return std::nullopt;
    if (isCurrent() && record_->state != VersionMoveState::Running)
        return std::nullopt;
    VersionMove move{order_->service, order_->target, order_->orderRevision, 0,
                     VersionMoveState::Running};
    if (!verdict_.empty()) {
        if (now < verdictAt_ + detail::revertRankDelay * rank)
            return std::nullopt;
        move.state = VersionMoveState::Reverted;
        return move;
    }
    const Milliseconds wait = detail::rankDelay * rank;
    if (!isCurrent()) {
        if (now < orderedAt_ + wait)
            return std::nullopt;
        return move;
    }
    if (targetHosts == 0 || now < recordAt_ + wait)
        return std::nullopt;
    const std::optional<std::uint32_t> share = dueShare(now - wait);
    if (!share)
        return std::nullopt;
    move.perMille = *share;
    if (record_->perMille == *share)
        move.state = VersionMoveState::Complete;
    return move;
}

} // namespace cornelhead
