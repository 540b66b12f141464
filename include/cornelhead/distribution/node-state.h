// Distributed state held by a node, shared by its subscriber, relay and peer roles.
#pragma once

#include <map>
#include <memory>
#include <vector>

#include "cornelhead/distribution/config-store.h"
#include "cornelhead/distribution/floor-table.h"
#include "cornelhead/distribution/ports.h"
#include "cornelhead/distribution/relay-directory.h"
#include "cornelhead/membership/endpoint-registry.h"
#include "cornelhead/rollout/move.h"

namespace cornelhead {

/// The latest move of each service, ordered by the platform's mod revision.
class LatestMoves
{
public:
    /// Stores `move` when it is newer than the stored one; returns whether it was.
    bool merge(const Move &move);
    const std::shared_ptr<const MoveTable> &table() const { return table_; }
    /// Returns a hash of the services and mod revisions of all moves.
    std::uint64_t hash() const;

private:
    std::shared_ptr<const MoveTable> table_ = std::make_shared<MoveTable>();
};

struct NodeState
{
    NodeState(NodeInfo info, const Clock &clock, RegistryTiming timing, Metrics &metrics)
        : self(std::move(info)), config(metrics), registry(self.id, self.dataCentre, clock, timing)
    { }

    NodeInfo self;
    ConfigStore config;
    LatestMoves moves;
    EndpointRegistry registry;
    RelayDirectory directory;
    FloorTable floors;
};

// Builders of frames.

FramePtr configFrame(const EncodedConfig &config, Revision floor, bool confirmed);
FramePtr deltaFrame(const EncodedConfig &config, const EncodedDelta &delta, Revision floor);
FramePtr movesFrame(const MoveTable &table);
FramePtr recordsFrame(const std::vector<NodeRecord> &records);
/// Builds a frame of all records; with `replace`, the receiver drops nodes that are not listed.
FramePtr allRecordsFrame(const EndpointRegistry &registry, bool replace);
FramePtr relaysFrame(const RelayDirectory &directory);
FramePtr heartbeatFrame(RecordSequence sequence);
/// Builds a relay's heartbeat with the state that it has sent to its subscribers.
FramePtr relayHeartbeatFrame(const NodeState &state, std::uint64_t recordsHash);
FramePtr goodbyeFrame();

} // namespace cornelhead
