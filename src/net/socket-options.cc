// Sets the options of outgoing sockets.
#include "cornelhead/net/socket-options.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace cornelhead {
namespace detail {

constexpr int keepAliveIdleSeconds = 1;
constexpr int keepAliveIntervalSeconds = 1;
constexpr int keepAliveProbes = 2;
static_assert(keepAliveIdleSeconds + keepAliveIntervalSeconds * keepAliveProbes
              == deadPeerTimeout / std::chrono::seconds(1));

void setOption(int socket, int level, int name, int value)
{
    setsockopt(socket, level, name, &value, sizeof value);
}

} // namespace detail

void setOutgoingSocketOptions(int socket)
{
    if (socket < 0)
        return;
    detail::setOption(socket, IPPROTO_TCP, TCP_NODELAY, 1);
    detail::setOption(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
    detail::setOption(socket, IPPROTO_TCP, TCP_KEEPIDLE, detail::keepAliveIdleSeconds);
    detail::setOption(socket, IPPROTO_TCP, TCP_KEEPINTVL, detail::keepAliveIntervalSeconds);
    detail::setOption(socket, IPPROTO_TCP, TCP_KEEPCNT, detail::keepAliveProbes);
    detail::setOption(socket, IPPROTO_TCP, TCP_USER_TIMEOUT,
                      static_cast<int>(deadPeerTimeout.count()));
}

} // namespace cornelhead
