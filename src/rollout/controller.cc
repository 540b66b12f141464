// Judges moves, raises their shares on schedule, and rolls back bad versions.
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
/// After a longer gap in the evidence, a new stage begins.
constexpr std::int64_t maxEvidenceGapMs = 3'000;
/// Odds from which a version is suspect, so that its share is not raised.
constexpr double suspectOdds = 10.0;
/// Odds from which a version at full share is compared with the old one again.
constexpr double recheckOdds = 10.0;
/// Odds that suffice for a rollback because of a regression that appears only under full load.
constexpr double fullLoadOdds = 250.0;
/// Number of rechecks without a finding after which the next deviation from the baseline is treated
/// as a possible regression under full load.
constexpr std::uint32_t maxClearedRechecks = 2;
/// How long the old version gets almost all calls in a crossover; longer when it has few calls.
constexpr std::int64_t crossoverMs = 4'000;
constexpr std::uint64_t minCrossoverCalls = 100;
constexpr std::int64_t maxCrossoverMs = 30'000;
/// The probability that the controller ever rolls back a good version.
constexpr double controllerFalseAlarmProbability = 0.004;
/// Blocks for which a deviation from the baseline has to last before it trips a circuit breaker, so
/// that the controller can compare both versions first.
constexpr std::size_t minBreakerBlocks = 4;
/// The probability that one node's circuit breaker ever trips on a good version; low, since there
/// are many nodes.
constexpr double breakerFalseAlarmProbability = 0.00002;

bool isSameMove(const Move &one, const Move &other)
{
    return one.newVersion == other.newVersion && one.oldVersion == other.oldVersion
            && one.startedAtMs == other.startedAtMs;
}

JudgementSettings settingsFor(const Move &move, JudgementSettings settings)
{
    const std::int64_t moveMs = std::max<std::int64_t>(1, move.deadlineMs - move.startedAtMs);
    const auto totalMs = static_cast<double>(moveMs + watchMs(moveMs));
    settings.expectedBlocks = std::max(20.0, totalMs / blockMs);
    return settings;
}

constexpr std::string_view crossoverPrefix = "stepped back to see the old version at full load: ";
constexpr std::string_view recheckPrefix = "stepped back to compare again: ";

/// Returns whether the move is in a crossover: the new version is suspect under full load and is
/// reduced to the initial share, to observe the old version at that load.
bool isCrossover(const Move &move)
{
    return move.state == MoveState::Running && move.rechecks > 0 && move.share == initialShare;
}

/// A move and the judgement of its new version.
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

    /// Updates the move from a newer record.
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

    /// Closes the current block if it has ended by `nowMs`.
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

    /// Returns for how long evidence was collected at the current share without a gap.
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

/// The latest record of each service, with the evidence of its move.
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
    const auto describe = [](const OutcomeSums &sums) {
        const double calls = static_cast<double>(std::max<std::uint64_t>(1, sums.calls));
        return std::to_string(sums.calls) + " calls, "
                + renderPercent(static_cast<double>(sums.failures) / calls) + " failed";
    };
    return "new version: " + describe(stage.newer) + "; old version: " + describe(stage.older);
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

Move withNewEdit(Move next, std::int64_t nowMs)
{
    next.edit = EditId("controller-" + std::to_string(next.modRevision.value()) + "-"
                       + std::to_string(nowMs));
    return next;
}

Move rollBack(const TrackedMove &tracked, const Finding &finding, std::int64_t nowMs)
{
    Move next = withNewEdit(tracked.move(), nowMs);
    next.state = MoveState::RolledBack;
    next.share = PerMille(0);
    next.refusedVersions.insert(next.newVersion);
    const auto odds = static_cast<std::uint64_t>(std::min(finding.odds, 1e9));
    next.verdict = "taken back: " + finding.text + "; odds " + std::to_string(odds) + " to 1";
    addStageEvent(next, tracked, nowMs, next.verdict);
    return next;
}

Move raiseShare(const TrackedMove &tracked, PerMille share, std::string_view reason,
                std::int64_t nowMs)
{
    Move next = withNewEdit(tracked.move(), nowMs);
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

Move completeMove(const TrackedMove &tracked, std::int64_t nowMs)
{
    Move next = withNewEdit(tracked.move(), nowMs);
    next.state = MoveState::Done;
    next.verdict = "done: no evidence against the new version until "
            + std::to_string((nowMs - next.fullShareAtMs) / 1000) + " s after full share";
    addStageEvent(next, tracked, nowMs, "done; " + stageText(tracked.judgement().stage()));
    return next;
}

Move reduceShare(const TrackedMove &tracked, PerMille share, const Finding &finding,
                 std::int64_t nowMs)
{
    Move next = tracked.move();
    next.share = share;
    next.state = MoveState::Running;
    next.rechecks += 1;
    next = withNewEdit(std::move(next), nowMs);
    addStageEvent(next, tracked, nowMs,
                  std::string(share == initialShare ? crossoverPrefix : recheckPrefix)
                          + finding.text);
    return next;
}

std::optional<Move> completeIfWatched(const TrackedMove &tracked, std::int64_t nowMs)
{
    const Move &move = tracked.move();
    const std::int64_t watchDurationMs = watchMs(move.deadlineMs - move.startedAtMs);
    const std::int64_t endMs = std::max(move.fullShareAtMs, move.deadlineMs) + watchDurationMs;
    const bool isSuspect = tracked.judgement().odds() >= suspectOdds;
    // After each recheck the version has to stay below `suspectOdds` for longer.
    const std::int64_t minCleanMs = move.rechecks == 0
            ? watchDurationMs / 2
            : watchDurationMs * std::min<std::int64_t>(move.rechecks + 1, 4);
    if (isSuspect || nowMs < endMs || tracked.stageMs(nowMs) < minCleanMs)
        return std::nullopt;
    return completeMove(tracked, nowMs);
}

std::optional<Move> nextWhenWatching(const TrackedMove &tracked, std::int64_t nowMs)
{
    const Move &move = tracked.move();
    if (tracked.judgement().rules() == JudgementRules::Legacy)
        return completeIfWatched(tracked, nowMs);
    const bool isFullLoadOnly = move.clearedRechecks >= maxClearedRechecks;
    const auto finding
            = tracked.judgement().baselineFinding(isFullLoadOnly ? fullLoadOdds : recheckOdds, 0);
    if (finding)
        return reduceShare(tracked, isFullLoadOnly ? initialShare : recheckShare, *finding, nowMs);
    return completeIfWatched(tracked, nowMs);
}

// The new version deviated from the baseline at full share again, although rechecks had cleared it.
// The old version now gets that load, which shows whether it deviates as well.
std::optional<Move> nextInCrossover(const TrackedMove &tracked, std::int64_t nowMs)
{
    const std::int64_t stageMs = tracked.stageMs(nowMs);
    const Judgement &judgement = tracked.judgement();
    const bool hasCalls = judgement.stage().older.calls >= minCrossoverCalls;
    if (stageMs < (hasCalls ? crossoverMs : maxCrossoverMs))
        return std::nullopt;
    if (!judgement.isOldVersionUnchanged()) {
        Move next = raiseShare(tracked, fullShare, "the old version shows the same at that load",
                               nowMs);
        next.clearedRechecks = 0;
        return next;
    }
    const std::string &eventText = tracked.move().events.back().text;
    const std::string findingText
            = eventText.substr(std::min(eventText.size(), crossoverPrefix.size()));
    return rollBack(tracked,
                    {fullLoadOdds, findingText + "; the old version performs well at that load"},
                    nowMs);
}

std::optional<Move> nextInRecheck(const TrackedMove &tracked, std::int64_t nowMs)
{
    const Move &move = tracked.move();
    const std::int64_t durationMs = recheckMs(move.rechecks);
    const std::int64_t maxDurationMs
            = std::max(4 * durationMs, watchMs(move.deadlineMs - move.startedAtMs) / 2);
    const bool isSuspect = tracked.judgement().odds() >= suspectOdds;
    const bool isCleared = tracked.judgement().isCleared();
    if (tracked.stageMs(nowMs) < (isCleared ? durationMs : maxDurationMs) || isSuspect)
        return std::nullopt;
    Move next = raiseShare(tracked, fullShare,
                           isCleared ? "no regression found" : "not enough evidence to decide",
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
    return raiseShare(tracked, due->share, raiseReasonText(due->reason), nowMs);
}

/// Why a node's circuit breaker stopped calls to a version.
struct BreakerTrip
{
    VersionId version;
    /// The only evidence is a deviation from the baseline, which may be a fault of both versions.
    /// The breaker then resets once the controller has reduced the share to compare both versions.
    bool isBaselineOnly = false;
    std::uint32_t rechecks = 0;
};

std::optional<BreakerTrip> tripFor(const TrackedMove &tracked)
{
    const Move &move = tracked.move();
    if (isFinal(move.state))
        return std::nullopt;
    if (tracked.judgement().finding())
        return BreakerTrip{move.newVersion, false, move.rechecks};
    if (tracked.judgement().baselineFinding(1.0 / breakerFalseAlarmProbability, minBreakerBlocks))
        return BreakerTrip{move.newVersion, true, move.rechecks};
    return std::nullopt;
}

bool isReset(const BreakerTrip &trip, const Move &latest)
{
    return isFinal(latest.state) || trip.version != latest.newVersion
            || (trip.isBaselineOnly && latest.rechecks > trip.rechecks);
}

// A node whose circuit breaker tripped sends the new version no calls, so the controller sees no
// outcomes from it.  Calls that are missing from the share therefore count as evidence.
std::optional<Move> nextOnTrafficDeficit(const TrackedMove &tracked, std::int64_t nowMs)
{
    const Move &move = tracked.move();
    const std::int64_t watchDurationMs = watchMs(move.deadlineMs - move.startedAtMs);
    const bool isPastWatch = nowMs >= move.deadlineMs + watchDurationMs;
    if (!tracked.judgement().hasNewCalls() && !isPastWatch)
        return std::nullopt;
    // At full share, breakers may have tripped on a fault of both versions.
    if (move.state == MoveState::Watching && tracked.judgement().hasNewCalls())
        return reduceShare(tracked, recheckShare, {0, "nodes stopped calls to the new version"},
                           nowMs);
    const Finding finding{fullLoadOdds,
                          tracked.judgement().hasNewCalls()
                                  ? "the nodes stopped calls to the new version on local evidence"
                                  : "the new version got no calls; none of its servers answers"};
    return rollBack(tracked, finding, nowMs);
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
    detail::MoveTracker tracker;
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
    impl_->tracker.observe(move);
}

void MoveController::addEvidence(const OutcomeBatch &outcomes, std::int64_t nowMs)
{
    impl_->tracker.addEvidence(outcomes, nowMs);
}

std::optional<Move> MoveController::next(const ServiceId &service, std::int64_t nowMs)
{
    detail::TrackedMove *tracked = impl_->tracker.find(service);
    if (!tracked || isFinal(tracked->move().state))
        return std::nullopt;
    tracked->advance(nowMs);
    if (const auto finding = tracked->judgement().finding())
        return detail::rollBack(*tracked, *finding, nowMs);
    return detail::nextStep(*tracked, nowMs);
}

struct LocalCircuitBreaker::Impl
{
    detail::MoveTracker tracker{
            {.falseAlarmProbability = detail::breakerFalseAlarmProbability, .minBlocks = 3}};
    std::map<ServiceId, detail::BreakerTrip> trips;
};

LocalCircuitBreaker::LocalCircuitBreaker() : impl_(std::make_unique<Impl>()) { }
LocalCircuitBreaker::~LocalCircuitBreaker() = default;
LocalCircuitBreaker::LocalCircuitBreaker(LocalCircuitBreaker &&) noexcept = default;
LocalCircuitBreaker &LocalCircuitBreaker::operator=(LocalCircuitBreaker &&) noexcept = default;

void LocalCircuitBreaker::observe(const Move &move)
{
    impl_->tracker.observe(move);
    const Move &latest = impl_->tracker.find(move.service)->move();
    const auto found = impl_->trips.find(move.service);
    if (found != impl_->trips.end() && detail::isReset(found->second, latest))
        impl_->trips.erase(found);
}

void LocalCircuitBreaker::addEvidence(const OutcomeBatch &outcomes, std::int64_t nowMs)
{
    impl_->tracker.addEvidence(outcomes, nowMs);
    for (const auto &[key, sums] : outcomes) {
        const detail::TrackedMove *tracked = impl_->tracker.find(key.service);
        const auto trip = tracked ? detail::tripFor(*tracked) : std::nullopt;
        if (!trip)
            continue;
        const auto [existing, isNew] = impl_->trips.try_emplace(key.service, *trip);
        // A trip on a comparison of both versions replaces one on the baseline, never the reverse.
        if (!isNew && !trip->isBaselineOnly)
            existing->second = *trip;
    }
}

bool LocalCircuitBreaker::isTripped(const ServiceId &service) const
{
    return impl_->trips.contains(service);
}

} // namespace cornelhead
