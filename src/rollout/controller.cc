// Drives moves: judges, raises shares at the pace, takes bad versions back.
#include "cornelhead/rollout/controller.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "cornelhead/rollout/judgement.h"
#include "cornelhead/rollout/share-schedule.h"

namespace cornelhead {
namespace detail {
namespace {

constexpr std::int64_t blockMs = 300;
/// After a longer silence a controller counts as new, since its evidence has a hole.
constexpr std::int64_t maxEvidenceGapMs = 3'000;
/// Odds from which a version is suspect: its share waits.
constexpr double suspectOdds = 10.0;
/// Odds from which a version at full share is compared with the old one again.
constexpr double recheckOdds = 10.0;
/// Odds at which defect under full load only is certain enough to take a version back.
constexpr double fullLoadOdds = 250.0;
/// Rechecks that find nothing, after which the next baselineFinding may be of defect under full
/// load.
constexpr std::uint32_t maxClearedRechecks = 2;
/// How long the old version shows how it does at full load.
constexpr std::int64_t crossoverMs = 4'000;
constexpr std::uint64_t minCrossoverCalls = 100;
constexpr std::int64_t maxCrossoverMs = 30'000;
/// The probability that a good version is ever taken back by the controller.
constexpr double controllerFalseAlarmProbability = 0.004;
/// Blocks for which a difference from the baseline has to last before a brake rests on it, so that
/// the controller can compare both versions first.
constexpr std::size_t minBreakerBlocks = 4;
/// The same for one node or data centre; there are many of them.
constexpr double breakerFalseAlarmProbability = 0.00002;

bool isSameMove(const Move &one, const Move &other)
{
    return one.newVersion == other.newVersion && one.oldVersion == other.oldVersion
            && one.startedAtMs == other.startedAtMs;
}

JudgementSettings settingsFor(const Move &move, JudgementSettings settings)
{
    const std::int64_t moveMs = std::max<std::int64_t>(1, move.deadlineMs - move.startedAtMs);
    const auto wholeMs = static_cast<double>(moveMs + watchMs(moveMs));
    settings.expectedBlocks = std::max(20.0, wholeMs / blockMs);
    return settings;
}

constexpr std::string_view crossoverText = "stepped back to see the old version at full load: ";
constexpr std::string_view recheckText = "stepped back to compare again: ";

/// Tells whether a version that is suspect under full load has been stepped back to almost no
/// calls, so that the old version shows how it does at that load.
bool isCrossover(const Move &move)
{
    return move.state == MoveState::Running && move.rechecks > 0 && move.share == initialShare;
}

/// One move with the evidence for and against it.
class TrackedMove
{
public:
    TrackedMove(Move move, JudgementSettings settings)
        : move_(std::move(move)), judgement_(settingsFor(move_, settings))
    {
        judgement_.mergeBaseline(move_.baseline);
    }

    const Move &move() const { return move_; }
    const Judgement &judgement() const { return judgement_; }

    /// Takes a newer record of the same move.
    void update(const Move &move)
    {
        if (move.rechecks > move_.rechecks)
            judgement_.startRecheck();
        if (isCrossover(move_) && move.share > move_.share)
            judgement_.useStageAsBaseline();
        if (move.share != move_.share)
            startStage(lastMs_);
        judgement_.mergeBaseline(move.baseline);
        move_ = move;
    }

    void add(const OutcomeKey &key, const OutcomeSums &sums)
    {
        if (key.version == move_.newVersion)
            judgement_.add(true, key.route, key.dataCentre, sums);
        else if (key.version == move_.oldVersion)
            judgement_.add(false, key.route, key.dataCentre, sums);
    }

    /// Closes blocks that ended by `nowMs`.
    void advance(std::int64_t nowMs)
    {
        if (nowMs - lastMs_ > maxEvidenceGapMs)
            startStage(nowMs);
        lastMs_ = std::max(lastMs_, nowMs);
        if (nowMs - blockStartMs_ < blockMs)
            return;
        blockStartMs_ = nowMs;
        judgement_.closeBlock(move_.share);
    }

    /// Returns how long evidence was gathered at the present share without a hole.
    std::int64_t stageMs(std::int64_t nowMs) const { return nowMs - stageStartMs_; }

private:
    void startStage(std::int64_t nowMs)
    {
        stageStartMs_ = nowMs;
        judgement_.startStage();
    }

    Move move_;
    Judgement judgement_;
    std::int64_t blockStartMs_ = 0;
    std::int64_t stageStartMs_ = 0;
    std::int64_t lastMs_ = 0;
};

/// Holds the latest record of each service and what was seen since.
class MoveTracker
{
public:
    explicit MoveTracker(JudgementSettings settings) : settings_(settings) { }

    void observe(const Move &move)
    {
        const auto found = moves_.find(move.service);
        if (found == moves_.end()) {
            moves_.try_emplace(move.service, move, settings_);
            return;
        }
        if (move.modRevision <= found->second.move().modRevision)
            return;
        if (isSameMove(found->second.move(), move))
            found->second.update(move);
        else
            found->second = TrackedMove(move, settings_);
    }

    void addEvidence(const OutcomeBatch &outcomes, std::int64_t nowMs)
    {
        for (const auto &[key, sums] : outcomes) {
            const auto found = moves_.find(key.service);
            if (found != moves_.end())
                found->second.add(key, sums);
        }
        for (auto &[service, tracked] : moves_)
            tracked.advance(nowMs);
    }

    TrackedMove *find(const ServiceId &service)
    {
        const auto found = moves_.find(service);
        return found == moves_.end() ? nullptr : &found->second;
    }

private:
    JudgementSettings settings_;
    std::map<ServiceId, TrackedMove> moves_;
};

std::string stageText(const VersionSums &stage)
{
    const auto part = [](const OutcomeSums &sums) {
        const double calls = static_cast<double>(std::max<std::uint64_t>(1, sums.calls));
        return std::to_string(sums.calls) + " calls, "
                + renderPercent(static_cast<double>(sums.failures) / calls) + " failed";
    };
    return "new version: " + part(stage.newer) + "; old version: " + part(stage.older);
}

VersionEvidence evidenceOf(const OutcomeSums &sums)
{
    return {sums.calls, sums.failures, latencyQuantile(sums.latencies, 0.95)};
}

void addStageEvent(Move &next, const TrackedMove &tracked, std::int64_t nowMs, std::string text)
{
    addMoveEvent(next, nowMs, std::move(text));
    next.events.back().newer = evidenceOf(tracked.judgement().stage().newer);
    next.events.back().older = evidenceOf(tracked.judgement().stage().older);
}

Move stamp(Move next, std::int64_t nowMs)
{
    next.edit = EditId("controller-" + std::to_string(next.modRevision.value()) + "-"
                       + std::to_string(nowMs));
    return next;
}

Move takeBack(const TrackedMove &tracked, const Finding &finding, std::int64_t nowMs)
{
    Move next = stamp(tracked.move(), nowMs);
    next.state = MoveState::RolledBack;
    next.share = PerMille(0);
    next.refusedVersions.insert(next.newVersion);
    const auto odds = static_cast<std::uint64_t>(std::min(finding.odds, 1e9));
    next.verdict = "taken back: " + finding.text + "; odds " + std::to_string(odds) + " to 1";
    addStageEvent(next, tracked, nowMs, next.verdict);
    return next;
}

Move raise(const TrackedMove &tracked, PerMille share, std::string_view reason, std::int64_t nowMs)
{
    Move next = stamp(tracked.move(), nowMs);
    next.share = share;
    if (share == fullShare) {
        next.state = MoveState::Watching;
        next.fullShareAtMs = next.fullShareAtMs > 0 ? next.fullShareAtMs : nowMs;
    }
    const OutcomeBatch baseline = tracked.judgement().baseline(next.service, next.oldVersion);
    for (const auto &[key, sums] : baseline)
        if (next.baseline[key].calls < sums.calls)
            next.baseline[key] = sums;
    addStageEvent(next, tracked, nowMs,
                  "raised to " + renderPercent(static_cast<double>(share.value()) / 1000.0) + ", "
                          + std::string(reason) + "; " + stageText(tracked.judgement().stage()));
    return next;
}

Move finish(const TrackedMove &tracked, std::int64_t nowMs)
{
    Move next = stamp(tracked.move(), nowMs);
    next.state = MoveState::Done;
    next.verdict = "done: nothing spoke against the new version until "
            + std::to_string((nowMs - next.fullShareAtMs) / 1000) + " s after full share";
    addStageEvent(next, tracked, nowMs, "done; " + stageText(tracked.judgement().stage()));
    return next;
}

Move stepBack(const TrackedMove &tracked, PerMille share, const Finding &baselineFinding,
              std::int64_t nowMs)
{
    Move next = tracked.move();
    next.share = share;
    next.state = MoveState::Running;
    next.rechecks += 1;
    next = stamp(std::move(next), nowMs);
    addStageEvent(next, tracked, nowMs,
                  std::string(share == initialShare ? crossoverText : recheckText)
                          + baselineFinding.text);
    return next;
}

std::optional<Move> finishIfWatched(const TrackedMove &tracked, std::int64_t nowMs)
{
    const Move &move = tracked.move();
    const std::int64_t watch = watchMs(move.deadlineMs - move.startedAtMs);
    const std::int64_t endMs = std::max(move.fullShareAtMs, move.deadlineMs) + watch;
    const bool isSuspect = tracked.judgement().odds() >= suspectOdds;
    // After each baselineFinding it has to do well for longer.
    const std::int64_t leastMs
            = move.rechecks == 0 ? watch / 2 : watch * std::min<std::int64_t>(move.rechecks + 1, 4);
    if (isSuspect || nowMs < endMs || tracked.stageMs(nowMs) < leastMs)
        return std::nullopt;
    return finish(tracked, nowMs);
}

std::optional<Move> nextWhenWatching(const TrackedMove &tracked, std::int64_t nowMs)
{
    const Move &move = tracked.move();
    if (tracked.judgement().rules() == JudgementRules::Legacy)
        return finishIfWatched(tracked, nowMs);
    const bool isFullLoadOnly = move.clearedRechecks >= maxClearedRechecks;
    const auto baselineFinding
            = tracked.judgement().baselineFinding(isFullLoadOnly ? fullLoadOdds : recheckOdds, 0);
    if (baselineFinding)
        return stepBack(tracked, isFullLoadOnly ? initialShare : recheckShare, *baselineFinding,
                        nowMs);
    return finishIfWatched(tracked, nowMs);
}

// The version differed from the baseline at full share, twice.  Now the old one has that load.
std::optional<Move> nextInCrossover(const TrackedMove &tracked, std::int64_t nowMs)
{
    const std::int64_t stageMs = tracked.stageMs(nowMs);
    const Judgement &judgement = tracked.judgement();
    const bool hasCalls = judgement.stage().older.calls >= minCrossoverCalls;
    if (stageMs < (hasCalls ? crossoverMs : maxCrossoverMs))
        return std::nullopt;
    if (!judgement.isOldVersionUnchanged()) {
        Move next = raise(tracked, fullShare, "the old version does the same at that load", nowMs);
        next.clearedRechecks = 0;
        return next;
    }
    const std::string &stepBack = tracked.move().events.back().text;
    const std::string baselineFinding
            = stepBack.substr(std::min(stepBack.size(), crossoverText.size()));
    return takeBack(tracked,
                    {fullLoadOdds, baselineFinding + "; the old version does well at that load"},
                    nowMs);
}

std::optional<Move> nextInRecheck(const TrackedMove &tracked, std::int64_t nowMs)
{
    const Move &move = tracked.move();
    const std::int64_t wait = recheckMs(move.rechecks);
    const std::int64_t longest
            = std::max(4 * wait, watchMs(move.deadlineMs - move.startedAtMs) / 2);
    const bool isSuspect = tracked.judgement().odds() >= suspectOdds;
    const bool isCleared = tracked.judgement().isCleared();
    if (tracked.stageMs(nowMs) < (isCleared ? wait : longest) || isSuspect)
        return std::nullopt;
    Move next = raise(tracked, fullShare, isCleared ? "nothing found" : "not enough to decide",
                      nowMs);
    next.clearedRechecks += tracked.judgement().isOldVersionUnchanged() ? 1 : 0;
    return next;
}

std::optional<Move> nextWhenRunning(const TrackedMove &tracked, std::int64_t nowMs)
{
    const Move &move = tracked.move();
    if (isCrossover(move))
        return nextInCrossover(tracked, nowMs);
    if (move.rechecks > 0)
        return nextInRecheck(tracked, nowMs);
    const bool isSuspect = tracked.judgement().odds() >= suspectOdds;
    const auto due = dueShare({move.share, move.startedAtMs, move.deadlineMs, nowMs,
                               tracked.stageMs(nowMs), tracked.judgement().isCleared(), isSuspect});
    if (!due)
        return std::nullopt;
    return raise(tracked, due->share, raiseReasonText(due->reason), nowMs);
}

/// Why one node sends a version no calls.
struct Brake
{
    VersionId version;
    /// It rests on a difference from the baseline, which a fault of both versions makes too.  It
    /// then gives way once the controller has stepped the share back to compare both versions.
    bool isBaselineOnly = false;
    std::uint32_t rechecks = 0;
};

std::optional<Brake> brakeFor(const TrackedMove &tracked)
{
    const Move &move = tracked.move();
    if (isFinal(move.state))
        return std::nullopt;
    if (tracked.judgement().finding())
        return Brake{move.newVersion, false, move.rechecks};
    if (tracked.judgement().baselineFinding(1.0 / breakerFalseAlarmProbability, minBreakerBlocks))
        return Brake{move.newVersion, true, move.rechecks};
    return std::nullopt;
}

bool isLifted(const Brake &brake, const Move &latest)
{
    return isFinal(latest.state) || brake.version != latest.newVersion
            || (brake.isBaselineOnly && latest.rechecks > brake.rechecks);
}

// Nodes that braked the version hide it from the controller, so that calls which the share promises
// and that never come are evidence too.
std::optional<Move> nextOnTrafficDeficit(const TrackedMove &tracked, std::int64_t nowMs)
{
    const Move &move = tracked.move();
    const std::int64_t watch = watchMs(move.deadlineMs - move.startedAtMs);
    const bool isLate = nowMs >= move.deadlineMs + watch;
    if (!tracked.judgement().hasNewCalls() && !isLate)
        return std::nullopt;
    // At full share brakes may rest on a fault of both versions.
    if (move.state == MoveState::Watching && tracked.judgement().hasNewCalls())
        return stepBack(tracked, recheckShare, {0, "nodes stopped sending it calls"}, nowMs);
    const Finding finding{fullLoadOdds,
                          tracked.judgement().hasNewCalls()
                                  ? "the nodes stopped sending it calls, on their own evidence"
                                  : "it never got the calls of its share; no server of it answers"};
    return takeBack(tracked, finding, nowMs);
}

std::optional<Move> nextStep(const TrackedMove &tracked, std::int64_t nowMs)
{
    if (tracked.judgement().hasTrafficDeficit())
        return nextOnTrafficDeficit(tracked, nowMs);
    switch (tracked.move().state) {
    case MoveState::Running:
        return nextWhenRunning(tracked, nowMs);
    case MoveState::Watching:
        return nextWhenWatching(tracked, nowMs);
    case MoveState::Paused:
    case MoveState::Done:
    case MoveState::RolledBack:
        return std::nullopt;
    }
    return std::nullopt;
}

} // namespace
} // namespace detail

struct MoveController::Impl
{
    detail::MoveTracker book;
};

MoveController::MoveController(JudgementRules rules)
    : impl_(new Impl{detail::MoveTracker(
            {.falseAlarmProbability = detail::controllerFalseAlarmProbability, .rules = rules})})
{ }

MoveController::~MoveController() = default;
MoveController::MoveController(MoveController &&) noexcept = default;
MoveController &MoveController::operator=(MoveController &&) noexcept = default;

void MoveController::observe(const Move &move)
{
    impl_->book.observe(move);
}

void MoveController::addEvidence(const OutcomeBatch &outcomes, std::int64_t nowMs)
{
    impl_->book.addEvidence(outcomes, nowMs);
}

std::optional<Move> MoveController::next(const ServiceId &service, std::int64_t nowMs)
{
    detail::TrackedMove *tracked = impl_->book.find(service);
    if (!tracked || isFinal(tracked->move().state))
        return std::nullopt;
    tracked->advance(nowMs);
    if (const auto finding = tracked->judgement().finding())
        return detail::takeBack(*tracked, *finding, nowMs);
    return detail::nextStep(*tracked, nowMs);
}

struct LocalCircuitBreaker::Impl
{
    detail::MoveTracker book{
            {.falseAlarmProbability = detail::breakerFalseAlarmProbability, .minBlocks = 3}};
    std::map<ServiceId, detail::Brake> braked;
};

LocalCircuitBreaker::LocalCircuitBreaker() : impl_(std::make_unique<Impl>()) { }
LocalCircuitBreaker::~LocalCircuitBreaker() = default;
LocalCircuitBreaker::LocalCircuitBreaker(LocalCircuitBreaker &&) noexcept = default;
LocalCircuitBreaker &LocalCircuitBreaker::operator=(LocalCircuitBreaker &&) noexcept = default;

void LocalCircuitBreaker::observe(const Move &move)
{
    impl_->book.observe(move);
    const Move &latest = impl_->book.find(move.service)->move();
    const auto found = impl_->braked.find(move.service);
    if (found != impl_->braked.end() && detail::isLifted(found->second, latest))
        impl_->braked.erase(found);
}

void LocalCircuitBreaker::addEvidence(const OutcomeBatch &outcomes, std::int64_t nowMs)
{
    impl_->book.addEvidence(outcomes, nowMs);
    for (const auto &[key, sums] : outcomes) {
        const detail::TrackedMove *tracked = impl_->book.find(key.service);
        const auto brake = tracked ? detail::brakeFor(*tracked) : std::nullopt;
        if (!brake)
            continue;
        const auto [held, isNew] = impl_->braked.try_emplace(key.service, *brake);
        // Once it rests on a comparison it stays so.
        if (!isNew && !brake->isBaselineOnly)
            held->second = *brake;
    }
}

bool LocalCircuitBreaker::isTripped(const ServiceId &service) const
{
    return impl_->braked.contains(service);
}

} // namespace cornelhead
