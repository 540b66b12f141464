// Moves a service to another version in steps, judged by the counters that serving nodes report.
//
// The new version may fail at once, late, under load or on one route, or be slow.  A small share of
// the calls, spread over all of its servers, would never load them, so it goes to a few of them. In
// a large fleet each node sees few of its answers, so the nodes that may raise the share ask the
// nodes of its servers for their counters.  Any node stops calls to a version that it has found to
// be bad.
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
#include "cornelhead/rollout/server-counters.h"

namespace cornelhead {

/// An operator's order to move a service.
struct VersionMoveOrder
{
    ServiceId service;
    VersionId target;
    /// The revision at which the key-value service stored the order; higher for a later order.
    ModRevision orderRevision;
    /// The time within which the move is to complete.
    Milliseconds maxDuration{};
};

enum class VersionMoveState { Running, Complete, Reverted };

/// The record of a move, written by compare-and-swap.
struct VersionMove
{
    ServiceId service;
    VersionId target;
    /// The order that the move carries out.  Stored as "ordered".
    ModRevision orderRevision;
    /// Share of the calls that go to the new version, in thousandths.
    std::uint32_t perMille = 0;
    VersionMoveState state = VersionMoveState::Running;

    friend bool operator==(const VersionMove &, const VersionMove &) = default;
};

std::string encodeVersionMove(const VersionMove &move);
/// Fails with `InvalidMessage`.
Result<VersionMove> decodeVersionMove(std::string_view bytes);

/// Calls of one version's servers in the last seconds, over all nodes that reported, as in
/// `ServerCounters`.
struct VersionCounts
{
    double answers = 0.0;
    double failures = 0.0;
    double timed = 0.0;
    double late = 0.0;
    double relativeWork = 0.0;
    double cold = 0.0;
    double cutOff = 0.0;
    double refused = 0.0;

    /// Returns the mean duration of the timed answers relative to their objectives.
    double meanWork() const { return timed > 0.0 ? relativeWork / timed : 0.0; }
};

/// Tracks the move of one service at one node: the share in force here, and the next write.
///
/// Invariant: a version without enough evidence stays below the share at which it would get more
/// calls until the deadline than a bad version may, however late its move becomes.
class VersionMoveWatcher
{
public:
    /// An order that is written again, after the store came back from an older copy, goes on.
    void observeOrder(const VersionMoveOrder &order, TimePoint now);
    void observeRecord(const VersionMove &record, TimePoint now);
    /// Updates the cumulative counters that one run of a serving node reported.
    void addCounters(const NodeId &run, const VersionId &version, const ServerCounters &counters,
                     TimePoint now);

    /// Returns the record to write, or nothing.  `rank` is the number of nodes that should act
    /// before this one, `targetHosts` the number of hosts with a server of the new version.
    std::optional<VersionMove> next(std::uint32_t rank, std::size_t targetHosts, TimePoint now);

    const std::optional<VersionMoveOrder> &order() const { return order_; }
    const std::optional<VersionMove> &record() const { return record_; }
    /// Returns whether the move is not over, so that its versions are still judged.
    bool isJudged() const;
    /// Returns how many of the new version's `servers` get its share of the calls, so that each
    /// works at least at the load that it will have to carry; 0 if all do.
    std::size_t serversInUse(std::size_t servers) const;
    /// Returns the share of the calls that this node may send to the new version, in thousandths.
    std::uint32_t perMille() const;
    /// Returns the answers, in the last seconds, of the new version or of all others.
    VersionCounts evidenceOf(bool isTarget) const;
    /// Returns why the new version was found to be bad; empty otherwise.
    const std::string &verdict() const { return verdict_; }

private:
    struct Sample
    {
        TimePoint at{};
        ServerCounters counters;
    };
    struct Server
    {
        bool isTarget = false;
        // Never empty.  Oldest first; covers the evidence window, so that a server that is silent
        // has only its last one.
        std::deque<Sample> samples;
        // The last counters before the present step, or the first ones heard of in it.
        ServerCounters atStepStart;
    };
    /// What the new version's servers reported.
    struct Evidence
    {
        std::uint64_t answers = 0;
        std::uint64_t timed = 0;
        /// Since the present step began.
        std::uint64_t callsInStep = 0;
        std::uint64_t timedInStep = 0;
    };
    /// Returns whether the record carries out the order.
    bool isCurrent() const;
    /// Returns whether `order` is the known one, written again after the store was restored.
    bool isWrittenAgain(const VersionMoveOrder &order) const;
    /// Returns whether `record`, of the same order, is an earlier state of the known one.
    bool isOlder(const VersionMove &record) const;
    /// Returns the history of a run of a serving node, without calls of another version.
    Server &serverOf(const NodeId &run, bool isTarget, const ServerCounters &counters,
                     TimePoint now);
    void removeOldSamples(TimePoint now);
    void judge(TimePoint now);
    std::optional<std::uint32_t> dueShare(TimePoint now) const;
    Evidence evidence() const;
    void beginStep();

    std::optional<VersionMoveOrder> order_;
    TimePoint orderedAt_{};
    std::optional<VersionMove> record_;
    TimePoint recordAt_{};
    // Set while the store is known to hold an older record or none, as it was restored from a copy.
    std::optional<TimePoint> unwrittenSince_;
    // The store was restored while the order was known.
    bool wasRestored_ = false;
    std::map<NodeId, Server> servers_;
    std::string verdict_;
    TimePoint verdictAt_{};
};

} // namespace cornelhead
