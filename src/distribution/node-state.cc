// Stores moves and builds frames.
#include "cornelhead/distribution/node-state.h"

#include "cornelhead/base/digest.h"
#include "cornelhead/distribution/wire.h"

namespace cornelhead {

bool LatestMoves::merge(const Move &move)
{
    const auto existing = table_->moves.find(move.service);
    if (existing != table_->moves.end() && existing->second.modRevision >= move.modRevision)
        return false;
    auto table = std::make_shared<MoveTable>(*table_);
    table->moves[move.service] = move;
    table_ = std::move(table);
    return true;
}

std::uint64_t LatestMoves::hash() const
{
    std::uint64_t sum = 0;
    for (const auto &[service, move] : table_->moves)
        sum ^= rendezvousWeight(service.value(), std::to_string(move.modRevision.value()));
    return sum;
}

FramePtr configFrame(const EncodedConfig &config, Revision floor, bool confirmed)
{
    auto frame = std::make_shared<inner::Frame>();
    inner::Config *out = frame->mutable_config();
    out->set_revision(config.revision.value());
    out->set_digest(config.digest.value());
    out->set_whole(*config.bytes);
    out->set_floor(floor.value());
    out->set_confirmed(confirmed);
    return frame;
}

FramePtr deltaFrame(const EncodedConfig &config, const EncodedDelta &delta, Revision floor)
{
    auto frame = std::make_shared<inner::Frame>();
    inner::Config *out = frame->mutable_config();
    out->set_revision(config.revision.value());
    out->set_digest(config.digest.value());
    out->set_base_revision(delta.baseRevision.value());
    out->set_base_digest(delta.baseDigest.value());
    out->set_delta(delta.bytes);
    out->set_floor(floor.value());
    return frame;
}

FramePtr movesFrame(const MoveTable &table)
{
    auto frame = std::make_shared<inner::Frame>();
    frame->mutable_moves();
    for (const auto &[service, move] : table.moves)
        *frame->mutable_moves()->add_moves() = toWire(move);
    return frame;
}

FramePtr recordsFrame(const std::vector<NodeRecord> &records)
{
    auto frame = std::make_shared<inner::Frame>();
    for (const NodeRecord &record : records)
        *frame->mutable_records()->add_records() = toWire(record);
    return frame;
}

FramePtr allRecordsFrame(const EndpointRegistry &registry, bool replace)
{
    auto frame = std::make_shared<inner::Frame>();
    frame->mutable_records()->set_complete(true);
    frame->mutable_records()->set_replace(replace);
    for (const NodeRecord &record : registry.all())
        *frame->mutable_records()->add_records() = toWire(record);
    return frame;
}

FramePtr relaysFrame(const RelayDirectory &directory)
{
    auto frame = std::make_shared<inner::Frame>();
    *frame->mutable_relays() = toWire(directory);
    return frame;
}

FramePtr heartbeatFrame(RecordSequence sequence)
{
    auto frame = std::make_shared<inner::Frame>();
    frame->mutable_heartbeat()->set_sequence(sequence.value());
    return frame;
}

FramePtr relayHeartbeatFrame(const NodeState &state, std::uint64_t recordsHash)
{
    auto frame = std::make_shared<inner::Frame>();
    inner::Heartbeat *heartbeat = frame->mutable_heartbeat();
    heartbeat->set_revision(state.config.revision().value());
    heartbeat->set_moves_hash(state.moves.hash());
    heartbeat->set_records_hash(recordsHash);
    heartbeat->set_relays_revision(state.directory.storeRevision.value());
    for (const DataCentreId &dataCentre : state.registry.unreachable())
        heartbeat->add_unreachable(dataCentre.value());
    return frame;
}

FramePtr goodbyeFrame()
{
    static const FramePtr frame = [] {
        auto goodbye = std::make_shared<inner::Frame>();
        goodbye->mutable_goodbye();
        return goodbye;
    }();
    return frame;
}

} // namespace cornelhead
