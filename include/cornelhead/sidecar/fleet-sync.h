// Keeps a node's view of the fleet: the configuration, the hosts and the moves.  Its source is the
// key-value store or a relay, or other nodes while neither answers.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "cornelhead/base/event-log.h"
#include "cornelhead/base/random.h"
#include "cornelhead/config/route-table.h"
#include "cornelhead/membership/host-entry.h"
#include "cornelhead/net/event-loop.h"
#include "cornelhead/platform/client.h"
#include "cornelhead/rollout/version-move.h"
#include "cornelhead/sidecar/dialect.h"

struct evhttp_request;

namespace cornelhead {

/// Callbacks into the owner.  All run on the loop.
struct FleetHandlers
{
    std::function<void(std::shared_ptr<const RouteTable>)> onConfiguration;
    std::function<void()> onHosts;
    std::function<void(const VersionMoveOrder &)> onMoveOrder;
    std::function<void(const VersionMove &, ModRevision)> onMoveRecord;
    /// The store came back from an older copy, and may hold older records of moves or none.
    std::function<void()> onStoreRestored;
};

/// Follows the fleet and publishes this host's entry.
///
/// State is never replaced by older state: the configuration is ordered by its revision, moves by
/// the rules of `VersionMoveWatcher`.  All state stays in force while the store is unreachable.
class FleetSync
{
public:
    FleetSync(EventLoop &loop, const Dialect &dialect, const Address &platform, const Address &self,
              const DataCentreId &dataCentre, Metrics &metrics, EventLog &log, std::uint64_t seed,
              FleetHandlers handlers);
    ~FleetSync();
    FleetSync(const FleetSync &) = delete;
    FleetSync &operator=(const FleetSync &) = delete;

    void start();
    /// Publishes this host's entry now and keeps it published.
    void publish(const HostEntry &entry);
    /// `peer` holds the configuration `revision`; fetches it from there if the store does not
    /// deliver it soon.
    void observePeerRevision(const Address &peer, Revision revision);

    /// Returns whether a configuration and at least one host are known.
    bool isComplete() const;
    bool isStoreReachable() const;
    const HostDirectory &directory() const;
    const std::shared_ptr<const RouteTable> &configuration() const;
    /// Removes hosts that are gone and chooses the source to follow.  To be called a few times a
    /// second.  `answeredRecently` returns whether a node answered a call recently.
    void sweep(const std::function<bool(const Address &)> &answeredRecently);
    /// The process will end: followers are sent to another relay.
    void stop();
    /// Removes this host's entry, as its server has left.
    void retract();
    /// Responds to a request to `changeFeedPath`, now or later.
    void serveFollower(evhttp_request *request);
    /// Closes the connections of nodes whose polls wait for changes.
    void closeFollowers();

    /// Writes the record of a move if its key is still at revision `expected`, and then its status.
    void writeMove(const VersionMove &move, ModRevision expected);
    /// Renders the state that another node fetches while it cannot reach the store.  The
    /// configuration is included only if it is newer than `held`, which that node has.
    std::string renderState(Revision held) const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

/// Path of a node's state, on the address for other nodes; the query is the revision of the
/// configuration that the requesting node holds.
constexpr const char *peerStatePath = "/cornelhead/state";

} // namespace cornelhead
