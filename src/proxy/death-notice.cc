// Implements death notices.
#include "cornelhead/proxy/death-notice.h"

#include <algorithm>
#include <chrono>
#include <sstream>

#include <event2/http.h>

#include "cornelhead/proxy/request-head.h"

namespace cornelhead::detail {

namespace {

constexpr Milliseconds deathNoticeTimeout = Milliseconds(1000);

std::int64_t wallClockUs()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<Microseconds>(sinceEpoch).count();
}

ConnectionSpec noticeConnection(const WorkerState &worker, const NodeInfo &to)
{
    ConnectionSpec spec = connectionSpec(to.proxy, true);
    // The receiver accepts notices only from the IP address of a node.
    spec.localIp = worker.node.settings.self.proxy.ip;
    return spec;
}

} // namespace

std::string encodeDeath(const SuspectedDeath &death)
{
    std::ostringstream text;
    const std::int64_t now = wallClockUs();
    text << death.request.value() << ' ' << death.server.value() << ' '
         << now - death.startedAgo.count() << ' ' << now - death.brokeAgo.count();
    return text.str();
}

std::optional<SuspectedDeath> decodeDeath(std::string_view text)
{
    std::istringstream in{std::string(text)};
    std::uint64_t request = 0;
    std::string server;
    std::int64_t started = 0;
    std::int64_t broke = 0;
    in >> request >> server >> started >> broke;
    if (in.fail() || started < 0 || started > broke)
        return std::nullopt;
    const std::int64_t now = std::max(wallClockUs(), broke);
    return SuspectedDeath{Fingerprint(request), ServerId(server), Microseconds(now - started),
                          Microseconds(now - broke)};
}

DeathNotice::DeathNotice(WorkerState &worker, const NodeInfo &to)
    : worker_(worker), to_(to),
      attempt_(worker.loop, worker.pool, noticeConnection(worker, to),
               AttemptHandlers{[](evhttp_request *) { return false; }, [](evbuffer *) {},
                               [this](const AttemptOutcome &) { finish(); }})
{ }

void DeathNotice::send(const SuspectedDeath &death)
{
    timeoutTimer_ = worker_.loop.after(deathNoticeTimeout, [this] {
        attempt_.cancel();
        finish();
    });
    evhttp_add_header(attempt_.headers(), homeHeader, to_.id.value().c_str());
    evhttp_add_header(attempt_.headers(), deathHeader, encodeDeath(death).c_str());
    attempt_.limitResponseBody(std::nullopt);
    attempt_.send(EVHTTP_REQ_POST, "/");
}

void DeathNotice::finish()
{
    timeoutTimer_ = Timer();
    worker_.endCall(this);
}

void sendDeathNotices(WorkerState &worker, const std::map<NodeId, NodeInfo> &nodes,
                      const SuspectedDeath &death)
{
    const NodeInfo &self = worker.node.settings.self;
    for (const auto &[id, node] : nodes) {
        if (id != self.id && node.dataCentre == self.dataCentre)
            worker.startCall(std::make_unique<DeathNotice>(worker, node)).send(death);
    }
}

} // namespace cornelhead::detail
