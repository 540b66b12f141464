// A fleet of agents over an injected clock: a network and a platform that fail on demand.
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

/// Probabilities of mishaps for each frame.
struct FrameFaults
{
    double drop = 0;
    double duplicate = 0;
    double reorder = 0;
};

/// What the fleet counts and finds broken.
struct FleetTally
{
    std::uint64_t applied = 0;
    std::uint64_t frames = 0;
    std::uint64_t platformCalls = 0;
    std::uint64_t kills = 0;
    /// Restarted nodes that acted on less, where the promise of the floor does not reach.
    std::uint64_t floorsLost = 0;
    /// Violations of what must always hold; empty in a sound run.
    std::vector<std::string> broken;
};

/// Runs nodes on addresses 0..n-1, spread evenly over data centres.
class Fleet
{
public:
    Fleet(std::size_t dataCentres, std::size_t nodesEach, std::uint64_t seed);

    void start(std::size_t node);
    /// Ends a process; `loud` peers see their connections break, others see silence.
    void kill(std::size_t node, bool loud);
    /// Stops a process for a while, as a debugger or a busy host does.
    void pause(std::size_t node, Milliseconds duration);
    void cut(std::size_t left, std::size_t right, bool isCut);
    void cutPlatform(std::size_t dataCentre, bool isCut);
    /// Holds back the answers to a node's watches, while its other calls are answered.
    void holdWatches(std::size_t node) { heldWatches_.insert(node); }
    void setPlatformAway(bool away) { platformAway_ = away; }
    /// Answers to platform calls get lost with this probability after taking effect.
    void setLostAnswers(double probability) { lostAnswers_ = probability; }
    void setFrameFaults(FrameFaults faults) { faults_ = faults; }
    /// Changes each frame on its way, as other versions of the protocol would write it.
    using Rewrite
            = std::function<inner::Frame(std::size_t from, std::size_t to, const inner::Frame &)>;
    void setRewrite(Rewrite rewrite) { rewrite_ = std::move(rewrite); }
    /// Makes links silent, both ways, for good, with this probability.
    void silenceLinks(double probability);
    void run(Milliseconds duration);
    void runUntilNobodyPauses();

    /// Accepts a next configuration at the platform; returns false while that is impossible.
    bool edit();
    /// Accepts one that no node can apply.
    bool editBadly();
    Revision accepted() const { return accepted_; }

    std::size_t size() const { return nodes_.size(); }
    std::size_t dataCentreOf(std::size_t node) const { return node / nodesEach_; }
    bool isAlive(std::size_t node) const { return nodes_[node].agent != nullptr; }
    bool isRelay(std::size_t node) const;
    Agent &agent(std::size_t node) { return *nodes_[node].agent; }
    Metrics &metrics(std::size_t node) { return *nodes_[node].metrics; }
    const EndpointTable *endpoints(std::size_t node) const { return nodes_[node].table.get(); }
    /// Returns what keeps the fleet from being whole: nodes behind, or endpoints that differ.
    std::vector<std::string> differences() const;
    /// Returns only those that act on another revision than the newest.
    std::vector<std::string> behind() const;
    KeyValueStore &store() { return store_; }
    FleetTally &tally() { return tally_; }

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
        /// The highest revision that the address ever acted on, over all runs.
        Revision actedOn;
        /// Since when each revision has been in force in this run.
        Revision inForce;
        TimePoint inForceSince;
        /// Another run took the address.
        std::string server;
    };
    struct End
    {
        std::size_t node = 0;
        std::uint64_t run = 0;
        bool open = false;
        TimePoint lastArrival;
    };
    struct Link
    {
        End ends[2];
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
    /// Runs work in a process unless it has ended; waits while it is paused.
    void inNode(std::size_t node, std::uint64_t run, std::function<void()> work);
    void tick(std::size_t node, std::uint64_t run);
    Microseconds networkDelay();
    bool isCutOff(std::size_t left, std::size_t right) const;

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
    bool platformAnswers(std::size_t node) const;
    void serveWatchers();

    DistributionHandlers handlers(std::size_t node);
    void onConfig(std::size_t node, const Snapshot &snapshot);
    void checkFloor(std::size_t node, const Snapshot &snapshot);
    bool wasKnownNearby(std::size_t node, Revision revision) const;
    void report(std::size_t node, const std::string &what);
    bool writeManifest(const Manifest &manifest, const std::vector<Chunk> &chunks);

    ManualClock hand_;
    Clock clock_ = hand_;
    Random random_;
    KeyValueStore store_;
    std::size_t nodesEach_;
    std::vector<Node> nodes_;
    std::priority_queue<Event> events_;
    std::uint64_t nextEvent_ = 0;
    // An id is twice the link's number, plus one for the accepting end.
    std::map<std::uint64_t, Link> links_;
    std::uint64_t nextLink_ = 1;
    std::vector<Watcher> watchers_;
    std::set<std::pair<std::size_t, std::size_t>> cuts_;
    std::set<std::size_t> platformCuts_;
    std::set<std::size_t> heldWatches_;
    bool platformAway_ = false;
    double lostAnswers_ = 0;
    FrameFaults faults_;
    Rewrite rewrite_;
    Revision accepted_;
    std::map<Revision, Digest> digests_;
    std::set<Revision> bad_;
    std::uint64_t edits_ = 0;
    FleetTally tally_;
};

} // namespace cornelhead::test
