// Keeps a node's view of the fleet: the configuration, the hosts and the moves, from the key-value
// service, through a relay, or from any node while neither answers.
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

/// What the owner is told.  All run on the loop.
struct FleetHandlers
{
    std::function<void(std::shared_ptr<const RouteTable>)> onConfiguration;
    std::function<void()> onHosts;
    std::function<void(const VersionMoveOrder &)> onMoveOrder;
    std::function<void(const VersionMove &, ModRevision)> onMoveRecord;
};

/// Follows the fleet and publishes this host's entry.
///
/// Nothing is ever replaced by something older: the configuration by its revision, moves by the
/// rules of `VersionMoveWatcher`.  What was learned stays in force while the service is away.
class FleetSync
{
public:
    FleetSync(EventLoop &loop, const Dialect &dialect, const Address &platform, const Address &self,
              Metrics &metrics, EventLog &log, std::uint64_t seed, FleetHandlers handlers);
    ~FleetSync();
    FleetSync(const FleetSync &) = delete;
    FleetSync &operator=(const FleetSync &) = delete;

    void start();
    /// Publishes this host's entry now and keeps it published.
    void publish(const HostEntry &entry);
    /// Another node has shown that it holds `revision`; fetches it if the service does not deliver.
    void observePeerRevision(const Address &peer, Revision revision);

    /// Tells whether configuration and hosts are known.
    bool isComplete() const;
    bool isServiceReachable() const;
    const HostDirectory &directory() const;
    const std::shared_ptr<const RouteTable> &configuration() const;
    /// Removes hosts that are gone and chooses from where to follow the service.  To be called a
    /// few times a second.
    void sweep(const std::function<bool(const Address &)> &answeredLately);
    /// Answers a request to `changeFeedPath`, now or later.
    void serveFollower(evhttp_request *request);
    /// Closes the connections of nodes that wait for changes.
    void closeFollowers();

    /// Writes the record of a move over the revision that was read, and then its status.
    void writeMove(const VersionMove &move, ModRevision expected);
    /// Renders what another node may need while the service turns it away; the configuration only
    /// if it is newer than the one that node holds.
    std::string renderState(Revision held) const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

/// The path on the address for other nodes under which a node tells its state; the query is the
/// revision of the configuration that the asking node holds.
constexpr const char *peerStatePath = "/cornelhead/state";

} // namespace cornelhead
