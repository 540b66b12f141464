// What a node knows, shared by its roles as subscriber, relay and peer of other relays.
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

/// The latest move of each service by the platform's revision.
class LatestMoves
{
public:
    /// Takes a move that is newer than the one held; tells whether it was.
    bool merge(const Move &move);
    const std::shared_ptr<const MoveTable> &table() const { return table_; }
    /// Returns a number that is equal for books with equal moves.
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

/// These render what the state holds.
FramePtr configFrame(const EncodedConfig &config, Revision floor, bool confirmed);
FramePtr deltaFrame(const EncodedConfig &config, const EncodedDelta &delta, Revision floor);
FramePtr movesFrame(const MoveTable &table);
FramePtr recordsFrame(const std::vector<NodeRecord> &records);
/// Renders all records, to be merged with or put in place of those of the receiver.
FramePtr allRecordsFrame(const EndpointRegistry &registry, bool replace);
FramePtr relaysFrame(const RelayDirectory &directory);
FramePtr heartbeatFrame(RecordSequence sequence);
/// Renders a heartbeat with what the sender has told all its subscribers.
FramePtr relayHeartbeatFrame(const NodeState &state, std::uint64_t recordsHash);
FramePtr goodbyeFrame();

} // namespace cornelhead
