// Simulates a fleet of agents with a manual clock and fault injection for network and platform.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include "cornelhead/distribution/agent.h"
#include "cornelhead/standin/key-value-store.h"

namespace cornelhead::test {

/// Fault probabilities per frame.
struct FrameFaults
{
    double drop = 0;
    double duplicate = 0;
    double reorder = 0;
};

/// Counters and invariant violations of a run.
struct FleetStats
{
    std::uint64_t applied = 0;
    std::uint64_t frames = 0;
    std::uint64_t platformCalls = 0;
    std::uint64_t kills = 0;
    /// Restarted nodes that applied an older revision in a case without a floor guarantee.
    std::uint64_t floorRegressions = 0;
    /// Violated invariants; empty in a correct run.
    std::vector<std::string> violations;
};

/// Runs nodes with indexes 0 to n-1, distributed evenly over data centres.
class Fleet
{
public:
    Fleet(std::size_t dataCentres, std::size_t nodesPerDataCentre, std::uint64_t seed);

    void start(std::size_t node);
    /// Terminates a process; with `closesLinks` its peers see closed links, otherwise its links
    /// stay open and drop all frames.
    void kill(std::size_t node, bool closesLinks);
    /// Suspends a process, as a debugger or an overloaded host does.
    void pause(std::size_t node, Milliseconds duration);
    void setPartitioned(std::size_t left, std::size_t right, bool isPartitioned);
    void setPlatformPartitioned(std::size_t dataCentre, bool isPartitioned);
    /// Withholds the responses to a node's watches; its other platform calls are served.
    void withholdWatches(std::size_t node) { withheldWatches_.insert(node); }
    void setPlatformDown(bool isDown) { platformDown_ = isDown; }
    /// Sets the probability that the response to a platform call is lost after the call took
    /// effect.
    void setResponseLossProbability(double probability) { responseLossProbability_ = probability; }
    void setFrameFaults(FrameFaults faults) { faults_ = faults; }
    /// Rewrites each frame in transit, as another protocol version would encode it.
    using Rewrite
            = std::function<inner::Frame(std::size_t from, std::size_t to, const inner::Frame &)>;
    void setRewrite(Rewrite rewrite) { rewrite_ = std::move(rewrite); }
    /// Makes each open link drop all frames in both directions permanently with this probability.
    void silenceLinks(double probability);
    void run(Milliseconds duration);
    void runUntilAllResume();

    /// Writes the next configuration to the platform; returns false while the platform is down.
    bool edit();
    /// Writes a configuration that every node rejects.
    bool editInvalid();
    Revision accepted() const { return accepted_; }

    std::size_t size() const { return nodes_.size(); }
    std::size_t dataCentreOf(std::size_t node) const { return node / nodesPerDataCentre_; }
    bool isAlive(std::size_t node) const { return nodes_[node].agent != nullptr; }
    bool isRelay(std::size_t node) const;
    Agent &agent(std::size_t node) { return *nodes_[node].agent; }
    Metrics &metrics(std::size_t node) { return *nodes_[node].metrics; }
    const EndpointTable *endpoints(std::size_t node) const { return nodes_[node].table.get(); }
    /// Returns what has not converged: nodes behind, and endpoint tables that differ from the live
    /// servers.
    std::vector<std::string> differences() const;
    /// Returns the nodes that do not run the newest valid revision.
    std::vector<std::string> nodesBehind() const;
    KeyValueStore &store() { return store_; }
    FleetStats &stats() { return stats_; }

private:
    struct Node
    {
        NodeInfo info;
        std::unique_ptr<Metrics> metrics;
        std::unique_ptr<Agent> agent;
        std::uint64_t run = 0;
        TimePoint pausedUntil;
        TimePoint started;
        std::shared_ptr<const EndpointTable> table;
        /// The highest revision applied at this address, over all runs.
        Revision maxAppliedRevision;
        /// The revision in force in this run, and since when.
        Revision inForce;
        TimePoint inForceSince;
        /// Id of the server that this run announced.
        std::string server;
    };
    struct LinkEnd
    {
        std::size_t node = 0;
        std::uint64_t run = 0;
        bool open = false;
        TimePoint lastArrival;
    };
    struct Link
    {
        LinkEnd ends[2];
        bool silent = false;
    };
    struct Event
    {
        TimePoint at;
        std::uint64_t order;
        std::function<void()> work;
        bool operator<(const Event &other) const
        {
            return std::tie(other.at, other.order) < std::tie(at, order);
        }
    };
    struct Watcher
    {
        std::size_t node;
        std::uint64_t run;
        std::string prefix;
        ModRevision after;
        TimePoint deadline;
        PlatformPort::Callback<WatchResponse> callback;
    };

    void after(Microseconds delay, std::function<void()> work);
    /// Runs `work` in a process unless that run has ended; defers it while the process is paused.
    void inNode(std::size_t node, std::uint64_t run, std::function<void()> work);
    void tick(std::size_t node, std::uint64_t run);
    Microseconds networkDelay();
    bool arePartitioned(std::size_t left, std::size_t right) const;

    NetworkPort networkPort(std::size_t node, std::uint64_t run);
    LinkId open(std::size_t node, std::uint64_t run, const Address &address);
    void send(LinkId id, const FramePtr &frame);
    void deliver(LinkId id, const FramePtr &frame, Microseconds delay);
    void close(LinkId id, bool notify);
    void notifyClosed(LinkId id);

    PlatformPort platformPort(std::size_t node, std::uint64_t run);
    template <typename T>
    void call(std::size_t node, std::uint64_t run, std::function<Result<T>()> operation,
              PlatformPort::Callback<T> callback);
    bool isPlatformReachable(std::size_t node) const;
    void serveWatchers();

    DistributionHandlers handlers(std::size_t node);
    void onConfig(std::size_t node, const Snapshot &snapshot);
    void checkFloor(std::size_t node, const Snapshot &snapshot);
    bool isFloorGuaranteed(std::size_t node, Revision revision) const;
    void recordViolation(std::size_t node, const std::string &what);
    bool writeManifest(const Manifest &manifest, const std::vector<Chunk> &chunks);

    ManualClock manualClock_;
    Clock clock_ = manualClock_;
    Random random_;
    KeyValueStore store_;
    std::size_t nodesPerDataCentre_;
    std::vector<Node> nodes_;
    std::priority_queue<Event> events_;
    std::uint64_t nextEvent_ = 0;
    // Keyed by link number.  A LinkId is twice that number, plus one for the accepting end.
    std::map<std::uint64_t, Link> links_;
    std::uint64_t nextLink_ = 1;
    std::vector<Watcher> watchers_;
    std::set<std::pair<std::size_t, std::size_t>> partitions_;
    std::set<std::size_t> platformPartitions_;
    std::set<std::size_t> withheldWatches_;
    bool platformDown_ = false;
    double responseLossProbability_ = 0;
    FrameFaults faults_;
    Rewrite rewrite_;
    Revision accepted_;
    std::map<Revision, Digest> digests_;
    std::set<Revision> invalidRevisions_;
    std::uint64_t edits_ = 0;
    FleetStats stats_;
};

} // namespace cornelhead::test
