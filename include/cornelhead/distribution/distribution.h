// Distributes configuration, moves and endpoints to a node, which is a subscriber or, when elected,
// a relay.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cornelhead/base/metrics.h"
#include "cornelhead/config/snapshot.h"
#include "cornelhead/membership/endpoint.h"
#include "cornelhead/net/event-loop.h"
#include "cornelhead/platform/client.h"
#include "cornelhead/rollout/move.h"
#include "cornelhead/rollout/outcome.h"

namespace cornelhead {

struct DistributionSettings
{
    NodeInfo self;
    /// Inner addresses to contact when the platform is unreachable: a few hosts of this and other
    /// data centres.
    std::vector<Address> seeds;
    /// Number of relay slots in each data centre.
    std::uint32_t relaysPerDataCentre = 2;
    Milliseconds relayLeaseTtl = Milliseconds(3000);
    Milliseconds heartbeatInterval = Milliseconds(500);
    std::uint64_t seed = 0;
};

/// Callbacks for distributed state; all run on the event loop.
///
/// `onEndpoints` with the endpoints that a configuration refers to is called before `onConfig`.
struct DistributionHandlers
{
    std::function<void(std::shared_ptr<const Snapshot>)> onConfig;
    std::function<void(std::shared_ptr<const MoveTable>)> onMoves;
    std::function<void(std::shared_ptr<const EndpointTable>)> onEndpoints;
    /// New outcomes of calls in the whole fleet; called only while this node is a relay.
    std::function<void(const OutcomeBatch &)> onOutcomes;
};

/// State reported by `/status`.
struct DistributionStatus
{
    Revision revision;
    Digest digest;
    bool isRelay = false;
    /// Whether this node is attached to a relay or is one itself.
    bool hasRelay = false;
    bool platformReachable = false;
    std::size_t subscribers = 0;
};

class Distribution
{
public:
    Distribution(EventLoop &loop, PlatformClient &platform, Metrics &metrics,
                 DistributionSettings settings, DistributionHandlers handlers);
    ~Distribution();
    Distribution(const Distribution &) = delete;
    Distribution &operator=(const Distribution &) = delete;

    /// Listens on the inner address and starts to connect to a relay.
    Result<void> start();
    /// Announces a backend server of this host to the fleet; a later call for the same id replaces
    /// the announcement.
    void announce(const Endpoint &server);
    void withdraw(const ServerId &server);
    /// Adds the outcomes of this node's calls since the last report.
    void report(const OutcomeBatch &outcomes);
    /// Flushes pending updates, gives up the relay lease and closes links, then calls `done`.
    void drain(std::function<void()> done);
    DistributionStatus status() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace cornelhead
