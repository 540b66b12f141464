// Counts consecutive mismatches and decides when to pull.
#include "cornelhead/distribution/reconciler.h"

namespace cornelhead {
namespace detail {

constexpr int mismatchesBeforePull = 2;
/// A mismatch that persists after merging is caused by a node that the relay has dropped.
constexpr int pullsBeforeReplace = 2;

bool isDue(int &consecutiveMismatches, bool differs)
{
    consecutiveMismatches = differs ? consecutiveMismatches + 1 : 0;
    if (consecutiveMismatches < mismatchesBeforePull)
        return false;
    consecutiveMismatches = 0;
    return true;
}

} // namespace detail

std::optional<inner::Pull> Reconciler::onHeartbeat(const inner::Heartbeat &heartbeat)
{
    const Revision revision = state_->config.revision();
    const ModRevision relays(heartbeat.relays_revision());
    inner::Pull pull;
    pull.set_held_revision(revision.value());
    pull.set_config(detail::isDue(configMismatches_, Revision(heartbeat.revision()) > revision));
    pull.set_moves(detail::isDue(movesMismatches_, heartbeat.moves_hash() != state_->moves.hash()));
    pull.set_relays(detail::isDue(relaysMismatches_, relays > state_->directory.storeRevision));
    const bool recordsDiffer = heartbeat.records_hash() != state_->registry.hash();
    pull.set_all_records(detail::isDue(recordsMismatches_, recordsDiffer));
    recordPulls_ = recordsDiffer ? recordPulls_ + (pull.all_records() ? 1 : 0) : 0;
    pull.set_replace_records(pull.all_records() && recordPulls_ > detail::pullsBeforeReplace);
    if (!pull.config() && !pull.moves() && !pull.relays() && !pull.all_records())
        return std::nullopt;
    return pull;
}

} // namespace cornelhead
