// Notifies the other nodes of a data centre of what proves or disproves that requests are poison.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <variant>

#include "cornelhead/proxy/attempt.h"
#include "cornelhead/proxy/request-head.h"
#include "cornelhead/proxy/worker-state.h"

namespace cornelhead::detail {

/// A server died under a request, or a suspected request got a response.
using PoisonNotice = std::variant<SuspectedDeath, Fingerprint>;

/// A header that carries a notice.
struct NoticeHeader
{
    const char *name = nullptr;
    std::string value;
};

NoticeHeader encodePoisonNotice(const PoisonNotice &notice);
/// Returns nothing for malformed headers.
std::optional<PoisonNotice> decodePoisonNotice(const RequestHead &head);

/// Sends one notice to one node and ignores the response.
class PoisonNoticeCall : public ActiveCall
{
public:
    PoisonNoticeCall(WorkerState &worker, const NodeInfo &to);

    void send(const NoticeHeader &notice);

private:
    void finish();

    WorkerState &worker_;
    const NodeInfo to_;
    Attempt attempt_;
    Timer timeoutTimer_;
};

/// Sends `notice` to all nodes in `nodes` of this data centre except this node.
void sendPoisonNotices(WorkerState &worker, const std::map<NodeId, NodeInfo> &nodes,
                       const PoisonNotice &notice);

} // namespace cornelhead::detail
