// Finds free loopback ports for test servers.
#pragma once

#include <unistd.h>

#include <stdexcept>

#include "cornelhead/base/address.h"

namespace cornelhead {

/// Calls `listen` with loopback addresses until a call succeeds, and returns that address.  Throws
/// if all of them fail.
template <typename Listen>
Address listenOnFreePort(Listen listen)
{
    // Starts at a port that depends on the process, as test programs run in parallel.
    const int firstPort = 20'000 + static_cast<int>(::getpid() % 100) * 100;
    for (int port = firstPort; port < firstPort + 1000; ++port) {
        Address address{"127.0.0.1", static_cast<std::uint16_t>(port)};
        if (listen(address))
            return address;
    }
    throw std::runtime_error("no free port");
}

} // namespace cornelhead
