// Steps moves by the counters of serving nodes, and encodes their records.
#include "cornelhead/rollout/version-move.h"

#include <algorithm>
#include <array>
#include <cmath>

#include "cornelhead/base/untrusted-json.h"
#include "cornelhead/platform/store-types.h"

namespace cornelhead {
namespace detail {

struct Step
{
    std::uint32_t perMille;
    /// The minimum time at this share before the next step.
    Milliseconds minDuration;
    /// Timed calls of the new version that are needed in this step.
    std::uint64_t minTimedInStep;
    /// Whether a version that has had few calls may leave this step without enough evidence when
    /// time presses: it needs a larger share to be judged at all.
    bool mayLeaveWithFewCalls;
};

constexpr std::uint32_t allCalls = 1000;
/// The first share is well below the tenth of the calls that a bad version may get.  It lasts long
/// enough for a regression that begins seconds after the start of a server.  Before the last step,
/// a bad version has received the calls of 0.9 s, of which 1.5 s are allowed in a move of 15 s. The
/// last step lasts until every node has read the record and calls at the old servers have ended.
constexpr std::array<Step, 4> steps = {{
        {50, Milliseconds(4500), 0, true},
        {150, Milliseconds(1500), 10, true},
        {300, Milliseconds(1500), 10, false},
        {allCalls, Milliseconds(3000), 10, false},
}};
/// Answers of the new version, and timed calls, that are needed to leave any step.
constexpr std::uint64_t minAnswers = 30;
constexpr std::uint64_t minTimed = 25;
/// The duration of all steps but the first, and a second until every node has read the record.
constexpr Milliseconds remainingStepsDuration(7000);
/// Older evidence is ignored, since a regression may begin late.
constexpr Milliseconds evidenceWindow(3000);
/// Tolerances for failures by chance or by the fault of a called service.
constexpr double minFailures = 4.0;
constexpr double failureFactor = 3.0;
constexpr double failureMargin = 0.08;
constexpr double priorFailures = 2.0;
constexpr double priorAnswers = 5.0;
/// The objective of a route is about three times its normal duration.  Late answers therefore show
/// a version that is several times slower for some of its calls, while a slow host makes few late.
constexpr double minLateAnswers = 5.0;
constexpr double lateFactor = 2.5;
constexpr double lateMargin = 0.04;
constexpr double minComparedAnswers = 25.0;
/// The servers of one service differ in speed by a factor of two to three.
constexpr double slowFactor = 3.0;
/// How long each rank waits for the rank before it, whose node may be gone.
constexpr Milliseconds rankDelay(1500);
constexpr Milliseconds rollbackRankDelay(300);

std::string countText(double count, double total)
{
    return std::to_string(static_cast<int>(count)) + " of "
            + std::to_string(static_cast<int>(total));
}

// Returns the rate with a pessimistic prior, since few answers of the old version are weak
// evidence.
double smoothedRate(double bad, double answers)
{
    return (bad + priorFailures) / (answers + priorAnswers);
}

bool hasTooManyFailures(const VersionCounts &newer, const VersionCounts &older)
{
    const double maxRate
            = smoothedRate(older.failures, older.answers) * failureFactor + failureMargin;
    return newer.failures >= minFailures && newer.failures > newer.answers * maxRate;
}

bool hasTooManyLateAnswers(const VersionCounts &newer, const VersionCounts &older)
{
    const double maxRate
            = std::min(1.0, smoothedRate(older.late, older.timed) * lateFactor + lateMargin);
    const double deviation = std::sqrt(newer.timed * maxRate * (1.0 - maxRate));
    return newer.late >= minLateAnswers && newer.late > newer.timed * maxRate + deviation;
}

bool isSlowOnAverage(const VersionCounts &newer, const VersionCounts &older)
{
    return newer.timed >= minComparedAnswers && older.timed >= minComparedAnswers
            && newer.meanWork() > older.meanWork() * slowFactor;
}

// Returns why the new version is bad; empty without enough evidence.
std::string verdictFor(const VersionCounts &newer, const VersionCounts &older)
{
    if (hasTooManyFailures(newer, older))
        return "answers failed: " + countText(newer.failures, newer.answers);
    if (hasTooManyLateAnswers(newer, older))
        return "answers late: " + countText(newer.late, newer.timed);
    if (isSlowOnAverage(newer, older))
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
    const Result<nlohmann::json> json = parseUntrustedJson(bytes);
    if (!json)
        return tl::unexpected(json.error());
    try {
        const auto state = detail::stateOf(json->at("state").get<std::string>());
        if (state) {
            constexpr std::uint32_t maxPerMille = 1000;
            return VersionMove{
                    ServiceId(json->at("service").get<std::string>()),
                    VersionId(json->at("target").get<std::string>()),
                    ModRevision(readInteger<std::uint64_t>(json->at("ordered"), 0, UINT64_MAX)),
                    readInteger<std::uint32_t>(json->at("perMille"), 0, maxPerMille), *state};
        }
    } catch (const std::exception &) {
        // Reported below, like an unknown state.
    }
    return fail(ErrorKind::InvalidMessage, "the record of a move cannot be read",
                "check which other program writes under the prefix of moves");
}

bool VersionMoveWatcher::isWrittenAgain(const VersionMoveOrder &order) const
{
    return order_ && eraOf(order.orderRevision) > eraOf(order_->orderRevision)
            && order.target == order_->target && order.maxDuration == order_->maxDuration;
}

void VersionMoveWatcher::observeOrder(const VersionMoveOrder &order, TimePoint now)
{
    if (order_ && order_->orderRevision >= order.orderRevision)
        return;
    if (isWrittenAgain(order)) {
        wasRestored_ = true;
        if (isCurrent()) {
            record_->orderRevision = order.orderRevision;
            unwrittenSince_ = now;
        }
        order_ = order;
        return;
    }
    order_ = order;
    orderedAt_ = now;
    servers_.clear();
    verdict_.clear();
}

void VersionMoveWatcher::beginStep()
{
    for (auto &[run, server] : servers_)
        server.atStepStart = server.samples.back().counters;
}

void VersionMoveWatcher::observeRecord(const VersionMove &record, TimePoint now)
{
    if (record_ && record_->orderRevision > record.orderRevision)
        return;
    if (record_ == record) {
        unwrittenSince_.reset();
        return;
    }
    if (record_ && record_->orderRevision == record.orderRevision && isOlder(record)) {
        // Otherwise it is merely late.
        if (wasRestored_)
            unwrittenSince_ = now;
        return;
    }
    record_ = record;
    recordAt_ = now;
    unwrittenSince_.reset();
    beginStep();
}

// Shares only grow, and a move that has ended is not reopened.
bool VersionMoveWatcher::isOlder(const VersionMove &record) const
{
    return record_->state != VersionMoveState::Running
            || (record.state == VersionMoveState::Running && record.perMille < record_->perMille);
}

// A record that a restored store still holds names its order by the revision in an earlier era.
bool VersionMoveWatcher::isCurrent() const
{
    return order_ && record_ && record_->target == order_->target
            && withoutEra(record_->orderRevision) == withoutEra(order_->orderRevision);
}

void VersionMoveWatcher::addCounters(const NodeId &run, const VersionId &version,
                                     const ServerCounters &counters, TimePoint now)
{
    if (!isJudged())
        return;
    Server &server = serverOf(run, version == order_->target, counters, now);
    if (server.samples.back().counters.calls() >= counters.calls())
        return;
    server.samples.push_back(Sample{now, counters});
    removeOldSamples(now);
    judge(now);
}

VersionMoveWatcher::Server &VersionMoveWatcher::serverOf(const NodeId &run, bool isTarget,
                                                         const ServerCounters &counters,
                                                         TimePoint now)
{
    const auto [entry, isNew] = servers_.try_emplace(run);
    Server &server = entry->second;
    if (!isNew && server.isTarget == isTarget)
        return server;
    server = Server{isTarget, {}, counters};
    // The first report of a new server covers only recent calls; that of an old server, or of a
    // node whose server was replaced, also covers calls before the window, so it is only its start.
    server.samples.push_back(Sample{now, isNew && isTarget ? ServerCounters{} : counters});
    return server;
}

void VersionMoveWatcher::removeOldSamples(TimePoint now)
{
    for (auto &[run, server] : servers_) {
        while (server.samples.size() > 1 && now - server.samples[1].at > detail::evidenceWindow)
            server.samples.pop_front();
    }
}

VersionCounts VersionMoveWatcher::evidenceOf(bool isTarget) const
{
    VersionCounts sums;
    for (const auto &[run, server] : servers_) {
        if (server.isTarget != isTarget || server.samples.size() < 2)
            continue;
        const ServerCounters &first = server.samples.front().counters;
        const ServerCounters &last = server.samples.back().counters;
        sums.answers += static_cast<double>(last.answers - first.answers);
        sums.failures += static_cast<double>(last.failures - first.failures);
        sums.timed += static_cast<double>(last.timed - first.timed);
        sums.late += static_cast<double>(last.late - first.late);
        sums.relativeWork += last.relativeWork - first.relativeWork;
        sums.cold += static_cast<double>(last.cold - first.cold);
        sums.cutOff += static_cast<double>(last.cutOff - first.cutOff);
        sums.refused += static_cast<double>(last.refused - first.refused);
    }
    return sums;
}

void VersionMoveWatcher::judge(TimePoint now)
{
    if (!verdict_.empty())
        return;
    verdict_ = detail::verdictFor(evidenceOf(true), evidenceOf(false));
    verdictAt_ = now;
}

VersionMoveWatcher::Evidence VersionMoveWatcher::evidence() const
{
    Evidence sums;
    for (const auto &[run, server] : servers_) {
        if (!server.isTarget)
            continue;
        const ServerCounters &last = server.samples.back().counters;
        sums.answers += last.answers;
        sums.timed += last.timed;
        sums.callsInStep += last.calls() - server.atStepStart.calls();
        sums.timedInStep += last.timed - server.atStepStart.timed;
    }
    return sums;
}

bool VersionMoveWatcher::isJudged() const
{
    return order_ && (!isCurrent() || record_->state == VersionMoveState::Running);
}

std::size_t VersionMoveWatcher::serversInUse(std::size_t servers) const
{
    const std::size_t share = perMille();
    if (share >= detail::allCalls)
        return 0;
    const std::size_t rounded = servers * share / detail::allCalls;
    // One server of two or three would get much more than its later load by rounding down.
    if (rounded >= 2)
        return rounded;
    return std::max<std::size_t>(1, (servers * share + detail::allCalls - 1) / detail::allCalls);
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
    if (now - recordAt_ < step->minDuration)
        return std::nullopt;
    const Evidence found = evidence();
    const bool isEnough = found.answers >= detail::minAnswers && found.timed >= detail::minTimed
            && found.timedInStep >= step->minTimedInStep;
    const bool mustHurry = now + detail::remainingStepsDuration > orderedAt_ + order_->maxDuration;
    const bool hasFewCalls = found.callsInStep > 0 && found.answers < detail::minAnswers;
    const bool mayHurry = mustHurry && step->mayLeaveWithFewCalls && hasFewCalls;
    if (!isEnough && !mayHurry)
        return std::nullopt;
    // The last step repeats its share, which completes the move.
    return step + 1 == detail::steps.end() ? step->perMille : (step + 1)->perMille;
}

std::optional<VersionMove> VersionMoveWatcher::next(std::uint32_t rank, std::size_t targetHosts,
                                                    TimePoint now)
{
    if (!order_ || (record_ && record_->orderRevision > order_->orderRevision))
        return std::nullopt;
    const bool mustRevert = !verdict_.empty() && isJudged();
    if (isCurrent() && unwrittenSince_ && !mustRevert) {
        if (now < *unwrittenSince_ + detail::rollbackRankDelay * rank)
            return std::nullopt;
        return record_;
    }
    if (isCurrent() && record_->state != VersionMoveState::Running)
        return std::nullopt;
    VersionMove move{order_->service, order_->target, order_->orderRevision, 0,
                     VersionMoveState::Running};
    if (!verdict_.empty()) {
        if (now < verdictAt_ + detail::rollbackRankDelay * rank)
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
