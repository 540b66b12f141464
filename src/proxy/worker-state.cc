// Keeps ended calls until evhttp is done with their connections.
#include "cornelhead/proxy/worker-state.h"

#include "cornelhead/base/check.h"
#include "cornelhead/proxy/call.h"

namespace cornelhead::detail {

WorkerState::WorkerState(NodeState &shared, std::uint64_t seed)
    : node(shared), pool(loop.base(), shared.counters.connectionsOpened),
      servers(shared.settings.self.dataCentre), outcomes(shared.settings.self.dataCentre),
      random(seed)
{ }

WorkerState::~WorkerState() = default;

void WorkerState::endCall(Call *call)
{
    const auto found = calls.find(call);
    CORNELHEAD_CHECK(found != calls.end());
    ended.push_back(std::move(found->second));
    calls.erase(found);
}

void WorkerState::dropEnded()
{
    ended.clear();
}

} // namespace cornelhead::detail
