// Notifies the other nodes of a data centre that a server died under a request.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "cornelhead/proxy/attempt.h"
#include "cornelhead/proxy/worker-state.h"

namespace cornelhead::detail {

/// Encodes a death as the value of `deathHeader`.
std::string encodeDeath(const SuspectedDeath &death);
/// Returns nothing for malformed text.
std::optional<SuspectedDeath> decodeDeath(std::string_view text);

/// Sends one death to one node and ignores the response.
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
    Timer timeoutTimer_;
};

/// Sends `death` to all nodes in `nodes` of this data centre except this node.
void sendDeathNotices(WorkerState &worker, const std::map<NodeId, NodeInfo> &nodes,
                      const SuspectedDeath &death);

} // namespace cornelhead::detail
