// Tells the other nodes of a data centre that a server died under a request.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "cornelhead/proxy/attempt.h"
#include "cornelhead/proxy/worker-state.h"

namespace cornelhead::detail {

/// Writes a death for `deathHeader`.
std::string encodeDeath(const SuspectedDeath &death);
/// Returns nothing for text that is not a death.
std::optional<SuspectedDeath> decodeDeath(std::string_view text);

/// One message to one node; its answer does not matter.
class DeathNotice : public ActiveCall
{
public:
    DeathNotice(WorkerState &worker, const NodeInfo &to);

    void send(const SuspectedDeath &death);

private:
    void finish();

    WorkerState &worker_;
    const NodeInfo to_;
    Attempt attempt_;
    Timer timeout_;
};

/// Sends a notice to each other node of this data centre that `nodes` names.
void sendDeathNotices(WorkerState &worker, const std::map<NodeId, NodeInfo> &nodes,
                      const SuspectedDeath &death);

} // namespace cornelhead::detail
