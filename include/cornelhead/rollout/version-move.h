// Moves of a service to another version in steps, judged from what serving nodes report.
//
// Load pattern: the new version may fail at once, late, under load or on one route, or be slow.  In
// a large fleet each node sees few of its answers, so the nodes that may raise the share ask its
// servers' nodes for their sums; any node stops sending to a version that it has seen to be bad.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "cornelhead/base/clock.h"
#include "cornelhead/base/error.h"
#include "cornelhead/base/ids.h"

namespace cornelhead {

/// The operators' order to move a service.
struct VersionMoveOrder
{
    ServiceId service;
    VersionId target;
    /// Numbers the order among all writes of the key-value service.
    ModRevision orderRevision;
    /// The time that the move may take.
    Milliseconds maxDuration{};
};

enum class VersionMoveState { Running, Complete, Reverted };

/// The record of a move, written by compare-and-swap.
struct VersionMove
{
    ServiceId service;
    VersionId target;
    /// The order that it carries out.
    ModRevision orderRevision;
    /// Calls of a thousand that go to the new version.
    std::uint32_t perMille = 0;
    VersionMoveState state = VersionMoveState::Running;

    friend bool operator==(const VersionMove &, const VersionMove &) = default;
};

std::string encodeVersionMove(const VersionMove &move);
/// Fails with `InvalidMessage`.
Result<VersionMove> decodeVersionMove(std::string_view bytes);

/// Running sums of one server, as its node reports them.
struct ServerCounters
{
    std::uint64_t answers = 0;
    std::uint64_t failures = 0;
    /// Answers whose time says something of the version: none of a server that is still cold.
    std::uint64_t timed = 0;
    /// Timed answers that took the server longer than the objective of their route.
    std::uint64_t late = 0;
    /// Sum of the timed answers' times, each relative to the objective of its route.
    double relativeWork = 0.0;
};

/// What one version's servers answered lately, over all that were heard of.
struct VersionCounts
{
    double answers = 0.0;
    double failures = 0.0;
    double timed = 0.0;
    double late = 0.0;
    double relativeWork = 0.0;
};

/// Follows one service's move at one node: the share in force here, and what to write next.
class VersionMoveWatcher
{
public:
    void observeOrder(const VersionMoveOrder &order, TimePoint now);
    void observeRecord(const VersionMove &record, TimePoint now);
    /// Takes the running sums of one run of a serving node.
    void addCounters(const NodeId &run, const VersionId &version, const ServerCounters &tally,
                     TimePoint now);

    /// Returns the record to write, or nothing.  `rank` counts the nodes that should act before
    /// this one, `targetHosts` the hosts with a server of the new version.
    std::optional<VersionMove> next(std::uint32_t rank, std::size_t targetHosts, TimePoint now);

    const std::optional<VersionMoveOrder> &order() const { return order_; }
    const std::optional<VersionMove> &record() const { return record_; }
    /// Tells whether the move goes on and its versions are still judged.
    bool isJudged() const;
    /// Calls of a thousand that this node may send to the new version.
    std::uint32_t perMille() const;
    /// What is judged: answers of the new version, or of all others, in the last seconds.
    VersionCounts evidenceOf(bool isTarget) const;
    /// Why the new version was found to be bad; empty while it was not.
    const std::string &verdict() const { return verdict_; }

private:
    struct Sample
    {
        TimePoint at{};
        ServerCounters tally;
    };
    struct Server
    {
        bool isTarget = false;
        // Oldest first; spans the window that is judged.
        std::deque<Sample> samples;
    };
    bool isCurrent() const
    {
        return record_ && order_ && record_->orderRevision == order_->orderRevision;
    }
    void judge(TimePoint now);
    std::optional<std::uint32_t> dueShare(TimePoint now) const;
    bool hasEnoughAnswers() const;

    std::optional<VersionMoveOrder> order_;
    TimePoint orderedAt_{};
    std::optional<VersionMove> record_;
    TimePoint recordAt_{};
    // When the new version's first answer was heard of.
    std::optional<TimePoint> firstAnswerAt_;
    std::map<NodeId, Server> servers_;
    std::string verdict_;
    TimePoint verdictAt_{};
};

} // namespace cornelhead
