// Implements the notices about poison requests.
#include "cornelhead/proxy/poison-notice.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <sstream>

#include <event2/http.h>

#include "cornelhead/proxy/overloaded.h"

namespace cornelhead::detail {

namespace {

constexpr Milliseconds noticeTimeout = Milliseconds(1000);
/// The clocks of two nodes differ by less.
constexpr Milliseconds maxClockSkew = Milliseconds(1000);

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

std::string encodeDeath(const SuspectedDeath &death)
{
    std::ostringstream text;
    const std::int64_t now = wallClockUs();
    text << death.request.value() << ' ' << death.server.value() << ' '
         << now - death.startedAgo.count() << ' ' << now - death.brokeAgo.count();
    return text.str();
}

std::optional<PoisonNotice> decodeDeath(std::string_view text)
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
                          Microseconds(now - broke), maxClockSkew};
}

std::optional<PoisonNotice> decodeResponded(std::string_view text)
{
    std::uint64_t request = 0;
    const char *end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, request);
    return error == std::errc() && stop == end ? std::optional<PoisonNotice>(Fingerprint(request))
                                               : std::nullopt;
}

} // namespace

NoticeHeader encodePoisonNotice(const PoisonNotice &notice)
{
    const Overloaded visitor{
            [](const SuspectedDeath &death) {
                return NoticeHeader{deathHeader, encodeDeath(death)};
            },
            [](Fingerprint responded) {
                return NoticeHeader{respondedHeader, std::to_string(responded.value())};
            }};
    return std::visit(visitor, notice);
}

std::optional<PoisonNotice> decodePoisonNotice(const RequestHead &head)
{
    return head.death.empty() ? decodeResponded(head.responded) : decodeDeath(head.death);
}

PoisonNoticeCall::PoisonNoticeCall(WorkerState &worker, const NodeInfo &to)
    : worker_(worker), to_(to),
      attempt_(worker.loop, worker.pool, noticeConnection(worker, to),
               AttemptHandlers{[](evhttp_request *) { return false; }, [](evbuffer *) {},
                               [this](const AttemptOutcome &) { finish(); }})
{ }

void PoisonNoticeCall::send(const NoticeHeader &notice)
{
    timeoutTimer_ = worker_.loop.after(noticeTimeout, [this] {
        attempt_.cancel();
        finish();
    });
    evhttp_add_header(attempt_.headers(), homeHeader, to_.id.value().c_str());
    evhttp_add_header(attempt_.headers(), notice.name, notice.value.c_str());
    attempt_.limitResponseBody(std::nullopt);
    attempt_.send(EVHTTP_REQ_POST, "/");
}

void PoisonNoticeCall::finish()
{
    timeoutTimer_ = Timer();
    worker_.endCall(this);
}

void sendPoisonNotices(WorkerState &worker, const std::map<NodeId, NodeInfo> &nodes,
                       const PoisonNotice &notice)
{
    const NodeInfo &self = worker.node.settings.self;
    const NoticeHeader header = encodePoisonNotice(notice);
    for (const auto &[id, node] : nodes) {
        if (id != self.id && node.dataCentre == self.dataCentre)
            worker.startCall(std::make_unique<PoisonNoticeCall>(worker, node)).send(header);
    }
}

} // namespace cornelhead::detail
