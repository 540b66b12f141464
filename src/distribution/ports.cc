// Implements the platform port with the platform client.
#include "cornelhead/distribution/ports.h"

namespace cornelhead {

PlatformPort platformPort(PlatformClient &client)
{
    PlatformPort port;
    port.get = [&](const auto &key, auto callback) { client.get(key, std::move(callback)); };
    port.list
            = [&](const auto &prefix, auto callback) { client.list(prefix, std::move(callback)); };
    port.put = [&](const auto &key, const auto &value, ExpectedRevision expected, const auto &lease,
                   auto callback) { client.put(key, value, expected, lease, std::move(callback)); };
    port.remove = [&](const auto &key, ExpectedRevision expected, auto callback) {
        client.remove(key, expected, std::move(callback));
    };
    port.watch = [&](const auto &prefix, ModRevision after, Milliseconds wait, auto callback) {
        client.watch(prefix, after, wait, std::move(callback));
    };
    port.grantLease
            = [&](Milliseconds ttl, auto callback) { client.grantLease(ttl, std::move(callback)); };
    port.keepAlive = [&](const auto &lease, auto callback) {
        client.keepAlive(lease, std::move(callback));
    };
    port.revoke
            = [&](const auto &lease, auto callback) { client.revoke(lease, std::move(callback)); };
    return port;
}

} // namespace cornelhead
