// The task that keeps a node current: configuration, moves and endpoints, as subscriber and, when
// its turn comes, as relay.
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
    /// Inner addresses to ask when the platform is away: a few hosts of this and other data
    /// centres.
    std::vector<Address> seeds;
    /// Relays kept in each data centre.
    std::uint32_t relaysPerDataCentre = 2;
    Milliseconds relayLeaseTtl = Milliseconds(3000);
    Milliseconds heartbeat = Milliseconds(500);
    std::uint64_t seed = 0;
};

/// Handlers of a node for what distribution learns; all run on the loop.
///
/// Endpoints that a configuration needs are handed over before that configuration.
struct DistributionHandlers
{
    std::function<void(std::shared_ptr<const Snapshot>)> onConfig;
    std::function<void(std::shared_ptr<const MoveTable>)> onMoves;
    std::function<void(std::shared_ptr<const EndpointTable>)> onEndpoints;
    /// Sums of the whole fleet since the last call; only while this node is a relay.
    std::function<void(const OutcomeBatch &)> onOutcomes;
};

/// State of the task for `/status`.
struct DistributionStatus
{
    Revision revision;
    Digest digest;
    bool isRelay = false;
    /// Whether a relay keeps this node current; true for a relay itself.
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

    /// Listens on the inner address and starts to subscribe.
    Result<void> start();
    /// Tells the fleet about a backend server of this host; a later call replaces it.
    void announce(const Endpoint &server);
    void withdraw(const ServerId &server);
    /// Hands over the outcomes of this node's calls since the last report.
    void report(const OutcomeBatch &outcomes);
    /// Gives up relay leases and streams without loss, then calls `done`.
    void drain(std::function<void()> done);
    DistributionStatus status() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace cornelhead
